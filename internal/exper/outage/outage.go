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
	"mangowinch/internal/load/parts"
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
	rules     Rules
	loop      *loop.Loop
	random    *rand.Rand
	agents    []*agent
	peers     [][]share.Server // by agent
	lostFlows int              // pooled flows that no server holds since the outage
	lastFlow  uint32
	report    Report
}

// Run simulates a case.
func Run(c Case, rules Rules, seed uint64) Report {
	r := &run{c: c, rules: rules, loop: loop.New(), random: rand.New(rand.NewPCG(seed, 1)), lostFlows: c.PooledFlows}
	maxWait := openTimeout - openAnswerTime
	if rules.KnownAges {
		maxWait = c.Length // admit skips the flows of callers that have given up
	}
	for i := range c.Servers {
		queue := hold.New(segs.CallerTiming{GiveUp: maxWait + openAnswerTime}, parts.Off{})
		r.agents = append(r.agents, &agent{index: i, queue: queue, waiting: map[segs.Flow]*pendingFlow{}})
	}
	for i := range c.Servers {
		var list []share.Server
		for j := range c.Servers {
			if j != i {
				list = append(list, share.Server{Agent: address(j), SameDomain: j%c.Domains == i%c.Domains})
			}
		}
		r.peers = append(r.peers, list)
	}
	for i := range c.Kinds {
		r.scheduleArrival(&c.Kinds[i])
	}
	r.tick()
	r.loop.Run(c.Length + 4*time.Second)
	return r.report
}

func address(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}) }

func index(a netip.Addr) int {
	b := a.As4()
	return int(b[2])<<8 | int(b[3])
}

// scheduleArrival schedules the next request of a kind, and so all that follow.
func (r *run) scheduleArrival(k *RequestKind) {
	r.loop.After(time.Duration(-math.Log(1-r.random.Float64())/k.Rate*float64(time.Second)), func() {
		if r.loop.Elapsed() < r.c.Length {
			r.send(k)
			r.scheduleArrival(k)
		}
	})
}

// send sends a request. A pooled request uses a random flow of the pool; if that flow was lost in the
// outage, or if the request is not pooled, a new flow is opened.
func (r *run) send(k *RequestKind) {
	q := &request{kind: k, sent: r.loop.Now()}
	w := r.window(q)
	w.Sent++
	r.report.All.Sent++
	r.loop.After(k.Deadline, func() {
		if !q.finished {
			q.finished = true
			r.window(q).Failed++
			r.report.All.Failed++
		}
	})
	if !k.Pooled {
		r.open(q)
		return
	}
	if r.random.IntN(r.c.PooledFlows) >= r.lostFlows {
		r.loop.After(callerDelay, func() { r.enqueue(r.agents[r.random.IntN(len(r.agents))], q) })
		return
	}
	r.firstDelivered(requestSends, func(time.Duration) {
		r.loop.After(lookupTime, func() {
			if !q.finished {
				r.open(q)
			}
		})
	})
}

// window returns the counts of the interval in which a request was sent.
func (r *run) window(q *request) *Counts {
	i := int(q.sent.Sub(r.loop.Now().Add(-r.loop.Elapsed())) / window)
	for len(r.report.Windows) <= i {
		r.report.Windows = append(r.report.Windows, Counts{})
	}
	return &r.report.Windows[i]
}

// firstDelivered calls deliver when the first of several transmissions reaches a running agent, with the
// offset of that transmission.
func (r *run) firstDelivered(offsets []time.Duration, deliver func(offset time.Duration)) {
	up := r.c.Downtime + time.Duration(r.random.Int64N(int64(startSpread)))
	for _, d := range offsets {
		if r.loop.Elapsed()+d >= up {
			r.loop.After(d+callerDelay, func() { deliver(d) })
			return
		}
	}
}

// open sends the opening packets of a flow for a request.
func (r *run) open(q *request) {
	if q.opens == maxOpens || q.finished {
		return
	}
	q.opens++
	r.lastFlow++
	o := &pendingFlow{request: q, flow: segs.Flow{Caller: [4]byte{byte(r.lastFlow >> 24), byte(r.lastFlow >> 16), byte(r.lastFlow >> 8), byte(r.lastFlow)}}}
	r.loop.After(openTimeout, func() {
		if !o.opened && !o.abandoned {
			o.abandoned = true
			r.open(q)
		}
	})
	r.firstDelivered(openingSends, func(age time.Duration) {
		if o.abandoned || q.finished {
			return
		}
		w := hold.QueuedFlow{Flow: o.flow, Priority: q.kind.Priority, FirstSent: r.loop.Now().Add(-age), Target: q.kind.Target, Timeout: q.kind.Deadline}
		if r.rules.KnownAges {
			w.FirstSent = q.sent
		}
		r.offer(r.agents[r.random.IntN(len(r.agents))], o, &w, nil, false)
	})
}

