// Package local is the agent for opaque flows: it stands beside one backend server, gives it the
// packets of its flows, and sends what the server sends straight to the callers.
//
// It is the only authority on which flows its server holds: it sees every packet of both
// directions. It tells the flow's home (package homes) and the entry that sent the
// opening packet, hands back what the server doesn't take, and as a home passes on
// packets of flows that an entry doesn't know. If even the home doesn't know, it asks all
// agents (search.go).
//
// It ends no flow that may be open: the only resets it sends are for flows that the
// server itself, or every agent, has said it doesn't hold.
//
// # Usage
//
//	a := local.New(local.Config{Self: self, Service: service, Log: log, Codec: codec, Wire: wire, Events: events})
//	a.FromServer(now, datagram)
//	a.FromPeer(now, from, head, rest)
//	a.Tick(now)
package local

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/seek"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/hold"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/quick"
	"mangowinch/internal/load/trip"
	"mangowinch/internal/load/warm"
	"mangowinch/internal/node/doubt"
	"mangowinch/internal/oper/event"
)

// Wire sends datagrams. It keeps no reference to them.
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

// Config is what an Agent is made of.
type Config struct {
	Self             netip.Addr
	Domain           string // failure domain
	Service          string
	Backend          netip.AddrPort
	Log              *belief.Log
	Control          Control
	Prober           doubt.Prober // its answers come to Agent.Heard
	Codec            segs.Codec
	Callers          segs.CallerTiming
	Wire             Wire
	Events           *event.Log
	PropagationBound time.Duration // a change is in force within it
	MaxLife          time.Duration // no flow lives longer
	Started          time.Time     // of the process
	Rand             *rand.Rand    // used under the agent's lock
	Off              parts.Off
}

const (
	// flowLimit bounds the flows of the own server, which holds some 2,000 itself. A flow takes some 300 bytes.
	flowLimit = 8192
	// homeLimit bounds the flows that the agent is the home of: 9.7 million over 6,800 agents
	// are 1,430; a small fleet's share is less.
	homeLimit = 16384
	// mostHops bounds how often a packet is passed on: home, owner, and twice more when
	// lists of agents differ.
	mostHops = 4
	// idleLeast is how long a flow without packets is remembered at least.
	idleLeast = 5 * time.Second
	// overFor is how long a flow is remembered after both ends have closed, for late packets.
	overFor = 3 * time.Second
	// openingAfter is how long after its caller has given up an unanswered flow is remembered: the server's answer
	// may still come, and nobody is to search for its flow.
	openingAfter = 600 * time.Millisecond
	// learnedBack is put before the first sequence number that is seen of a flow learned
	// in its middle, so that acknowledgements of what was sent before still fit.
	learnedBack = 1 << 20
)

// Agent is one running agent's state.
type Agent struct {
	Config
	hash uint32 // of the service

	// mu guards what follows.
	mu       sync.Mutex
	flows    *owner.Agent
	home     *owner.Home
	waiting  *hold.Queue
	probes   map[segs.Flow]probe
	searches map[segs.Flow]*search // as the home of flows
	rounds   *seek.Rounds          // as a lead
	doubted  *doubt.Monitor        // agents that have left something unanswered
	passed   map[segs.Flow]passing // as the home: packets on their way to owners in doubt
	leaving  bool
	breaker  trip.Breaker
	quick    *quick.Breaker
	warmth   warm.Limiter
	ending   []segs.Flow // that rest at a server that breaks off its requests
	server   sight
	down     time.Time // when the server's address was last found closed
	emptied  bool      // the agent has believed its failure domain evacuated
	unheard  time.Time // when the first packet went to the server that it has sent nothing after
	tried    time.Time // when a mute server last got an opening packet
	buf      []byte
	packet   []byte
}

// New returns an agent that knows no flow.
func New(c Config) *Agent {
	return &Agent{
		Config:   c,
		hash:     belief.ServiceHash(c.Service),
		flows:    owner.NewAgent(flowLimit, c.Off),
		home:     owner.NewHome(homeLimit),
		waiting:  hold.New(c.Callers.OpenWindow()),
		probes:   map[segs.Flow]probe{},
		searches: map[segs.Flow]*search{},
		rounds:   seek.New(rand.Uint32()),
		doubted:  doubt.New(c.Self, c.Prober, c.Rand),
		passed:   map[segs.Flow]passing{},
		quick:    quick.New(),
	}
}

