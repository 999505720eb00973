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
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/flow/ident"
	"mangowinch/internal/node/rings"
)

const (
	// handshakeTime bounds a connection's handshake; package table remembers new
	// flows as long.
	handshakeTime = 10 * time.Second
	// idleTime ends a connection without any datagram. Callers keep connections
	// alive four times in it, so three lost keep-alives end nothing.
	idleTime = 60 * time.Second
	// stopTime bounds a planned stop. Feeds last for hours, and a stop waits for them.
	stopTime = 12 * time.Hour
	// leaveTime is how long a stopping agent stays after its last stream, so that
	// entries hear its word and late datagrams still find it.
	leaveTime = time.Second
)

// Agent is one running agent.
type Agent struct {
	settings    *prefs.Settings
	store       *store.Store
	log         zerolog.Logger
	incarnation uint64 // tells this run of the process from earlier ones
	now         atomic.Pointer[snapshot]
	leaving     atomic.Pointer[string] // why, once the server leaves
	link        *link
	transport   *quic.Transport
	server      *http3.Server
	backend     *backend
	handler     Handler
	requests    atomic.Int64 // in progress
	nonce       atomic.Uint64
	count       counters
}

// snapshot is what the document in force says; it is immutable.
type snapshot struct {
	document *docs.Service
	revision uint64
	ring     *ident.Ring
	own      *docs.Server
}

// New opens the agent's sockets. The agent serves once a document is in force.
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
		count:       newCounters(settings.Agent.Service),
		backend:     newBackend(settings.Agent.Backend),
	}
	a.nonce.Store(rand.Uint64())
	a.link, err = newLink(a)
	if err != nil {
		return nil, err
	}
	a.handler = chain(a.backend.run, a.classify, a.limitTime)
	a.server = &http3.Server{
		Handler:   http.HandlerFunc(a.serveHTTP),
		TLSConfig: http3.ConfigureTLSConfig(certificates),
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
	listener, err := a.listenQUIC()
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.Go(func() error { return a.link.read(inner) })
	g.Go(func() error {
		a.link.keepPaths(inner)
		return nil
	})
	g.Go(func() error {
		a.keepDocument(inner)
		return nil
	})
	g.Go(func() error {
		err := a.server.ServeListener(listener)
		if errors.Is(err, http.ErrServerClosed) || inner.Err() != nil {
			return nil
		}
		return err
	})
	g.Go(func() error {
		<-ctx.Done()
		a.stop(inner)
		stop()
		return errors.CombineErrors(errors.CombineErrors(a.server.Close(), a.transport.Close()), a.link.conn.Close())
	})
	return g.Wait()
}

// listenQUIC starts QUIC on the link's datagrams.
func (a *Agent) listenQUIC() (listener *quic.EarlyListener, err error) {
	// The buffers belong to the link's socket, which newLink has set; the library
	// would look for them on its own connection and print a warning each start.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return nil, err
	}
	key := a.now.Load().ring.Current()
	reset := quic.StatelessResetKey(key.Reset)
	a.transport = &quic.Transport{
		Conn:                  a.link.wire,
		ConnectionIDGenerator: generator{a},
		// A caller whose agent was replaced learns at its next datagram that the
		// flow is gone, instead of waiting for its idle timeout.
		StatelessResetKey: &reset,
	}
	config := &quic.Config{
		HandshakeIdleTimeout: handshakeTime,
		MaxIdleTimeout:       idleTime,
		MaxIncomingStreams:   maxStreams,
		// A larger datagram would not fit behind the link's header.
		DisablePathMTUDiscovery: true,
		GetConfigForClient:      a.admitConnection,
	}
	return a.transport.ListenEarly(a.server.TLSConfig, config)
}

// generator makes connection IDs that name this agent's server.
type generator struct{ agent *Agent }

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g generator) GenerateConnectionID() (quic.ConnectionID, error) {
	v := g.agent.now.Load()
	id := v.ring.Seal(v.own.ID, g.agent.nonce.Add(1))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g generator) ConnectionIDLen() int { return ident.Length }

// awaitDocument waits for the first usable document of the own service.
func (a *Agent) awaitDocument(ctx context.Context) error {
	for a.now.Load() == nil {
		changed := a.store.Changed()
		a.apply(a.store.View())
		if a.now.Load() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
	return nil
}

// keepDocument is the controller that takes new documents into force.
func (a *Agent) keepDocument(ctx context.Context) {
	for {
		changed := a.store.Changed()
		a.apply(a.store.View())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (a *Agent) apply(v *store.View) {
	d := v.Entries[a.settings.Agent.Service]
	old := a.now.Load()
	if d == nil || old != nil && old.revision == d.Revision {
		return
	}
	next, err := a.snapshot(d)
	if err != nil {
		a.count.unusable.Inc()
		a.log.Error().Err(err).Uint64("revision", d.Revision).Msg("document cannot be used here; the last good one stays")
		return
	}
	if next.own == nil {
		// The server is no longer in the document: it leaves, under its last settings.
		a.leave("document without this server")
		return
	}
	a.now.Store(next)
	a.log.Info().Str("service", d.Name).Uint64("revision", d.Revision).Str("source", d.Source).Msg("document in force")
	if next.own.State == docs.Leaving {
		a.leave("document")
	} else if old != nil && old.own.State == docs.Leaving {
		a.stay()
	}
}

// snapshot reads what a document says of this agent. Its own is nil when the
// document does not have the server.
func (a *Agent) snapshot(d *store.Entry) (s *snapshot, err error) {
	ring, err := rings.New(a.settings.Keys, d.Service)
	if err != nil {
		return nil, err
	}
	s = &snapshot{document: d.Service, revision: d.Revision, ring: ring}
	for i := range d.Service.Servers {
		o := &d.Service.Servers[i]
		if o.Name != a.settings.Agent.Server {
			continue
		}
		if o.Agent != a.settings.Agent.Listen {
			return nil, errors.Newf("server %q has agent %s in the document and listens at %s by the settings", o.Name, o.Agent, a.settings.Agent.Listen)
		}
		s.own = o
	}
	if s.own == nil && a.now.Load() == nil {
		return nil, errors.Newf("the document has no server %q", a.settings.Agent.Server)
	}
	return s, nil
}

// leave makes the server take nothing new from now on.
func (a *Agent) leave(why string) {
	if a.leaving.CompareAndSwap(nil, &why) {
		a.log.Info().Str("why", why).Msg("leaving: nothing new is taken")
	}
}

// stay takes a leaving back.
func (a *Agent) stay() {
	if a.leaving.Swap(nil) != nil {
		a.log.Info().Msg("serving again")
	}
}

func (a *Agent) accepting() bool { return a.leaving.Load() == nil }

// stop waits until the requests in progress have ended.
func (a *Agent) stop(ctx context.Context) {
	a.leave("signal")
	started := time.Now()
	for time.Since(started) < stopTime && ctx.Err() == nil {
		if a.requests.Load() == 0 && time.Since(started) > leaveTime {
			break
		}
		time.Sleep(leaveTime / 10)
	}
	a.log.Info().Dur("after", time.Since(started)).Msg("left")
}

// admitConnection bounds the connections an agent holds open.
func (a *Agent) admitConnection(info *quic.ClientInfo) (*quic.Config, error) {
	return nil, nil
}

var _ net.PacketConn = (*wire)(nil)
