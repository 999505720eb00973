// Package outage plays the seconds after all instances have lost power, with the decisions about waiting flows (packages hold and
// share) at many agents, and counts what callers get.
//
// The load. Nothing is served while the instances are away. Callers repeat what had no answer and give flows up, and when the agents are
// back all of them come at once beside those that would have come anyway, to servers that have just started and are slow. Requests
// that are late already and new ones look alike in part: a caller that comes again does so by a new flow.
//
// It knows no packets, no entries and no processors; it is a model of the load, not of the system. Time is virtual.
//
// # Usage
//
//	report := outage.Run(outage.FiftyServers(), outage.Rules{PerSlot: 15}, 1)
package outage

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"mangowinch/internal/exper/loop"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/hold"
	"mangowinch/internal/load/share"
)

// RequestKind is a kind of request.
type RequestKind struct {
	Rate        float64 // a second
	ServiceTime time.Duration
	Target      time.Duration // in which it is to be answered
	Deadline    time.Duration // after which its caller has left
	Priority    int
	Pooled      bool // on a flow of a pool that stays open, not on one of its own
}

// Case is one outage.
type Case struct {
	Servers, Slots int
	Domains        int
	PooledFlows    int           // flows of the pools
	Downtime       time.Duration // from the loss of power until agents are back
	ColdStart      time.Duration // for which servers are slow after that
	ColdFactor     float64       // factor of work while they are
	Kinds          []RequestKind
	Length         time.Duration
}

// FiftyServers is the load of some 50 servers of three slots at three quarters of what they can do.
func FiftyServers() Case {
	return Case{
		Servers: 49, Slots: 3, Domains: 3, PooledFlows: 3600,
		Downtime: 1550 * time.Millisecond, ColdStart: 2 * time.Second, ColdFactor: 1.6,
		Kinds: []RequestKind{
			{Rate: 1060, ServiceTime: 40 * time.Millisecond, Target: 300 * time.Millisecond, Deadline: 3 * time.Second, Priority: 2, Pooled: true},
			{Rate: 525, ServiceTime: 52 * time.Millisecond, Target: 400 * time.Millisecond, Deadline: 4 * time.Second, Priority: 1},
		},
		Length: 6 * time.Second,
	}
}

// Rules are what is tried.
type Rules struct {
	PerSlot   int  // flows that may wait for each slot
	KnownAges bool // agents know when a request was first sent, and whether its caller has left, which no packet tells: a bound for any order
}

// Counts are requests by what became of them.
type Counts struct{ Sent, InTime, Late, Failed int }

// Report is what callers got.
type Report struct {
	All       Counts
	Windows   []Counts // by the two seconds in which requests were first sent
	Opened    int      // flows that servers were given
	Abandoned int      // of them, whose caller had left
	Refused   int      // flows refused because too many wait
}

// Facts of callers' protocol.
const (
	tries      = 3
	giveUp     = 1400 * time.Millisecond
	answerTime = 50 * time.Millisecond
	toAgent    = 5 * time.Millisecond // from a caller to an agent
	hop        = 1400 * time.Microsecond
	window     = 2 * time.Second
	search     = 25 * time.Millisecond  // until a flow that nobody holds is reset
	upWithin   = 200 * time.Millisecond // of each other the processes start
	backWithin = 250 * time.Millisecond // a refused caller comes again
	lateTimes  = 3                      // a slot is kept so often the way of a request for one that doesn't come
	tickEvery  = 50 * time.Millisecond
)

var (
	copies  = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	repeats = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond}
)

// request is one request of a caller.
type request struct {
	kind  *RequestKind
	sent  time.Time
	tries int
	over  bool // answered, or its caller has left
}

type agent struct {
	index   int
	queue   *hold.Queue
	waiting map[segs.Flow]*opening
	young   int // opened, no request yet
	backlog []*request
	running int
}