// offer offers a flow to an agent, which queues it or forwards it to another agent.
func (r *run) offer(a *agent, o *pendingFlow, w *hold.QueuedFlow, visited []msgs.Visit, final bool) {
	work := uint16((a.expectedLoad() + a.queue.Len()) * 100 / r.c.Slots)
	next := share.Next(share.Server{Agent: address(a.index), Utilization: work}, visited, final, r.peers[a.index], r.random.IntN)
	if i := index(next.Agent); i != a.index {
		r.loop.After(hopDelay, func() { r.offer(r.agents[i], o, w, next.Visited, next.Final) })
		return
	}
	a.waiting[o.flow] = o
	refused := a.queue.Add(r.loop.Now(), w, r.rules.PerSlot*r.c.Slots)
	if refused != nil {
		r.refuse(a, refused)
	}
	r.admit(a)
}

// refuse refuses a waiting flow. Its caller retries after a random delay.
func (r *run) refuse(a *agent, w *hold.QueuedFlow) {
	o := a.waiting[w.Flow]
	delete(a.waiting, w.Flow)
	r.report.Refused++
	if o.abandoned {
		return
	}
	o.abandoned = true
	delay := callerDelay + time.Duration(r.random.Int64N(int64(maxRetryDelay)))
	r.loop.After(delay, func() { r.open(o.request) })
}

// expectedLoad returns the number of requests that the server has or is about to receive.
func (a *agent) expectedLoad() int { return a.reserved + a.running + len(a.backlog) }

// admit opens waiting flows while the queue allows it.
func (r *run) admit(a *agent) {
	for {
		w := a.queue.Next(r.loop.Now(), r.serverState(a))
		if w == nil {
			return
		}
		o := a.waiting[w.Flow]
		delete(a.waiting, w.Flow)
		if r.rules.KnownAges && (o.abandoned || o.request.finished) {
			continue
		}
		a.reserved++
		r.report.Opened++
		r.loop.After(2*callerDelay, func() { r.requestDue(a, o) })
	}
}

// serverState returns what an agent's queue has to know about its server.
func (r *run) serverState(a *agent) hold.Server {
	return hold.Server{Expected: a.expectedLoad(), Slots: r.c.Slots, Lowest: r.lowestPriority(), Service: r.c.Kinds[0].ServiceTime}
}

func (r *run) lowestPriority() (lowest int) {
	for _, k := range r.c.Kinds {
		lowest = max(lowest, k.Priority)
	}
	return lowest
}

// requestDue is called when the request of an opened flow is due. If the caller has given up, the request
// does not arrive, and its slot stays reserved for some time.
func (r *run) requestDue(a *agent, o *pendingFlow) {
	if o.abandoned || o.request.finished {
		r.report.Abandoned++
		r.loop.After(reservedRoundTrips*2*callerDelay, func() {
			a.reserved--
			r.admit(a)
		})
		return
	}
	o.opened = true
	a.reserved--
	if o.request.kind.Pooled {
		r.lostFlows--
	}
	r.enqueue(a, o.request)
}

// enqueue queues a request at a server.
func (r *run) enqueue(a *agent, q *request) {
	a.backlog = append(a.backlog, q)
	r.start(a)
}

// start runs queued requests while slots are free.
func (r *run) start(a *agent) {
	for a.running < r.c.Slots && len(a.backlog) > 0 {
		q := a.backlog[0]
		a.backlog = a.backlog[1:]
		a.running++
		took := time.Duration(float64(q.kind.ServiceTime) * (0.5 + r.random.Float64()))
		if r.loop.Elapsed() < r.c.Downtime+r.c.ColdStart {
			took = time.Duration(float64(took) * r.c.ColdFactor)
		}
		r.loop.After(took, func() {
			a.running--
			r.answer(q)
			r.start(a)
			r.admit(a)
		})
	}
}

// answer counts an answered request.
func (r *run) answer(q *request) {
	if q.finished {
		return
	}
	q.finished = true
	if r.loop.Now().Add(callerDelay).Sub(q.sent) <= q.kind.Target {
		r.window(q).InTime++
		r.report.All.InTime++
		return
	}
	r.window(q).Late++
	r.report.All.Late++
}

// tick has all agents check their queues periodically, as real agents do.
func (r *run) tick() {
	r.loop.After(tickInterval, func() {
		for _, a := range r.agents {
			r.admit(a)
		}
		r.tick()
	})
}
