// Package outage simulates the seconds after a power loss of all instances, with the decisions about
// waiting flows (packages hold and share) at many agents, and counts the answers that callers receive.
//
// While the instances are down nothing is served. Callers retransmit and give up flows that are not
// answered. When the agents are back, all these callers send requests at the same time, in addition to the
// regular load, to servers that have just started and are slow. Agents cannot fully distinguish late requests
// from new ones, because a caller that gives up a flow retries on a new one.
//
// The simulation has no packets, entries or processors: it models the load, not the system. Time is virtual.
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

// RequestKind is the load of one kind of request.
type RequestKind struct {
	Rate        float64 // requests per second
	ServiceTime time.Duration
	Target      time.Duration // time in which it has to be answered to count as in time
	Deadline    time.Duration // time after which its caller gives up
	Priority    int
	Pooled      bool // sent on a long-lived flow of a connection pool; otherwise each request opens a flow
}

// Case is one outage.
type Case struct {
	Servers, Slots int
	Domains        int
	PooledFlows    int           // flows in the callers' connection pools
	Downtime       time.Duration // from the power loss until the first agents are back
	ColdStart      time.Duration // time after Downtime in which servers are slow
	ColdFactor     float64       // factor of service times during the cold start
	Kinds          []RequestKind
	Length         time.Duration
}

// FiftyServers is an outage of 49 servers of three slots. The load is about half of their capacity, and
// three quarters of it during the cold start.
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

// Rules are the queueing rules that are compared.
type Rules struct {
	PerSlot int // limit of waiting flows per slot
	// KnownAges gives agents the time at which a request was first sent, and whether its caller has given up.
	// No packet carries these, so that the result is a bound for any order of the queue.
	KnownAges bool
}

// Counts are numbers of requests by outcome.
type Counts struct{ Sent, InTime, Late, Failed int }

// Report summarizes a run.
type Report struct {
	All       Counts
	Windows   []Counts // by the interval of two seconds in which requests were first sent
	Opened    int      // flows that servers received
	Abandoned int      // opened flows whose caller had given up
	Refused   int      // flows refused because too many were waiting
}

// Parameters of the callers' protocol and of the simulation.
const (
	maxOpens           = 3                       // flows that a caller opens for one request
	openTimeout        = 1400 * time.Millisecond // after which a caller gives up a flow that is not opened
	openAnswerTime     = 50 * time.Millisecond   // part of openTimeout reserved for the answer to the opening packet
	callerDelay        = 5 * time.Millisecond    // from a caller to an agent
	hopDelay           = 1400 * time.Microsecond // from an agent to another
	window             = 2 * time.Second         // of Report.Windows
	lookupTime         = 25 * time.Millisecond   // until a flow without an owner is reset
	startSpread        = 200 * time.Millisecond  // interval in which all processes start
	maxRetryDelay      = 250 * time.Millisecond  // until a refused caller retries
	reservedRoundTrips = 3                       // round trips for which a slot stays reserved if no request arrives
	tickInterval       = 50 * time.Millisecond   // of agents
)

// Offsets at which callers send and retransmit opening packets and requests.
var (
	openingSends = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	requestSends = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond}
)

// request is one request of a caller.
type request struct {
	kind     *RequestKind
	sent     time.Time
	opens    int
	finished bool // answered, or its caller has given up
}

type agent struct {
	index    int
	queue    *hold.Queue
	waiting  map[segs.Flow]*pendingFlow
	reserved int // slots reserved for opened flows whose request has not arrived
	backlog  []*request
	running  int
}

// pendingFlow is a flow that a caller wants to open for a request.
type pendingFlow struct {
	request   *request
	flow      segs.Flow
	opened    bool
	abandoned bool // given up by the caller, or refused
}

type run struct {
	c         Case
	r         Rules
	loop      *loop.Loop
	random    *rand.Rand
	agents    []*agent
	peers     [][]share.Server // by agent
	lostFlows int              // pooled flows that no server holds since the outage
	lastFlow  uint32
	report    Report
}