// Load is how busy the server is.
func (a *Agent) Load(now time.Time) msgs.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.flows.Load(now)
}

// SetService says to which service the server belongs from now on. Flows of another one are handed back.
func (a *Agent) SetService(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Service, a.hash = service, belief.ServiceHash(service)
}

// Waiting is how many flows wait for the server.
func (a *Agent) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiting.Len()
}

// Leave makes the agent hand new flows back from now on; those that are open go on.
func (a *Agent) Leave(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.returnWaiting(now, msgs.ReasonLeaving)
}

// downFor is how long the server counts as down after its address was found closed, if nothing
// comes from it.
const downFor = 500 * time.Millisecond

// ServerDown says that a packet to the server found nobody listening.
func (a *Agent) ServerDown(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.down) > downFor {
		a.Events.State("server-down").Stringer("server", a.Backend).Send()
	}
	a.down = now
}

// Tick forgets what is over and registers flows whose home has changed.
func (a *Agent) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	idle := a.idle()
	a.flows.Expire(now, owner.Lifetimes{Idle: idle, MaxAge: a.MaxLife + overFor, Closed: overFor, Opening: a.Callers.GiveUp + openingAfter})
	a.admit(now)
	a.home.Expire(now, a.MaxLife+overFor)
	a.tellResting(now)
	a.expireProbes(now)
	a.tickSearches(now)
	a.watchDoubted(now)
	a.tickRounds(now)
	a.countResting()
}

func (a *Agent) idle() time.Duration {
	if c := a.Log.View().Config; c != nil {
		return max(idleLeast, c.Idle)
	}
	return a.MaxLife
}

// Changed is to be called after the view has changed: homes may have.
func (a *Agent) Changed(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.Log.View()
	a.evacuate(now, v)
	if self, ok := a.self(v); ok {
		a.see(v, self)
		a.seeCold(now, self)
	} else if a.server.first == 0 {
		a.server.first = v.Revision
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
	for home, places := range moved {
		a.register(now, home, places)
	}
}

// sight is what the agent has seen of its server's entries.
type sight struct {
	first order.Revision // of the agent's first belief
	id    string
	born  int64
	cold  time.Duration // how much longer it was to be cold by the last entry
	whole bool          // the agent has run since before the server started
}

// firstWriting is the number of a server's first writing since its start.
const firstWriting = 1

// see notes which start of the server is there now. One whose first writing came after the
// agent's first belief, and that is still cold, has started beside a running agent, which so
// sees all of its flows. An entry that lapsed, or that the platform's store lost, and that is back is no new start: its server has
// written before, and it isn't cold, unless an evacuation has made servers cold that are there all the while.
func (a *Agent) see(v *belief.View, self belief.Server) {
	if a.server.first == 0 {
		a.server.first = v.Revision
	}
	if self.ID == a.server.id && self.Born == a.server.born {
		return
	}
	a.server.id, a.server.born, a.server.cold = self.ID, self.Born, unseen
	a.server.whole = self.Created > a.server.first && self.Seq <= firstWriting && self.Cold > 0 && !a.emptied
	a.Events.State("server").Str("id", self.ID).Stringer("created", self.Created).Uint64("seq", self.Seq).Dur("cold", self.Cold).
		Bool("whole", a.server.whole).Send()
}

// register tells a home which flows the agent owns.
func (a *Agent) register(now time.Time, home netip.Addr, places []msgs.Location) {
	if home == a.Self {
		for _, p := range places {
			a.home.Register(now, a.Self, p)
		}
		return
	}
	for len(places) > 0 {
		n := min(len(places), msgs.MaxLocations)
		m := msgs.Register{Header: a.head(), Locations: places[:n]}
		a.buf = m.AppendTo(a.buf[:0])
		a.Wire.ToPeer(home, a.buf)
		registered.Add(n)
		places = places[n:]
	}
}

// registerOne tells a flow's home that the agent owns it.
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

// self returns the platform's entry for the own server.
func (a *Agent) self(v *belief.View) (s belief.Server, ok bool) {
	s, ok = v.Server(a.Self)
	return s, ok && s.Service == a.Service
}
