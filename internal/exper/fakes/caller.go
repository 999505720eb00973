// Package fakes provides simulated servers and callers of one service, for experiments with the decisions
// under load.
//
// The model covers arrivals, service times and server faults only. It is not a simulator of a cluster:
// there are no packets, no processes and no control plane.
//
// # Usage
//
//	server := fakes.NewServer(events, 1, 0, 4)
//	caller := fakes.NewCaller(events, spec, random, loadFactor, submit)
//	caller.Start()
package fakes

import (
	"math"
	"math/rand/v2"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/exper/loop"
)

// Job is one try of one request.
type Job struct {
	ID          uint64
	Class       string
	Kind        docs.Kind
	Caller      string
	ConnServer  int           // index of the server whose agent holds the caller's connection
	ServiceTime time.Duration // on a healthy, warm server
	Arrived     time.Time
	Deadline    time.Time
	NoDeadline  bool // the server does not know the deadline
	Try         int  // number of the caller's try, from 1
	Executions  *int // executions started, over all tries
	Finished    bool // answered, or timed out by the caller
}

// Workload is the load of one request class.
type Workload struct {
	Class     string
	Kind      docs.Kind
	Mean      time.Duration // of the service time, which is log-normal
	Variation float64       // coefficient of variation of the service time
	Max       time.Duration // longest service time
	Deadline  time.Duration
	Queue     int
	Share     float64 // share of the offered slot time
}

// Spec is one caller's load.
type Spec struct {
	Name           string
	Weight         int
	ConnServers    []int   // for each connection, the index of the server whose agent holds it
	HotConnections int     // number of connections that send 90% of its requests; 0: all send equally
	Rate           float64 // offered slot time in seconds per second, at load factor 1
	Workloads      []Workload
}

// Caller sends requests at random times and does not wait for answers (an open loop).
type Caller struct {
	spec       Spec
	loop       *loop.Loop
	random     *rand.Rand
	loadFactor func() float64
	submit     func(*Job)
}

// idlePoll is the interval at which a caller evaluates its load factor while it sends nothing.
const idlePoll = 10 * time.Millisecond

// NewCaller returns a caller. Its rate is multiplied by loadFactor; it passes its requests to submit.
func NewCaller(l *loop.Loop, s Spec, random *rand.Rand, loadFactor func() float64, submit func(*Job)) *Caller {
	return &Caller{spec: s, loop: l, random: random, loadFactor: loadFactor, submit: submit}
}

// Start schedules the first request of each class.
func (c *Caller) Start() {
	for _, w := range c.spec.Workloads {
		if w.Share > 0 {
			c.scheduleNext(w)
		}
	}
}

// scheduleNext schedules the next request of a class, and so all that follow.
func (c *Caller) scheduleNext(w Workload) {
	rate := c.spec.Rate * c.loadFactor() * w.Share / w.Mean.Seconds()
	if rate <= 0 {
		c.loop.After(idlePoll, func() { c.scheduleNext(w) })
		return
	}
	// A long gap is cut off and drawn again, so that a change of the load factor takes effect soon. Arrivals
	// are a Poisson process, which has no memory, so this does not change their distribution.
	gap := time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
	if gap > idlePoll {
		c.loop.After(idlePoll, func() { c.scheduleNext(w) })
		return
	}
	c.loop.After(gap, func() {
		c.submit(c.newJob(w))
		c.scheduleNext(w)
	})
}

func (c *Caller) newJob(w Workload) *Job {
	now := c.loop.Now()
	return &Job{
		ID:          c.random.Uint64(),
		Class:       w.Class,
		Kind:        w.Kind,
		Caller:      c.spec.Name,
		ConnServer:  c.pickConnServer(),
		ServiceTime: w.serviceTime(c.random),
		Arrived:     now,
		Deadline:    now.Add(w.Deadline),
		Try:         1,
		Executions:  new(int),
	}
}

// hotShare is the share of a caller's requests that its hot connections send.
const hotShare = 0.9

// Retry returns the caller's next try of the same request.
func (j *Job) Retry(now time.Time) *Job {
	next := *j
	next.Arrived, next.Deadline = now, now.Add(j.Deadline.Sub(j.Arrived))
	next.Try++
	next.Finished = false
	return &next
}

// pickConnServer selects a random connection and returns the server whose agent holds it.
func (c *Caller) pickConnServer() int {
	servers := c.spec.ConnServers
	if c.spec.HotConnections > 0 && c.random.Float64() < hotShare {
		servers = servers[:c.spec.HotConnections]
	}
	return servers[c.random.IntN(len(servers))]
}

// serviceTime draws a service time from a log-normal distribution, limited to w.Max.
func (w Workload) serviceTime(r *rand.Rand) time.Duration {
	v := math.Log(1 + w.Variation*w.Variation)
	d := time.Duration(math.Exp(r.NormFloat64()*math.Sqrt(v)-v/2) * float64(w.Mean))
	if w.Max > 0 {
		d = min(d, w.Max)
	}
	return d
}
