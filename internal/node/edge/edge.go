// Package edge implements the entry for opaque flows. An entry receives callers' packets and forwards each
// to the agent beside the backend server that holds the flow.
//
// The decisions are made by packages without I/O: steer places new flows, owner remembers where they went,
// homes determines the home of a flow, and belief holds the routes and servers. The home is the agent that
// keeps the flow's location record; it is queried about flows that the entry doesn't know. An entry keeps
// no state that a flow needs: if it is killed, its flows continue through another entry. It sees only the
// direction towards the servers, because agents answer callers directly.
//
// The package does not read the platform (package follow) and knows no wire format (segs.Codec).
//
// # Usage
//
//	e := edge.New(edge.Config{Self: self, Domain: domain, Log: log, Codec: codec, Wire: wire, Events: events})
//	e.FromCaller(now, datagram)  // from the callers' socket
//	e.FromPeer(now, from, header, rest) // from the link
//	e.Tick(now)
package edge

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/bulk"
	"mangowinch/internal/load/detect"
	"mangowinch/internal/load/level"
	"mangowinch/internal/load/pace"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/room"
	"mangowinch/internal/load/steer"
	"mangowinch/internal/load/usage"
	"mangowinch/internal/node/doubt"
	"mangowinch/internal/oper/event"
)

// Wire sends datagrams. It does not retain them.
type Wire interface {
	ToPeer(agent netip.Addr, message []byte)
	ToCaller(caller [4]byte, packet []byte)
}

// Control is the part of package follow that an entry uses.
type Control interface {
	ObserveRevision(from netip.Addr, revision order.Revision)
	Leaving(agent netip.Addr) bool
	Age(now time.Time) (age time.Duration, ok bool)
	EntryShare() float64
}

// Config holds the dependencies and settings of an Entry.
type Config struct {
	Self    netip.Addr
	Domain  string
	Log     *belief.Log
	Control Control
	Prober  doubt.Prober // its answers are passed to Entry.MarkAlive and Entry.ProbeAnswered
	Codec   segs.Codec
	// Callers holds how long callers wait for a flow to open.
	Callers          segs.CallerTiming
	Wire             Wire
	Events           *event.Log
	PropagationBound time.Duration  // within which a change is in force everywhere
	MaxLife          time.Duration  // upper bound of a flow's duration
	Rand             *rand.Rand     // used with the entry's lock held
	Off              parts.Off      // parts that are switched off
	Rate             float64        // of the entry's link in bytes per second, as the operator states it; 0: not stated
	Shares           *usage.Callers // callers between whom room is shared; nil: none
}

const (
	// flowLimit bounds the table of flows. A flow takes about 290 bytes, so the table takes 19 MB of the
	// 104 MB that the smallest instance has.
	flowLimit = 65536
	// minIdle is the shortest time for which a flow without packets is remembered, whatever the
	// configuration says. The next packet of a forgotten flow takes a detour by way of the flow's home.
	minIdle = 5 * time.Second
	// maxAttempts is the number of agents to which this entry sends the opening packet of one flow.
	maxAttempts = 4
)

// Entry is the state of one running entry.
type Entry struct {
	Config

	// mu guards the fields below.
	mu          sync.Mutex
	flows       *owner.Entry
	chooser     *steer.Chooser
	bulk        *bulk.Gate
	queue       *pace.Queue // packets of long flows that wait for the link
	link        *pace.Link  // learns what the link carries
	rateReport  rateReport  // as last logged
	shares      *shares     // nil: room is not shared between callers
	level       *level.Gate
	room        *room.Meter
	roomAt      time.Time                 // last update of room's metrics
	roomSums    []room.Sum                // as in room's metrics
	levels      []level.Level             // those below 100% at the last tick
	reach       *detect.Detector          // of all agents together: detects that this entry is cut off
	suspects    *doubt.Monitor            // agents that have left a packet unanswered
	toReset     []segs.Flow               // flows of failed agents, whose callers are still to be notified
	cold        map[string]coldPeriod     // by server ID
	evacuations map[string]order.Revision // failure domains that agents reported as evacuated, and the revision of the report, which is newer than this entry's view
	buf         []byte                    // for the message being sent
	packet      []byte                    // for the reset being sent

	queued chan struct{} // signals that packets are queued
}

