// Package edge is the entry for opaque flows: it receives callers' packets and hands
// each to the agent beside the server that holds its flow.
//
// It decides by pure packages: steer places new flows, owner remembers where they went,
// homes says whom to ask about a flow that it doesn't know, belief says which routes and
// servers there are. It keeps no state that a flow needs: kill it, and every flow goes on
// by another entry. It sees only the way to the servers; agents answer callers directly.
//
// It does not read the platform (package follow), and it knows no wire format (segs.Codec).
//
// # Usage
//
//	e := edge.New(edge.Config{Self: self, Domain: domain, Log: log, Codec: codec, Wire: wire, Events: events})
//	e.FromCaller(now, datagram)  // from the callers' socket
//	e.FromPeer(now, from, message) // from the link
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
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/steer"
	"mangowinch/internal/node/doubt"
	"mangowinch/internal/oper/event"
)

// Wire sends datagrams. It keeps no reference to them.
type Wire interface {
	ToPeer(agent netip.Addr, message []byte)
	ToCaller(caller [4]byte, packet []byte)
}

// Control is the part of package follow that an entry uses.
type Control interface {
	ObserveRevision(from netip.Addr, revision order.Revision)
	Leaving(agent netip.Addr) bool
	Age(now time.Time) (age time.Duration, ok bool)
}

// Config is what an Entry is made of.
type Config struct {
	Self   netip.Addr
	Domain string
	Log    *belief.Log
	Ctrl   Control
	Prober doubt.Prober // its answers come to Entry.Heard
	Codec  segs.Codec
	// Callers says how long callers wait for a flow to open.
	Callers segs.CallerTiming
	Wire    Wire
	Events  *event.Log
	Bound   time.Duration // a change is in force within it
	Life    time.Duration // no flow lives longer
	Rand    *rand.Rand    // used under the entry's lock
	Off     parts.Off
	Rate    float64 // of the entry's link in bytes a second, as its operator states it; 0: not stated
}

const (
	// flowLimit bounds the table. A flow takes some 290 bytes, so 19 MB of the smallest
	// instance's 104 MB.
	flowLimit = 65536
	// idleLeast is how long a flow without packets is remembered at least, whatever the
	// configuration says; forgetting one costs a packet's detour by the home.
	idleLeast = 5 * time.Second
	// maxTries is how many agents get the opening packet of one flow from this entry.
	maxTries = 4
)

// Entry is one running entry's state.
type Entry struct {
	Config

	// mu guards what follows.
	mu      sync.Mutex
	flows   *owner.Entry
	chooser *steer.Chooser
	bulk    *bulk.Gate
	agents  *detect.Detector          // of all agents together: is this entry cut off?
	doubted *doubt.Monitor            // agents that have left something unanswered
	ending  []segs.Flow               // of lost agents, whose callers are to be told
	cold    map[string]warmth         // by server ID
	emptied map[string]order.Revision // failure domains that agents called evacuated, and their revision: this entry is behind
	buf     []byte                    // of the message being sent
	packet  []byte                    // of the reset being sent
}

// warmth is how long a server is cold, by its last entry. It may turn cold without a new start, when its failure domain is
// taken back.
type warmth struct {
	left  time.Duration // that the entry says
	until time.Time
}

// New returns an entry without flows.
func New(c Config) *Entry {
	return &Entry{
		Config:  c,
		flows:   owner.NewEntry(flowLimit),
		chooser: steer.New(c.Domain, c.Rand, c.Off),
		agents:  detect.New(cutOff),
		bulk:    newGate(&c),
		doubted: doubt.New(c.Self, c.Prober, c.Rand),
		cold:    map[string]warmth{},
		emptied: map[string]order.Revision{},
	}
}

// Len is the number of flows known.
func (e *Entry) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.flows.Len()
}

// Tick forgets what is over, and asks agents that are silent.
func (e *Entry) Tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	idle := idleLeast
	if c := e.Log.View().Config; c != nil {
		idle = max(idle, c.Idle)
	}
	if n := e.flows.Expire(now, idle); n > 0 {
		expired.Add(n)
	}
	e.bulk.Expire(now)
	e.beginBulk(now)
	e.watch(now)
	e.watchDoubted(now)
	e.tellEnding(now)
}

// ViewChanged is to be called after the view has changed.
func (e *Entry) ViewChanged(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.Log.View()
	e.chooser.Retain(v.Homes.Agents())
	present := map[string]bool{}
	for _, a := range v.Homes.Agents() {
		s, _ := v.Server(a)
		present[s.ID] = true
		if w, seen := e.cold[s.ID]; !seen || w.left != s.Cold {
			e.cold[s.ID] = warmth{left: s.Cold, until: now.Add(s.Cold)}
		}
	}
	for id := range e.cold {
		if !present[id] {
			delete(e.cold, id)
		}
	}
	e.caughtUp(v)
}

