package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/netutil"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/place"
	"mangowinch/internal/work/hand"
	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/once"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/spread"
	"mangowinch/internal/work/token"
)

const (
	// maxPeers bounds the connections that other processes hold to this one: each
	// of some tens of agents has one per request that it has handed over.
	maxPeers = 1024
	// maxMessage bounds one message from another process, in bytes; control's are
	// the largest, with a whole document.
	maxMessage = 1 << 20
	// usageWindow is the time over which the own server's use is averaged for others.
	usageWindow = time.Second
)

// place runs a request on the own server or at another agent, and places elsewhere
// what the own server refuses as not run.
func (a *Agent) place(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) result.Result {
		return a.later(a.spreader.Run(ctx, x.asRequest(), outer{x.Answer}, x.asRunner(next)))
	}
}

// later tells a caller that no server took when to come back. Were all callers of an
// outage told the same, they would come back together; the gate spreads them by how
// long the shortage has lasted.
func (a *Agent) later(end result.Result) result.Result {
	if end.Outcome != result.NotRun {
		return end
	}
	switch end.Reason {
	case result.ServerDown, result.ServerShed, result.LeavingServer, result.PeerLost:
		end.After = max(end.After, a.gate.RetryAfter())
	}
	return end
}

// share is what connects the agent with the others of its service.
type share struct {
	client   *hand.Client
	spreader *spread.Spreader
	guard    *once.Guard
	ids      *memo.Memo // of requests that others handed over
	mux      *drpcmux.Mux

	usageMu sync.Mutex
	usage   place.Usage
}

// newShare is called with the first document: the agent knows its server's ID then.
func (a *Agent) newShare(v *snapshot) {
	s := &a.share
	s.usage.Window = usageWindow
	s.client = hand.NewClient(v.document.Name, a.ringNow, hand.DialTCP, func(agent netip.AddrPort, h place.Hint) {
		s.spreader.Report(agent, h)
	})
	s.spreader = spread.New(place.Self{ID: v.own.ID, Domain: v.own.Domain}, demanding{a}, a.ownHint)
	s.guard = &once.Guard{
		View:   func() *once.View { return a.now.Load().keys },
		Memory: memo.New(memo.DefaultLimits),
		Client: s.client,
		Beside: a.link.beside,
	}
}

// ringNow gives the keys of the document in force; there is one when anybody asks.
func (a *Agent) ringNow() *token.Ring { return a.now.Load().keys.Ring }

// setPeers puts a document's servers in force.
func (s *share) setPeers(d *docs.Service, sides []netip.AddrPort) {
	s.spreader.SetServers(d)
	agents := make([]netip.AddrPort, 0, len(d.Servers))
	for _, v := range d.Servers {
		agents = append(agents, v.Agent)
	}
	agents = append(agents, sides...)
	s.client.Keep(agents)
}

// ownHint is what this agent says of its server to the others, and to its own placement.
func (a *Agent) ownHint() place.Hint {
	s := a.gate.Stats()
	now := time.Now()
	a.usageMu.Lock()
	a.usage.Set(now, s.Running, s.Slots)
	busy := a.usage.Share(now)
	a.usageMu.Unlock()
	return place.Hint{
		Running:     s.Running,
		Waiting:     s.Waiting,
		Utilization: busy,
		Service:     s.ServiceTime(),
		Leaving:     !a.standing.accepting(),
	}
}

// demanding hands requests over and counts the slot time that they take elsewhere
// as demand of this agent's flows.
type demanding struct{ agent *Agent }

// Hand implements spread.Passer.
func (d demanding) Hand(ctx context.Context, to netip.AddrPort, r *hand.Request, a hand.Answer) result.Result {
	if r.Hops > 0 {
		return d.agent.client.Hand(ctx, to, r, a)
	}
	began := time.Now()
	note := sync.OnceFunc(func() { d.agent.demand.add(time.Since(began)) })
	if r.Feed { // the slot is held until the first byte
		a = &noting{a, note}
	}
	end := d.agent.client.Hand(ctx, to, r, a)
	if end.Outcome != result.NotRun {
		note()
	}
	return end
}

// noting notes the start of an answer.
type noting struct {
	hand.Answer
	note func()
}

// Start implements hand.Answer.
func (n *noting) Start(status int, header http.Header) error {
	n.note()
	return n.Answer.Start(status, header)
}

// handed runs what other agents hand over.
type handed struct{ agent *Agent }

// Run implements hand.Runner.
func (h handed) Run(ctx context.Context, r *hand.Request, answer hand.Answer) result.Result {
	a := h.agent
	a.requests.Add(1)
	defer a.requests.Add(-1)
	x, err := asExchange(r, answer, a.now.Load().document)
	if err != nil {
		return settle(&Exchange{Key: r.Key}, refuse(result.NoClass, 0))
	}
	x.Caller = callerOf(x)
	return settle(x, a.handler(ctx, x))
}

// Mux is where other drpc services of the process are registered, before Run.
func (a *Agent) Mux() *drpcmux.Mux { return a.mux }

// registerHand puts the agent's own service on the mux.
func (a *Agent) registerHand() error {
	a.mux = drpcmux.New()
	a.ids = memo.New(memo.DefaultLimits)
	return hand.Register(a.mux, &hand.Server{
		Service:     a.settings.Agent.Service,
		Incarnation: a.incarnation,
		Start:       a.started,
		Ring:        a.ringNow,
		Runner:      handed{a},
		Memory:      a.ids,
		Load:        a.ownHint,
	})
}

// servePeers takes connections of other processes until ctx ends.
func (a *Agent) servePeers(ctx context.Context, l net.Listener) error {
	server := drpcserver.NewWithOptions(a.mux, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}},
	})
	return server.Serve(ctx, netutil.LimitListener(l, maxPeers))
}