// coldPeriod is how long a server counts as cold, by the server's latest item in the view. The server may
// become cold again without a restart, when the evacuation of its failure domain ends.
type coldPeriod struct {
	remaining time.Duration // as stated by the item
	until     time.Time
}

// New returns an entry without flows.
func New(c Config) *Entry {
	return &Entry{
		Config:      c,
		flows:       owner.NewEntry(flowLimit),
		chooser:     steer.New(c.Domain, c.Rand, c.Off),
		reach:       detect.New(reachBounds),
		bulk:        newGate(&c),
		queue:       pace.New(c.Rate),
		link:        pace.NewLink(c.Rate),
		queued:      make(chan struct{}, 1),
		shares:      newShares(&c),
		level:       level.New(c.Rand),
		room:        room.NewMeter(),
		suspects:    doubt.New(c.Self, c.Prober, c.Rand),
		cold:        map[string]coldPeriod{},
		evacuations: map[string]order.Revision{},
	}
}

// Len returns the number of known flows.
func (e *Entry) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.flows.Len()
}

// Tick removes expired state, places or refuses queued flows, and probes agents that have left packets
// unanswered.
func (e *Entry) Tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	idle := minIdle
	if c := e.Log.View().Config; c != nil {
		idle = max(idle, c.Idle)
	}
	if n := e.flows.Expire(now, idle); n > 0 {
		expired.Add(n)
	}
	e.bulk.Expire(now)
	e.shares.tick(now, e.Control.EntryShare)
	e.placeWaiting(now)
	e.sendQueued(now)
	e.adjustRate(now)
	e.reportLevels(now)
	e.updateRoom(now)
	e.checkReach(now)
	e.checkSuspects(now)
	e.resetFailedFlows(now)
}

// ViewChanged updates the state that is derived from the view. It must be called after each change of the
// view.
func (e *Entry) ViewChanged(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.Log.View()
	e.chooser.Retain(v.Homes.Agents())
	e.room.Retain(now, v.Homes.Agents())
	e.retainReports(v)
	present := map[string]bool{}
	for _, a := range v.Homes.Agents() {
		s, _ := v.Server(a)
		present[s.ID] = true
		if w, seen := e.cold[s.ID]; !seen || w.remaining != s.Cold {
			e.cold[s.ID] = coldPeriod{remaining: s.Cold, until: now.Add(s.Cold)}
		}
	}
	for id := range e.cold {
		if !present[id] {
			delete(e.cold, id)
		}
	}
	e.expireEvacuations(v)
}

// FromCaller handles a packet from a caller.
func (e *Entry) FromCaller(now time.Time, datagram []byte) {
	s, err := e.Codec.Decode(datagram, segs.CallerEnd)
	if err != nil || s.Has(segs.Returned) {
		countDropped("malformed")
		return
	}
	received.Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.Log.View()
	route := v.Route(s.Flow.ServiceAddr())
	if route == nil {
		e.unroutedFromCaller(now, v, &s)
		return
	}
	if s.Opening() {
		e.queue.Charge(now, len(datagram))
		e.open(now, v, route, &s, datagram)
		return
	}
	if s.Has(segs.Rst) {
		e.discardAborted(s.Flow)
	}
	paced := e.isPaced(s.Flow) && !s.Has(segs.Rst)
	e.trackBulk(now, &s, len(datagram))
	if paced {
		e.enqueue(now, s.Flow, datagram)
		return
	}
	if e.bulk.FillsWindow(s.Flow) {
		e.link.MarkBusy(now)
	}
	e.queue.Charge(now, len(datagram))
	e.forward(now, v, &s, datagram)
}

// unroutedFromCaller handles a caller's packet to an address that no route has. A copy of an opening packet that
// this entry has placed is dropped: the route was removed meanwhile, and a server may have opened the flow.
func (e *Entry) unroutedFromCaller(now time.Time, v *belief.View, s *segs.Segment) {
	if p := e.flows.Get(s.Flow); s.Opening() && p != nil && p.Last() != nil {
		countDropped("unrouted")
		return
	}
	e.unrouted(now, v, s)
}

