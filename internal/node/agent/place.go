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
	// maxPeers bounds the connections that other processes hold to this one: each of some
	// tens of agents has one per request that it has handed over.
	maxPeers = 1024
	// maxMessage bounds one message from another process, in bytes. The largest are those
	// of the relay, which carry a whole document.
	maxMessage = 1 << 20
	// usageWindow is the time over which the use of the agent's server is averaged for
	// other agents.
	usageWindow = time.Second
)

// place runs a request on the agent's server or at another agent. A request that the
// agent's server refuses as not run is placed elsewhere.
func (a *Agent) place(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) result.Result {
		return a.withRetryAfter(a.dispatcher.Run(ctx, x.asRequest(), answerAdapter{x.Answer}, x.asRunner(next)))
	}
}

// withRetryAfter sets the time after which a caller that no server took is to retry. If
// all callers of an outage got the same time, they would return together; the gate
// spreads them by how long the shortage has lasted.
func (a *Agent) withRetryAfter(end result.Result) result.Result {
	if end.Outcome != result.NotRun {
		return end
	}
	switch end.Reason {
	case result.ServerUnreachable, result.ServerShed, result.ServerLeaving, result.PeerUnreachable:
		end.RetryAfter = max(end.RetryAfter, a.gate.RetryAfter())
	}
	return end
}

// workSharing is the state for handing requests over between the agents of the service.
type workSharing struct {
	client     *hand.Client
	dispatcher *spread.Dispatcher
	guard      *once.Guard
	handedMemo *memo.Store // outcomes of requests that other agents have handed over
	mux        *drpcmux.Mux

	usageMu sync.Mutex
	usage   place.Usage
}

// initWorkSharing is called with the first document, from which the agent knows its
// server's ID.
func (a *Agent) initWorkSharing(v *snapshot) {
	s := &a.workSharing
	s.usage.Window = usageWindow
	s.client = hand.NewClient(v.document.Name, a.currentRing, hand.DialTCP, func(agent netip.AddrPort, h place.Hint) {
		s.dispatcher.Report(agent, h)
	})
	s.dispatcher = spread.New(place.Self{ID: v.own.ID, Domain: v.own.Domain}, demandRecorder{a}, a.ownHint)
	s.guard = &once.Guard{
		View:         func() *once.View { return a.current.Load().keys },
		Outcomes:     memo.New(memo.DefaultLimits),
		Client:       s.client,
		OtherProcess: a.link.otherProcess,
	}
}

// currentRing returns the keys of the document in force. It is not called before the
// first document.
func (a *Agent) currentRing() *token.Ring { return a.current.Load().keys.Ring }

// setPeers applies a document's servers.
func (s *workSharing) setPeers(d *docs.Service, sides []netip.AddrPort) {
	s.dispatcher.SetServers(d)
	agents := make([]netip.AddrPort, 0, len(d.Servers))
	for _, v := range d.Servers {
		agents = append(agents, v.Agent)
	}
	agents = append(agents, sides...)
	s.client.Retain(agents)
}

// ownHint returns the load of this agent's server, for other agents and for its own
// placement.
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
		Leaving:     !a.availability.accepting(),
	}
}

// demandRecorder hands requests over and counts the slot time that they take elsewhere as
// demand of this agent's flows.
type demandRecorder struct{ agent *Agent }

// HandOver implements spread.Client.
func (d demandRecorder) HandOver(ctx context.Context, to netip.AddrPort, r *hand.Request, a hand.Answer) result.Result {
	if r.Hops > 0 {
		return d.agent.client.HandOver(ctx, to, r, a)
	}
	began := time.Now()
	record := sync.OnceFunc(func() { d.agent.demand.add(time.Since(began)) })
	if r.Feed { // the slot is held until the first byte
		a = &startNotifier{a, record}
	}
	end := d.agent.client.HandOver(ctx, to, r, a)
	if end.Outcome != result.NotRun {
		record()
	}
	return end
}

// startNotifier calls onStart when the answer starts.
type startNotifier struct {
	hand.Answer
	onStart func()
}

// Start implements hand.Answer.
func (n *startNotifier) Start(status int, header http.Header) error {
	n.onStart()
	return n.Answer.Start(status, header)
}

// handedRunner runs the requests that other agents hand over.
type handedRunner struct{ agent *Agent }

// Run implements hand.Runner.
func (h handedRunner) Run(ctx context.Context, r *hand.Request, answer hand.Answer) result.Result {
	a := h.agent
	a.requests.Add(1)
	defer a.requests.Add(-1)
	x, err := newExchange(r, answer, a.current.Load().document)
	if err != nil {
		return finalResult(&Exchange{Key: r.Key}, refuse(result.NoClass, 0))
	}
	x.Caller = callerOf(x)
	return finalResult(x, a.handler(ctx, x))
}

// Mux returns the mux for other drpc services of the process, which must be registered
// before Run.
func (a *Agent) Mux() *drpcmux.Mux { return a.mux }

// registerHandServer registers the service that accepts handed-over requests.
func (a *Agent) registerHandServer() error {
	a.mux = drpcmux.New()
	a.handedMemo = memo.New(memo.DefaultLimits)
	return hand.Register(a.mux, &hand.Server{
		Service:     a.settings.Agent.Service,
		Incarnation: a.incarnation,
		Start:       a.started,
		Ring:        a.currentRing,
		Runner:      handedRunner{a},
		Outcomes:    a.handedMemo,
		Load:        a.ownHint,
	})
}

// servePeers serves connections of other processes until ctx ends.
func (a *Agent) servePeers(ctx context.Context, l net.Listener) error {
	server := drpcserver.NewWithOptions(a.mux, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}},
	})
	return server.Serve(ctx, netutil.LimitListener(l, maxPeers))
}
