// Package agent is the process beside a backend server. It terminates its callers' QUIC
// connections, decides about their requests, and runs them on its own server or hands
// them over to another agent of the service.
//
// The agent is the only authority on its server. It asks no other process about the
// flows, requests and outcomes that the server holds, and this state is lost with the
// process. What entries and other agents believe of the server decides which path a
// request takes, never whether it runs.
//
// The decisions are made in packages without side effects (table, paths, admit, place,
// memo); this package carries them out. Requests pass through a chain of filters, each in
// a file named after it. Agents of opaque flows are in package local.
//
// # Usage
//
//	a, err := agent.New(settings, store, certificates, logger)
//	if err != nil {
//		return err
//	}
//	return a.Run(ctx) // until ctx ends and the streams in progress have ended
package agent

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/load/admit"
	"mangowinch/internal/node/gate"
	"mangowinch/internal/node/pause"
	"mangowinch/internal/node/stamp"
)

// Agent is the state of one running agent.
type Agent struct {
	settings    *prefs.Settings
	store       *store.Store
	log         zerolog.Logger
	incarnation uint64 // distinguishes this run of the process from earlier ones
	started     time.Time
	workSharing
	current      atomic.Pointer[snapshot]
	availability availability
	gate         *gate.Gate
	connections  connCounter
	handshakes   *rate.Limiter
	link         *link
	transport    *quic.Transport
	server       *http3.Server
	backend      *backend
	handler      Handler
	requests     atomic.Int64 // in progress
	nonce        atomic.Uint64
	hooks        Hooks
	lastHint     stamp.Time // last call of Hooks.NewerDocument
	demand       demand
	load         atomic.Uint32 // current demand in the unit that frames carry
	count        counters
}

// Hooks connect the agent to the component that keeps its documents. Both may be nil.
type Hooks struct {
	// NewerDocument is called when a frame shows that the process at link has a newer
	// document of the agent's service. It must not block.
	NewerDocument func(link netip.AddrPort, service string, revision order.Revision)
	// Refresh requests the newest document after a pause of the process. It returns when
	// the request has been answered or has failed, or when ctx ends.
	Refresh func(ctx context.Context)
}

// SetHooks sets the hooks. It must be called before Run.
func (a *Agent) SetHooks(h Hooks) { a.hooks = h }

// New returns an agent that starts to serve, and opens its sockets, once a document is in
// force.
func New(settings *prefs.Settings, documents *store.Store, certificates *tls.Config, log zerolog.Logger) (a *Agent, err error) {
	defer func() { err = errors.Wrap(err, "start agent") }()
	if settings.Agent == nil {
		return nil, errors.New("the settings have no section agent")
	}
	a = &Agent{
		settings:    settings,
		store:       documents,
		log:         log,
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		count:       newCounters(settings.Agent.Service),
		backend:     newBackend(settings.Agent.Backend),
		gate:        gate.New(admit.Limits{}),
		handshakes:  rate.NewLimiter(handshakeRate, handshakeBurst),
	}
	a.availability = availability{log: log, changed: a.availabilityChanged}
	a.nonce.Store(rand.Uint64())
	if err := a.registerHandServer(); err != nil {
		return nil, err
	}
	a.link = newLink(a)
	a.handler = chain(a.backend.run, a.classify, a.limitTime, a.once, a.place, a.enter)
	a.server = &http3.Server{
		Handler:     http.HandlerFunc(a.serveHTTP),
		TLSConfig:   http3.ConfigureTLSConfig(certificates),
		IdleTimeout: requestIdleTimeout,
	}
	return a, nil
}

// Run serves until ctx ends and then shuts down gracefully: it accepts nothing new and
// waits for the requests in progress.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run agent") }()
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := a.awaitDocument(ctx); err != nil {
		return nil // stopped before the first document
	}
	if err := a.link.open(ctx); err != nil {
		return err
	}
	a.link.sendHeartbeat(a.current.Load()) // before any datagram is read
	listener, err := a.listenQUIC()
	if err != nil {
		return err
	}
	peers, err := a.link.listenPeers(ctx)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.Go(func() error { return a.link.read(inner, a.link.conn) })
	if s := a.link.side; s != nil {
		g.Go(func() error { return a.link.read(inner, s.conn) })
	}
	for _, l := range peers {
		g.Go(func() error { return a.servePeers(inner, l) })
	}
	g.Go(func() error {
		a.link.keepPaths(inner)
		return nil
	})
	g.Go(func() error {
		a.watchDocument(inner)
		return nil
	})
	g.Go(func() error {
		err := a.accept(inner, listener)
		if inner.Err() != nil {
			return nil
		}
		return err
	})
	g.Go(func() error {
		a.watchHealth(inner)
		return nil
	})
	g.Go(func() error {
		pause.Watch(inner, func(length time.Duration) { a.resumed(inner, length) })
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		a.stop(inner)
		stop()
		return errors.CombineErrors(errors.CombineErrors(a.server.Close(), a.transport.Close()), a.link.close())
	})
	return g.Wait()
}
