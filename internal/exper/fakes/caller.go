// Package fakes has the servers and callers of one service for experiments with
// the decisions under load.
//
// They know of arrivals, service times and faults of servers, and of nothing else:
// no packets, no processes, no control. It is not a simulator of a cluster.
//
// # Usage
//
//	server := fakes.NewServer(events, 1, 0, 4)
//	caller := fakes.NewCaller(events, spec, random, submit)
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
	ConnServer  int           // server whose agent holds the caller's connection
	ServiceTime time.Duration // on a healthy server
	Arrived     time.Time
	Deadline    time.Time
	NoDeadline  bool // the server is told of no deadline
	Try         int  // of the caller, from 1
	Executions  *int // executions begun, over all tries
	Finished    bool // answered, or given up on by the caller
}

// Workload is one class of requests.
type Workload struct {
	Class     string
	Kind      docs.Kind
	Mean      time.Duration // service time, log-normal
	Variation float64       // coefficient of variation
	Max       time.Duration // longest service time
	Deadline  time.Duration
	Queue     int
	Share     float64 // of the offered slot time
}

// Spec is one caller's load.
type Spec struct {
	Name           string
	Weight         int
	ConnServers    []int   // home of each of its connections
	HotConnections int     // so many of its connections send nine tenths of its requests; 0 for all alike
	Rate           float64 // slot time asked for in each second, at level 1
	Workloads      []Workload
}

// Caller sends requests at random times, without waiting for answers.
type Caller struct {
	spec   Spec
	loop   *loop.Loop
	random *rand.Rand
	level  func() float64
	submit func(*Job)
}

// idlePoll is how often a caller at level 0 looks again.
const idlePoll = 10 * time.Millisecond

// NewCaller returns a caller. level multiplies its rate, submit takes its requests.
func NewCaller(l *loop.Loop, s Spec, random *rand.Rand, level func() float64, submit func(*Job)) *Caller {
	return &Caller{spec: s, loop: l, random: random, level: level, submit: submit}
}

// Start begins each class's arrivals.
func (c *Caller) Start() {
	for _, w := range c.spec.Workloads {
		if w.Share > 0 {
			c.next(w)
		}
	}
}

func (c *Caller) next(w Workload) {
	rate := c.spec.Rate * c.level() * w.Share / w.Mean.Seconds()
	if rate <= 0 {
		c.loop.After(idlePoll, func() { c.next(w) })
		return
	}
	// The gap is cut so that a change of level is noticed soon; arrivals without
	// memory allow it.
	gap := time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
	if gap > idlePoll {
		c.loop.After(idlePoll, func() { c.next(w) })
		return
	}
	c.loop.After(gap, func() {
		c.submit(c.job(w))
		c.next(w)
	})
}

func (c *Caller) job(w Workload) *Job {
	now := c.loop.Now()
	return &Job{
		ID:          c.random.Uint64(),
		Class:       w.Class,
		Kind:        w.Kind,
		Caller:      c.spec.Name,
		ConnServer:  c.home(),
		ServiceTime: w.draw(c.random),
		Arrived:     now,
		Deadline:    now.Add(w.Deadline),
		Try:         1,
		Executions:  new(int),
	}
}

// hotShare is what a caller's hot connections send of its requests.
const hotShare = 0.9

// Retry is one more try of the same request by the caller.
func (j *Job) Retry(now time.Time) *Job {
	next := *j
	next.Arrived, next.Deadline = now, now.Add(j.Deadline.Sub(j.Arrived))
	next.Try++
	next.Finished = false
	return &next
}

func (c *Caller) home() int {
	homes := c.spec.ConnServers
	if c.spec.HotConnections > 0 && c.random.Float64() < hotShare {
		homes = homes[:c.spec.HotConnections]
	}
	return homes[c.random.IntN(len(homes))]
}

// draw returns a service time: log-normal with the given mean and spread.
func (w Workload) draw(r *rand.Rand) time.Duration {
	v := math.Log(1 + w.Variation*w.Variation)
	d := time.Duration(math.Exp(r.NormFloat64()*math.Sqrt(v)-v/2) * float64(w.Mean))
	if w.Max > 0 {
		d = min(d, w.Max)
	}
	return d
}
