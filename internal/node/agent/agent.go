// Package agent is the process beside a backend server. It terminates its
// callers' QUIC connections, decides about their requests, and runs them on its own
// server or hands them to another agent of the service.
//
// It is the only authority on its server: what it holds of flows, requests and
// outcomes is asked of nobody else and dies with it. What entries and other agents
// believe of it decides which way work takes, never whether it runs.
//
// The decisions are in pure packages (table, paths, admit, place, memo); this one
// carries them out. Requests pass a chain of filters, each in a file named after it.
//
// # Usage
//
//	a, err := agent.New(settings, store, certificates, logger)
//	if err != nil {
//		return err
//	}
//	return a.Run(ctx) // until ctx ends; then until the streams in progress have ended
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
	"mangowinch/internal/node/awake"
	"mangowinch/internal/node/gate"
	"mangowinch/internal/node/stamp"
)

// Agent is one running agent.
type Agent struct {
	settings    *prefs.Settings
	store       *store.Store
	log         zerolog.Logger
	incarnation uint64 // tells this run of the process from earlier ones
	started     time.Time
	share
	now        atomic.Pointer[snapshot]
	standing   standing
	gate       *gate.Gate
	opened     opened
	handshakes *rate.Limiter
	link       *link
	transport  *quic.Transport
	server     *http3.Server
	backend    *backend
	handler    Handler
	requests   atomic.Int64 // in progress
	nonce      atomic.Uint64
	hooks      Hooks
	hinted     stamp.Time // the last call of Hooks.Newer
	demand     demand
	load       atomic.Uint32 // demand as frames carry it
	count      counters
}

// Hooks connect the agent to whoever keeps its documents. Both may be nil.
type Hooks struct {
	// Newer is called when a frame shows that the process at link has a newer
	// document of the own service. It must not block.
	Newer func(link netip.AddrPort, service string, revision order.Revision)
	// Refresh asks for the newest document after a pause. It returns when it has
	// asked somebody, or with ctx.
	Refresh func(ctx context.Context)
}

// SetHooks is to be called before Run.
func (a *Agent) SetHooks(h Hooks) { a.hooks = h }

// New returns an agent that serves once a document is in force; its sockets are
// opened then.
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
	a.standing = standing{log: log, changed: a.standingChanged}
	a.nonce.Store(rand.Uint64())
	if err := a.registerHand(); err != nil {
		return nil, err
	}
	a.link = newLink(a)
	a.handler = chain(a.backend.run, a.classify, a.limitTime, a.once, a.place, a.enter)
	a.server = &http3.Server{
		Handler:     http.HandlerFunc(a.serveHTTP),
		TLSConfig:   http3.ConfigureTLSConfig(certificates),
		IdleTimeout: unusedTime,
	}
	return a, nil
}

// Run serves until ctx ends and then makes a planned stop: it takes nothing new and
// waits for what is in progress.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run agent") }()
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := a.awaitDocument(ctx); err != nil {
		return nil // stopped before it began
	}
	if err := a.link.open(ctx); err != nil {
		return err
	}
	a.link.greet(a.now.Load()) // before anything is read
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
		a.keepDocument(inner)
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
		a.keepHealth(inner)
		return nil
	})
	g.Go(func() error {
		awake.Watch(inner, func(pause time.Duration) { a.woken(inner, pause) })
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