// FromCaller takes a packet from a caller.
func (e *Entry) FromCaller(now time.Time, datagram []byte) {
	s, err := e.Codec.Decode(datagram, segs.CallerEnd)
	if err != nil || s.Has(segs.Returned) {
		dropped("malformed")
		return
	}
	received.Inc()
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.Log.View()
	route := v.Route(s.Flow.ServiceAddr())
	if route == nil {
		e.unrouted(now, v, &s)
		return
	}
	if s.Opening() {
		e.open(now, v, route, &s, datagram)
		return
	}
	e.noteBulk(now, &s, len(datagram))
	e.follow(now, v, &s, datagram)
}

// unrouted handles a packet to an address that no route has. A flow is refused at once if the
// belief is fresh enough to know; an entry that may be behind stays silent, and the caller's copy finds it wiser.
func (e *Entry) unrouted(now time.Time, v *belief.View, s *segs.Segment) {
	age, known := e.Ctrl.Age(now)
	if !s.Opening() || v.Config == nil || !known || age > e.Bound {
		dropped("unrouted")
		return
	}
	e.refuse(now, s, "unrouted")
}

// refuse resets a flow that isn't open; no server has run anything.
func (e *Entry) refuse(now time.Time, s *segs.Segment, why string) {
	e.flows.Delete(s.Flow)
	e.packet = e.Codec.Reset(e.packet[:0], *s)
	e.Wire.ToCaller(s.Flow.Caller, e.packet)
	refused(why)
	age, _ := e.Ctrl.Age(now)
	e.Events.Flow(event.Failure, "refused", s.Flow).Str("why", why).Int64("version", e.Log.View().Version()).
		Stringer("revision", e.Log.Revision()).Dur("age", age).Send()
}

// follow sends a packet of a flow that has begun.
func (e *Entry) follow(now time.Time, v *belief.View, s *segs.Segment, datagram []byte) {
	if p := e.flows.Get(s.Flow); p != nil && e.followKnown(now, v, p, s, datagram) {
		return
	}
	e.ask(now, v, s, datagram)
}

// ask sends a packet of a flow that this entry doesn't know to the flow's home, or to whoever takes its place.
func (e *Entry) ask(now time.Time, v *belief.View, s *segs.Segment, datagram []byte) {
	home, ok := v.Homes.Of(s.Flow)
	lost := e.doubted.Failed(home)
	if lost {
		home, ok = v.Homes.Except(s.Flow, e.doubted.Failed)
	}
	if !ok {
		dropped("homeless")
		return
	}
	e.noteAsked(now, home, s)
	asked.Inc()
	e.Events.Flow(event.Ordinary, "asked", s.Flow).Stringer("home", home).Stringer("revision", v.Revision).Send()
	e.tellLost(now, v, home)
	e.send(v, home, msgs.Forward{AsHome: lost, Packet: datagram})
}

// noteAsked remembers that a home was asked about a flow. If the caller repeats the packet, the home is in doubt: it may be lost, and
// nobody else is asked meanwhile. Flows that nobody has opened take half of the table at most.
func (e *Entry) noteAsked(now time.Time, home netip.Addr, s *segs.Segment) {
	p := e.flows.Get(s.Flow)
	if p == nil && e.flows.Len() < flowLimit/2 {
		p = e.flows.Add(now, s.Flow)
	}
	if p == nil {
		return
	}
	p.LastUsed = now
	if p.Observe(s) {
		e.doubt(now, home)
	}
}

// followKnown sends a packet of a flow that this entry knows to its agent, or tells the caller that the agent is lost. It returns false
// if the flow's place is not known after all.
func (e *Entry) followKnown(now time.Time, v *belief.View, p *owner.EntryFlow, s *segs.Segment, datagram []byte) bool {
	agent, ok := p.AgentFor(s.Ack)
	if !ok {
		return false
	}
	p.LastUsed = now
	if p.Observe(s) {
		e.doubt(now, agent)
	}
	switch {
	case !e.doubted.Failed(agent):
		e.carry(v, agent, datagram)
		return true
	case p.Owner == agent:
		e.end(now, s.Flow, p)
		return true
	default: // another server may hold it
		return false
	}
}

// carry sends a caller's packet to an agent.
func (e *Entry) carry(v *belief.View, agent netip.Addr, datagram []byte) {
	e.send(v, agent, msgs.Forward{Packet: datagram})
}

func (e *Entry) send(v *belief.View, agent netip.Addr, m msgs.Forward) {
	m.Origin, m.Domain = e.Self, belief.DomainHash(e.Domain)
	m.Revision = v.Revision
	if server, ok := v.Server(agent); ok {
		m.Service = belief.ServiceHash(server.Service)
	}
	e.buf = m.AppendTo(e.buf[:0])
	e.Wire.ToPeer(agent, e.buf)
	carried.Inc()
}
