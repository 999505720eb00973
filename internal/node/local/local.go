// Package local is the agent for opaque flows. It runs beside one backend server, gives it the packets of its
// flows, and sends the server's packets directly to the callers.
//
// The agent is the only authority on which flows its server holds, because it sees every packet of both
// directions. Each flow also has a home: an agent, determined by a hash of the flow (package homes), that keeps
// the record of which agent owns the flow. An agent registers its flows with their homes, reports each to the
// entry that sent the opening packet, and returns the opening packets that its server does not take. As a home
// it forwards the packets of flows that an entry has no record of. If the home has no record either, it asks
// all agents (lookup.go).
//
// The package sends resets only for flows that the server itself, or every agent, has reported as not held, and
// for idle flows of a server whose circuit breaker is open (breaker.go). It ends no other flow.
//
// # Usage
//
//	a := local.New(local.Config{Self: self, Service: service, Log: log, Codec: codec, Wire: wire, Events: events})
//	a.FromServer(now, datagram)
//	a.FromPeer(now, from, header, rest)
//	a.Tick(now)
package local

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/locate"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/hold"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/quick"
	"mangowinch/internal/load/speed"
	"mangowinch/internal/load/trip"
	"mangowinch/internal/load/warm"
	"mangowinch/internal/node/doubt"
	"mangowinch/internal/oper/event"
)

// Wire sends datagrams. It does not retain them.
type Wire interface {
	ToPeer(peer netip.Addr, message []byte)
	ToCaller(caller [4]byte, packet []byte)
	ToServer(packet []byte)
}

// Control is the part of package follow that an agent uses.
type Control interface {
	Age(now time.Time) (age time.Duration, ok bool)
	Leaving(agent netip.Addr) bool
}

// Config holds the settings and dependencies of an Agent.
type Config struct {
	Self    netip.Addr
	Domain  string // failure domain
	Service string
	// ReadService reads the service of the server from the settings again; nil if it can't change. It is called with the
	// agent's lock held.
	ReadService      func() (service string, err error)
	Backend          netip.AddrPort
	Log              *belief.Log
	Control          Control
	Prober           doubt.Prober // its answers are passed to Agent.MarkAlive and Agent.ProbeAnswered
	Codec            segs.Codec
	Callers          segs.CallerTiming
	Wire             Wire
	Events           *event.Log
	PropagationBound time.Duration // within which a change is in force everywhere
	MaxLife          time.Duration // upper bound of a flow's duration
	Started          time.Time     // start time of the process
	Rand             *rand.Rand    // used with the agent's lock held
	Off              parts.Off
}

const (
	// flowLimit bounds the flows of the local server, which holds about 2,000 itself. A flow takes about 300
	// bytes.
	flowLimit = 8192
	// homeLimit bounds the flows that the agent is the home of. 9.7 million flows over 6,800 agents are 1,430
	// each; a small fleet's share is less.
	homeLimit = 16384
	// maxHops bounds how often a packet is forwarded: to the home, to the owner, and twice more where lists of
	// agents differ.
	maxHops = 4
	// minIdle is the minimum time that a flow without packets is remembered.
	minIdle = 5 * time.Second
	// closedRetention is how long a flow is remembered after both ends have closed it, for late packets.
	closedRetention = 3 * time.Second
	// openingRetention is how long an unanswered flow is remembered after its caller has given up: the server's
	// answer may still arrive, and must not cause a lookup of the flow.
	openingRetention = 600 * time.Millisecond
	// learnedWindow is subtracted from the first sequence number that is seen of a flow learned in its middle,
	// so that acknowledgements of data sent before still fit.
	learnedWindow = 1 << 20
)

// Agent is the state of one running agent.
type Agent struct {
	Config
	hash uint32 // hash of the service's name

	// mu guards the fields below.
	mu               sync.Mutex
	flows            *owner.Agent
	home             *owner.Home
	waiting          *hold.Queue
	probes           map[segs.Flow]probe
	lookups          map[segs.Flow]*lookup         // lookups by this agent as a home
	rounds           *locate.Rounds                // rounds of this agent as a lead
	suspects         *doubt.Monitor                // agents that have left a message unanswered
	forwardedPackets map[segs.Flow]forwardedPacket // as a home: packets sent to suspected owners
	leaving          bool
	breaker          trip.Breaker
	quick            *quick.Breaker
	meter            speed.Meter // of the local server's service times
	warmUp           warm.Limiter
	pendingResets    []segs.Flow // idle flows to reset while the breaker is open
	server           serverState
	confirmed        confirmation
	otherID          string    // ID of the last server that server-other was logged for
	lastDown         time.Time // when the server's address last refused a packet
	wasEvacuated     bool      // the failure domain was evacuated at some time since the agent's start
	unansweredSince  time.Time // when the first opening packet was sent since the server's last packet; zero if none
	lastRetry        time.Time // when an unresponsive server last got an opening packet
	buf              []byte
	packet           []byte
}

// New returns an agent without any flows.
func New(c Config) *Agent {
	return &Agent{
		Config:           c,
		hash:             belief.ServiceHash(c.Service),
		flows:            owner.NewAgent(flowLimit, c.Off),
		home:             owner.NewHome(homeLimit),
		waiting:          hold.New(c.Callers, c.Off),
		probes:           map[segs.Flow]probe{},
		lookups:          map[segs.Flow]*lookup{},
		rounds:           locate.New(rand.Uint32()),
		suspects:         doubt.New(c.Self, c.Prober, c.Rand),
		forwardedPackets: map[segs.Flow]forwardedPacket{},
		quick:            quick.New(),
	}
}