// opening is a flow that is to be opened for a request.
type opening struct {
	request *request
	flow    segs.Flow
	opened  bool
	over    bool
}

type run struct {
	c      Case
	r      Rules
	loop   *loop.Loop
	random *rand.Rand
	agents []*agent
	others [][]share.Server
	dead   int // flows of pools that no server holds
	flows  uint32
	report Report
}

// Run plays a case.
func Run(c Case, r Rules, seed uint64) Report {
	v := &run{c: c, r: r, loop: loop.New(), random: rand.New(rand.NewPCG(seed, 1)), dead: c.PooledFlows}
	patience := giveUp - answerTime
	if r.KnownAges {
		patience = c.Length // those whose callers have left are known one by one
	}
	for i := range c.Servers {
		v.agents = append(v.agents, &agent{index: i, queue: hold.New(patience), waiting: map[segs.Flow]*opening{}})
	}
	for i := range c.Servers {
		var list []share.Server
		for j := range c.Servers {
			if j != i {
				list = append(list, share.Server{Agent: address(j), SameDomain: j%c.Domains == i%c.Domains})
			}
		}
		v.others = append(v.others, list)
	}
	for i := range c.Kinds {
		v.arrive(&c.Kinds[i])
	}
	v.tick()
	v.loop.Run(c.Length + 4*time.Second)
	return v.report
}

func address(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}) }

func index(a netip.Addr) int {
	b := a.As4()
	return int(b[2])<<8 | int(b[3])
}

// arrive sends a request of a kind and plans the next.
func (v *run) arrive(k *RequestKind) {
	v.loop.After(time.Duration(-math.Log(1-v.random.Float64())/k.Rate*float64(time.Second)), func() {
		if v.loop.Elapsed() < v.c.Length {
			v.send(k)
			v.arrive(k)
		}
	})
}

func (v *run) send(k *RequestKind) {
	q := &request{kind: k, sent: v.loop.Now()}
	w := v.window(q)
	w.Sent++
	v.report.All.Sent++
	v.loop.After(k.Deadline, func() {
		if !q.over {
			q.over = true
			v.window(q).Failed++
			v.report.All.Failed++
		}
	})
	if !k.Pooled {
		v.open(q)
		return
	}
	if v.random.IntN(v.c.PooledFlows) >= v.dead {
		v.loop.After(toAgent, func() { v.work(v.agents[v.random.IntN(len(v.agents))], q) })
		return
	}
	v.first(repeats, func(time.Duration) {
		v.loop.After(search, func() {
			if !q.over {
				v.open(q)
			}
		})
	})
}

func (v *run) window(q *request) *Counts {
	i := int(q.sent.Sub(v.loop.Now().Add(-v.loop.Elapsed())) / window)
	for len(v.report.Windows) <= i {
		v.report.Windows = append(v.report.Windows, Counts{})
	}
	return &v.report.Windows[i]
}

// first calls then when the first of some packets gets through, with its offset.
func (v *run) first(offsets []time.Duration, then func(offset time.Duration)) {
	up := v.c.Downtime + time.Duration(v.random.Int64N(int64(upWithin)))
	for _, d := range offsets {
		if v.loop.Elapsed()+d >= up {
			v.loop.After(d+toAgent, func() { then(d) })
			return
		}
	}
}

// open opens a flow for a request.
func (v *run) open(q *request) {
	if q.tries == tries || q.over {
		return
	}
	q.tries++
	v.flows++
	o := &opening{request: q, flow: segs.Flow{Caller: [4]byte{byte(v.flows >> 24), byte(v.flows >> 16), byte(v.flows >> 8), byte(v.flows)}}}
	v.loop.After(giveUp, func() {
		if !o.opened && !o.over {
			o.over = true
			v.open(q)
		}
	})
	v.first(copies, func(age time.Duration) {
		if o.over || q.over {
			return
		}
		w := hold.QueuedFlow{Flow: o.flow, Priority: q.kind.Priority, FirstSent: v.loop.Now().Add(-age), Target: q.kind.Target}
		if v.r.KnownAges {
			w.FirstSent = q.sent
		}
		v.offer(v.agents[v.random.IntN(len(v.agents))], o, &w, nil, false)
	})
}