// Run simulates a case.
func Run(c Case, r Rules, seed uint64) Report {
	v := &run{c: c, r: r, loop: loop.New(), random: rand.New(rand.NewPCG(seed, 1)), lostFlows: c.PooledFlows}
	maxWait := openTimeout - openAnswerTime
	if r.KnownAges {
		maxWait = c.Length // admit skips the flows of callers that have given up
	}
	for i := range c.Servers {
		v.agents = append(v.agents, &agent{index: i, queue: hold.New(maxWait), waiting: map[segs.Flow]*pendingFlow{}})
	}
	for i := range c.Servers {
		var list []share.Server
		for j := range c.Servers {
			if j != i {
				list = append(list, share.Server{Agent: address(j), SameDomain: j%c.Domains == i%c.Domains})
			}
		}
		v.peers = append(v.peers, list)
	}
	for i := range c.Kinds {
		v.scheduleArrival(&c.Kinds[i])
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

// scheduleArrival schedules the next request of a kind, and so all that follow.
func (v *run) scheduleArrival(k *RequestKind) {
	v.loop.After(time.Duration(-math.Log(1-v.random.Float64())/k.Rate*float64(time.Second)), func() {
		if v.loop.Elapsed() < v.c.Length {
			v.send(k)
			v.scheduleArrival(k)
		}
	})
}

// send sends a request. A pooled request uses a random flow of the pool; if that flow was lost in the
// outage, or if the request is not pooled, a new flow is opened.
func (v *run) send(k *RequestKind) {
	q := &request{kind: k, sent: v.loop.Now()}
	w := v.window(q)
	w.Sent++
	v.report.All.Sent++
	v.loop.After(k.Deadline, func() {
		if !q.finished {
			q.finished = true
			v.window(q).Failed++
			v.report.All.Failed++
		}
	})
	if !k.Pooled {
		v.open(q)
		return
	}
	if v.random.IntN(v.c.PooledFlows) >= v.lostFlows {
		v.loop.After(callerDelay, func() { v.enqueue(v.agents[v.random.IntN(len(v.agents))], q) })
		return
	}
	v.firstDelivered(requestSends, func(time.Duration) {
		v.loop.After(lookupTime, func() {
			if !q.finished {
				v.open(q)
			}
		})
	})
}

// window returns the counts of the interval in which a request was sent.
func (v *run) window(q *request) *Counts {
	i := int(q.sent.Sub(v.loop.Now().Add(-v.loop.Elapsed())) / window)
	for len(v.report.Windows) <= i {
		v.report.Windows = append(v.report.Windows, Counts{})
	}
	return &v.report.Windows[i]
}

// firstDelivered calls deliver when the first of several transmissions reaches a running agent, with the
// offset of that transmission.
func (v *run) firstDelivered(offsets []time.Duration, deliver func(offset time.Duration)) {
	up := v.c.Downtime + time.Duration(v.random.Int64N(int64(startSpread)))
	for _, d := range offsets {
		if v.loop.Elapsed()+d >= up {
			v.loop.After(d+callerDelay, func() { deliver(d) })
			return
		}
	}
}

// open sends the opening packets of a flow for a request.
func (v *run) open(q *request) {
	if q.opens == maxOpens || q.finished {
		return
	}
	q.opens++
	v.lastFlow++
	o := &pendingFlow{request: q, flow: segs.Flow{Caller: [4]byte{byte(v.lastFlow >> 24), byte(v.lastFlow >> 16), byte(v.lastFlow >> 8), byte(v.lastFlow)}}}
	v.loop.After(openTimeout, func() {
		if !o.opened && !o.abandoned {
			o.abandoned = true
			v.open(q)
		}
	})
	v.firstDelivered(openingSends, func(age time.Duration) {
		if o.abandoned || q.finished {
			return
		}
		w := hold.QueuedFlow{Flow: o.flow, Priority: q.kind.Priority, FirstSent: v.loop.Now().Add(-age), Target: q.kind.Target}
		if v.r.KnownAges {
			w.FirstSent = q.sent
		}
		v.offer(v.agents[v.random.IntN(len(v.agents))], o, &w, nil, false)
	})
}

// offer offers a flow to an agent, which queues it or forwards it to another agent.
func (v *run) offer(a *agent, o *pendingFlow, w *hold.QueuedFlow, visited []msgs.Visit, final bool) {
	work := uint16((a.expectedLoad() + a.queue.Len()) * 100 / v.c.Slots)
	next := share.Next(share.Server{Agent: address(a.index), Utilization: work}, visited, final, v.peers[a.index], v.random.IntN)
	if i := index(next.Agent); i != a.index {
		v.loop.After(hopDelay, func() { v.offer(v.agents[i], o, w, next.Visited, next.Final) })
		return
	}
	a.waiting[o.flow] = o
	refused := a.queue.Add(v.loop.Now(), w, v.r.PerSlot*v.c.Slots)
	if refused != nil {
		v.refuse(a, refused)
	}
	v.admit(a)
}

// refuse refuses a waiting flow. Its caller retries after a random delay.
func (v *run) refuse(a *agent, w *hold.QueuedFlow) {
	o := a.waiting[w.Flow]
	delete(a.waiting, w.Flow)
	v.report.Refused++
	if o.abandoned {
		return
	}
	o.abandoned = true
	delay := callerDelay + time.Duration(v.random.Int64N(int64(maxRetryDelay)))
	v.loop.After(delay, func() { v.open(o.request) })
}

// expectedLoad returns the number of requests that the server has or is about to receive.
func (a *agent) expectedLoad() int { return a.reserved + a.running + len(a.backlog) }

// admit opens waiting flows while the queue allows it.
func (v *run) admit(a *agent) {
	for {
		w := a.queue.Next(v.loop.Now(), a.expectedLoad(), v.c.Slots, v.lowestPriority())
		if w == nil {
			return
		}
		o := a.waiting[w.Flow]
		delete(a.waiting, w.Flow)
		if v.r.KnownAges && (o.abandoned || o.request.finished) {
			continue
		}
		a.reserved++
		v.report.Opened++
		v.loop.After(2*callerDelay, func() { v.requestDue(a, o) })
	}
}

func (v *run) lowestPriority() (lowest int) {
	for _, k := range v.c.Kinds {
		lowest = max(lowest, k.Priority)
	}
	return lowest
}

// requestDue is called when the request of an opened flow is due. If the caller has given up, the request
// does not arrive, and its slot stays reserved for some time.
func (v *run) requestDue(a *agent, o *pendingFlow) {
	if o.abandoned || o.request.finished {
		v.report.Abandoned++
		v.loop.After(reservedRoundTrips*2*callerDelay, func() {
			a.reserved--
			v.admit(a)
		})
		return
	}
	o.opened = true
	a.reserved--
	if o.request.kind.Pooled {
		v.lostFlows--
	}
	v.enqueue(a, o.request)
}

// enqueue queues a request at a server.
func (v *run) enqueue(a *agent, q *request) {
	a.backlog = append(a.backlog, q)
	v.start(a)
}

// start runs queued requests while slots are free.
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

// answer counts an answered request.
func (v *run) answer(q *request) {
	if q.finished {
		return
	}
	q.finished = true
	if v.loop.Now().Add(callerDelay).Sub(q.sent) <= q.kind.Target {
		v.window(q).InTime++
		v.report.All.InTime++
		return
	}
	v.window(q).Late++
	v.report.All.Late++
}

// tick has all agents check their queues periodically, as real agents do.
func (v *run) tick() {
	v.loop.After(tickInterval, func() {
		for _, a := range v.agents {
			v.admit(a)
		}
		v.tick()
	})
}
