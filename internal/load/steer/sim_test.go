package steer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/speed"
)

// fleet simulates servers with agents behind entries in virtual time. Each flow is one request. A server runs as many
// requests as it has slots and queues the rest, first come, first served.
type fleet struct {
	now      time.Time
	events   timeline
	random   *rand.Rand
	entries  []*Chooser
	servers  []*backend
	list     []Candidate
	delay    func() time.Duration // of a report
	lost     float64              // part of the reports that are lost
	waits    []time.Duration      // time from placement to answer of all requests
	arrivals func(server int)     // called for each flow placed
}

const (
	simSlots   = 4
	simEntries = 8
	simService = 40 * time.Millisecond // at speed 1, without the tail
	simTarget  = 5 * simService
	tailShare  = 0.03 // of the requests take tailFactor times as long
	tailFactor = 7
)

type backend struct {
	speed   float64
	meter   speed.Meter
	running int
	queue   []time.Time // arrivals
	flows   int
}

type event struct {
	at time.Time
	do func()
}

type timeline []event

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timeline) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)        { *t = append(*t, x.(event)) }
func (t *timeline) Pop() any {
	last := len(*t) - 1
	e := (*t)[last]
	*t = (*t)[:last]
	return e
}

// newFleet returns servers of the given speeds and their load in parts of their capacity.
func newFleet(seed uint64, off parts.Off, speeds []float64) *fleet {
	f := &fleet{now: now, random: rand.New(rand.NewPCG(seed, 1)), list: candidates(len(speeds))}
	f.delay = func() time.Duration { return 2 * time.Millisecond }
	f.arrivals = func(int) {}
	for range simEntries {
		f.entries = append(f.entries, New("zg-a", rand.New(rand.NewPCG(f.random.Uint64(), 2)), off))
	}
	for _, s := range speeds {
		f.servers = append(f.servers, &backend{speed: s})
	}
	return f
}

// twoSpeeds returns the speeds of 40 servers, of which half are slow.
func twoSpeeds() (speeds []float64) {
	for i := range 40 {
		speeds = append(speeds, []float64{0.55, 1.2}[i%2])
	}
	return speeds
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.events, event{f.now.Add(d), do}) }

// rate returns the flows per second at which the servers use the given part of their capacity.
func (f *fleet) rate(part float64) float64 {
	sum := 0.0
	for _, s := range f.servers {
		sum += s.speed
	}
	mean := simService.Seconds() * (1 + tailShare*(tailFactor-1))
	return part * sum * simSlots / mean
}

// run simulates d with flows at the given rate per second.
func (f *fleet) run(d time.Duration, rate float64) {
	end := f.now.Add(d)
	var next func()
	next = func() {
		if f.now.Before(end) {
			f.call(f.entries[f.random.IntN(len(f.entries))])
			f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	f.after(0, next)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// call places one flow.
func (f *fleet) call(c *Chooser) {
	a, _ := c.Choose(f.now, f.list, nil)
	c.Placed(a)
	i := int(a.As4()[3])
	s := f.servers[i]
	f.arrivals(i)
	s.flows++
	s.queue = append(s.queue, f.now)
	f.serve(s)
	f.report(c, a, s)
}

// report sends the load and the estimate of a server to the entry that has opened a flow there.
func (f *fleet) report(c *Chooser, a netip.Addr, s *backend) {
	if f.random.Float64() < f.lost {
		return
	}
	load := msgs.Load{Busy: uint16(s.running + len(s.queue)), Flows: uint16(s.flows)}
	estimate := msgs.NewEstimate(s.meter.Overall(f.now, nil), [msgs.NumWaits]time.Duration{})
	f.after(f.delay(), func() { c.Report(f.now, a, load, estimate) })
}

// serve starts queued requests while the server has free slots.
func (f *fleet) serve(s *backend) {
	for s.running < simSlots && len(s.queue) > 0 {
		arrived := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		spent := f.serviceTime(s)
		f.after(spent, func() {
			s.running--
			s.flows--
			s.meter.Record(f.now, netip.AddrPort{}, spent)
			f.waits = append(f.waits, f.now.Sub(arrived))
			f.serve(s)
		})
	}
}

func (f *fleet) serviceTime(s *backend) time.Duration {
	t := simService.Seconds() / s.speed * math.Exp(0.25*f.random.NormFloat64())
	if f.random.Float64() < tailShare {
		t *= tailFactor
	}
	return time.Duration(t * float64(time.Second))
}

// quantile returns a quantile of the times to an answer.
func (f *fleet) quantile(q float64) time.Duration {
	slices.Sort(f.waits)
	return f.waits[int(q*float64(len(f.waits)-1))]
}

// late returns the part of the requests that were answered after the target.
func (f *fleet) late() float64 {
	count := 0
	for _, w := range f.waits {
		if w > simTarget {
			count++
		}
	}
	return float64(count) / float64(len(f.waits))
}