// unrouted handles a packet to an address that no route has. A new flow is refused at once if the view is
// recent enough to be sure that no route exists. An entry whose view may be outdated drops the packet: by
// the time of the caller's next retransmission it may have the route.
func (e *Entry) unrouted(now time.Time, v *belief.View, s *segs.Segment) {
	age, known := e.Control.Age(now)
	if !s.Opening() || v.Config == nil || !known || age > e.PropagationBound {
		countDropped("unrouted")
		return
	}
	e.refuse(now, s, "unrouted")
}

// refuse resets a flow that isn't open. No server has run any of its requests.
func (e *Entry) refuse(now time.Time, s *segs.Segment, why string) {
	e.recordRefusal(now, s.Flow, why)
	e.flows.Delete(s.Flow)
	e.packet = e.Codec.Reset(e.packet[:0], *s)
	e.Wire.ToCaller(s.Flow.Caller, e.packet)
	countRefused(why)
	age, _ := e.Control.Age(now)
	e.Events.Flow(event.Failure, "refused", s.Flow).Str("why", why).Int64("version", e.Log.View().Version()).
		Stringer("revision", e.Log.Revision()).Dur("age", age).Send()
}

// forward forwards a packet of a flow that has begun.
func (e *Entry) forward(now time.Time, v *belief.View, s *segs.Segment, datagram []byte) {
	if p := e.flows.Get(s.Flow); p != nil && e.forwardKnown(now, v, p, s, datagram) {
		return
	}
	e.forwardToHome(now, v, s, datagram)
}

// forwardToHome forwards a packet of a flow that this entry doesn't know to the flow's home. If the home has
// failed, the packet goes to the agent that takes its place.
func (e *Entry) forwardToHome(now time.Time, v *belief.View, s *segs.Segment, datagram []byte) {
	home, ok := v.Homes.Of(s.Flow)
	homeFailed := e.suspects.Failed(home)
	if homeFailed {
		home, ok = v.Homes.Except(s.Flow, e.suspects.Failed)
	}
	if !ok {
		countDropped("homeless")
		return
	}
	e.recordHomeQuery(now, home, s)
	homeQueries.Inc()
	e.Events.Flow(event.Ordinary, "asked", s.Flow).Stringer("home", home).Stringer("revision", v.Revision).Send()
	e.notifyFailed(now, v, home)
	e.send(v, home, msgs.Forward{AsHome: homeFailed, Packet: datagram})
}

// recordHomeQuery records that a home was queried about a flow. If the caller repeats the packet, the home
// is suspected: it may have failed, and no other agent is queried until that is known. Flows known only by
// such queries take at most half of the table, because packets of flows that were never opened create them
// too.
func (e *Entry) recordHomeQuery(now time.Time, home netip.Addr, s *segs.Segment) {
	p := e.flows.Get(s.Flow)
	if p == nil && e.flows.Len() < flowLimit/2 {
		p = e.flows.Add(now, s.Flow)
	}
	if p == nil {
		return
	}
	p.LastUsed = now
	if p.Observe(s) {
		e.suspect(now, home)
	}
}

// forwardKnown forwards a packet of a flow that this entry knows to the flow's agent, or resets the flow if
// the agent has failed. It returns false if the location of the flow is not known after all.
func (e *Entry) forwardKnown(now time.Time, v *belief.View, p *owner.EntryFlow, s *segs.Segment, datagram []byte) bool {
	agent, ok := p.AgentFor(s.Ack)
	if !ok {
		return false
	}
	p.LastUsed = now
	requests := p.Requests
	if p.Observe(s) {
		e.suspect(now, agent)
	}
	if p.Requests > requests {
		e.chargeRequest(now, p, s.Flow)
	}
	switch {
	case !e.suspects.Failed(agent):
		e.forwardTo(v, agent, datagram)
		return true
	case p.Owner == agent:
		e.reset(now, s.Flow, p)
		return true
	default: // another server may hold the flow
		return false
	}
}

// forwardTo forwards a caller's packet to an agent.
func (e *Entry) forwardTo(v *belief.View, agent netip.Addr, datagram []byte) {
	e.send(v, agent, msgs.Forward{Packet: datagram})
}

func (e *Entry) send(v *belief.View, agent netip.Addr, m msgs.Forward) {
	m.Origin, m.Domain = e.Self, belief.DomainHash(e.Domain)
	m.Revision = v.Revision
	e.buf = m.AppendTo(e.buf[:0])
	e.Wire.ToPeer(agent, e.buf)
	forwarded.Inc()
}