// offer gives a flow to an agent, which may pass it on.
func (v *run) offer(a *agent, o *opening, w *hold.QueuedFlow, visited []msgs.Visit, final bool) {
	work := uint16((a.expected() + a.queue.Len()) * 100 / v.c.Slots)
	next := share.Next(share.Server{Agent: address(a.index), Utilization: work}, visited, final, v.others[a.index], v.random.IntN)
	if i := index(next.Agent); i != a.index {
		v.loop.After(hop, func() { v.offer(v.agents[i], o, w, next.Visited, next.Final) })
		return
	}
	a.waiting[o.flow] = o
	last := a.queue.Add(v.loop.Now(), w, v.r.PerSlot*v.c.Slots)
	if last != nil {
		v.refuse(a, last)
	}
	v.admit(a)
}

// refuse tells a caller that its flow isn't taken; it comes again.
func (v *run) refuse(a *agent, w *hold.QueuedFlow) {
	o := a.waiting[w.Flow]
	delete(a.waiting, w.Flow)
	v.report.Refused++
	if o.over {
		return
	}
	o.over = true
	back := toAgent + time.Duration(v.random.Int64N(int64(backWithin)))
	v.loop.After(back, func() { v.open(o.request) })
}

func (a *agent) expected() int { return a.young + a.running + len(a.backlog) }

func (v *run) admit(a *agent) {
	for {
		w := a.queue.Next(v.loop.Now(), a.expected(), v.c.Slots, v.lowest())
		if w == nil {
			return
		}
		o := a.waiting[w.Flow]
		delete(a.waiting, w.Flow)
		if v.r.KnownAges && (o.over || o.request.over) {
			continue
		}
		a.young++
		v.report.Opened++
		v.loop.After(2*toAgent, func() { v.opened(a, o) })
	}
}

func (v *run) lowest() (lowest int) {
	for _, k := range v.c.Kinds {
		lowest = max(lowest, k.Priority)
	}
	return lowest
}

// opened is the moment at which the request of an opened flow comes.
func (v *run) opened(a *agent, o *opening) {
	if o.over || o.request.over {
		v.report.Abandoned++
		v.loop.After(lateTimes*2*toAgent, func() { // the slot is kept for a while
			a.young--
			v.admit(a)
		})
		return
	}
	o.opened = true
	a.young--
	if o.request.kind.Pooled {
		v.dead--
	}
	v.work(a, o.request)
}

// work queues a request at a server.
func (v *run) work(a *agent, q *request) {
	a.backlog = append(a.backlog, q)
	v.start(a)
}

func (v *run) start(a *agent) {
	for a.running < v.c.Slots && len(a.backlog) > 0 {
		q := a.backlog[0]
		a.backlog = a.backlog[1:]
		a.running++
		took := time.Duration(float64(q.kind.ServiceTime) * (0.5 + v.random.Float64()))
		if v.loop.Elapsed() < v.c.Downtime+v.c.ColdStart {
			took = time.Duration(float64(took) * v.c.ColdFactor)
		}
		v.loop.After(took, func() {
			a.running--
			v.answer(q)
			v.start(a)
			v.admit(a)
		})
	}
}

func (v *run) answer(q *request) {
	if q.over {
		return
	}
	q.over = true
	if v.loop.Now().Add(toAgent).Sub(q.sent) <= q.kind.Target {
		v.window(q).InTime++
		v.report.All.InTime++
		return
	}
	v.window(q).Late++
	v.report.All.Late++
}

// tick lets agents look at their queues, as their ticks do.
func (v *run) tick() {
	v.loop.After(tickEvery, func() {
		for _, a := range v.agents {
			v.admit(a)
		}
		v.tick()
	})
}