// Load returns the server's load.
func (a *Agent) Load(now time.Time) msgs.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.flows.Load(now)
}

// Waiting returns the number of flows that wait for the server.
func (a *Agent) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiting.Len()
}

// Leave makes the agent return new flows from now on. Open flows continue.
func (a *Agent) Leave(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.returnAllWaiting(now, msgs.ReasonLeaving)
}

// downFor is how long the server counts as down after its address refused a packet, unless it sends something.
const downFor = 500 * time.Millisecond

// ServerDown notes that a packet to the server found no listener.
func (a *Agent) ServerDown(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastDown) > downFor {
		a.Events.State("server-down").Stringer("server", a.Backend).Send()
	}
	a.lastDown = now
}

// Tick expires flows, lookups and probes, repeats what has had no answer, and admits waiting flows.
func (a *Agent) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	idle := a.idle()
	a.flows.Expire(now, owner.Lifetimes{Idle: idle, MaxAge: a.MaxLife + closedRetention, Closed: closedRetention, Opening: a.Callers.GiveUp + openingRetention})
	a.admit(now)
	a.home.Expire(now, a.MaxLife+closedRetention)
	a.resetIdleFlows(now)
	a.expireProbes(now)
	a.tickLookups(now)
	a.checkSuspects(now)
	a.tickRounds(now)
	a.updateEvacuatedFlows()
}

func (a *Agent) idle() time.Duration {
	if c := a.Log.View().Config; c != nil {
		return max(minIdle, c.Idle)
	}
	return a.MaxLife
}

// ViewChanged must be called after the view has changed. It registers flows whose home has changed.
func (a *Agent) ViewChanged(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.Log.View()
	a.evacuate(now, v)
	a.reportOtherService(v)
	if self, ok := a.self(v); ok {
		a.updateServer(v, self)
		a.flows.SetSlots(self.Slots)
		a.updateWarmUp(now, self)
	} else if a.server.firstRevision == 0 {
		a.server.firstRevision = v.Revision
	}
	moved := map[netip.Addr][]msgs.Location{}
	for f, o := range a.flows.All {
		if !o.Accepted {
			continue
		}
		home, ok := v.Homes.Of(f)
		if !ok || home == o.Home {
			continue
		}
		o.Home = home
		moved[home] = append(moved[home], msgs.Location{Flow: f, Seq: o.Seq})
	}
	for home, locations := range moved {
		a.register(now, home, locations)
	}
}

// serverState is what the agent knows of its server from the server's records on the platform.
type serverState struct {
	firstRevision order.Revision // of the first belief after the agent's start
	id            string
	born          int64
	cold          time.Duration // remaining cold time by the last record
	newer         bool          // the server started while the agent was running
}

// firstSeq is the sequence number of the first record that a server writes after its start.
const firstSeq = 1

// updateServer detects a new start of the server from its record. A server whose first record came after the
// agent's first belief, and that is still cold, has started beside a running agent, which therefore sees all of
// its flows. A record that is back after it expired, or after the platform's store lost it, is no new start:
// its server has written before and is not cold, unless an evacuation has made running servers cold.
func (a *Agent) updateServer(v *belief.View, self belief.Server) {
	if a.server.firstRevision == 0 {
		a.server.firstRevision = v.Revision
	}
	if self.ID == a.server.id && self.Born == a.server.born {
		return
	}
	if a.server.id != "" {
		a.resetService() // another run of the server may have another speed
	}
	a.server.id, a.server.born, a.server.cold = self.ID, self.Born, coldUnknown
	a.server.newer = self.Created > a.server.firstRevision && self.Seq <= firstSeq && self.Cold > 0 && !a.wasEvacuated
	a.Events.State("server").Str("id", self.ID).Stringer("created", self.Created).Uint64("seq", self.Seq).Dur("cold", self.Cold).
		Bool("whole", a.server.newer).Send()
}

// reportOtherService logs that the platform's record of the server at this agent's address names another service than
// the settings.
func (a *Agent) reportOtherService(v *belief.View) {
	s, ok := v.Server(a.Self)
	if !ok || s.Service == a.Service || s.ID == a.otherID {
		return
	}
	a.otherID = s.ID
	a.Events.State("server-other").Str("id", s.ID).Str("service", s.Service).Str("own", a.Service).
		Stringer("created", s.Created).Stringer("revision", v.Revision).Send()
}

// register sends a home the locations of flows that this agent owns and that the home is responsible for.
func (a *Agent) register(now time.Time, home netip.Addr, locations []msgs.Location) {
	if home == a.Self {
		for _, p := range locations {
			a.home.Register(now, a.Self, p)
		}
		return
	}
	for len(locations) > 0 {
		n := min(len(locations), msgs.MaxLocations)
		m := msgs.Register{Header: a.head(), Locations: locations[:n]}
		a.buf = m.AppendTo(a.buf[:0])
		a.Wire.ToPeer(home, a.buf)
		registered.Add(n)
		locations = locations[n:]
	}
}

// registerOne registers one flow with its home.
func (a *Agent) registerOne(now time.Time, o *owner.Flow, f segs.Flow) {
	home, ok := a.Log.View().Homes.Of(f)
	if !ok {
		return
	}
	o.Home = home
	a.register(now, home, []msgs.Location{{Flow: f, Seq: o.Seq}})
}

func (a *Agent) head() msgs.Header {
	return msgs.Header{Revision: a.Log.Revision(), Service: a.hash}
}

// self returns the platform's record of the local server.
func (a *Agent) self(v *belief.View) (s belief.Server, ok bool) {
	s, ok = v.Server(a.Self)
	return s, ok && s.Service == a.Service
}
