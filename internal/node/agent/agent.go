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
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/flow/ident"
	"mangowinch/internal/load/admit"
	"mangowinch/internal/node/awake"
	"mangowinch/internal/node/gate"
	"mangowinch/internal/node/rings"
	"mangowinch/internal/work/once"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/token"
)

const (
	// handshakeTime bounds a connection's handshake; package table remembers new
	// flows as long.
	handshakeTime = 10 * time.Second
	// idleTime ends a connection without any datagram.
	idleTime = 60 * time.Second
	// aliveTime is how often an agent says something on a silent connection: a
	// feed without news for minutes must not end, and many callers' libraries give
	// up after 30 s. One keep-alive may be lost there, three here.
	aliveTime = 13 * time.Second
	// unusedTime ends a connection without requests, which aliveTime would keep for ever.
	unusedTime = 2 * time.Minute
	// stopTime bounds a planned stop. Feeds last for hours, and a stop waits for them.
	stopTime = 12 * time.Hour
	// leaveTime is how long a stopping agent stays after its last stream, so that
	// entries hear its word and late datagrams still find it.
	leaveTime = time.Second
	// handshakeRate and handshakeBurst are new connections a second without a
	// proof of address. At the size to design for an agent gets 14 a second.
	handshakeRate  = 200
	handshakeBurst = 400
	// comeBack is when a caller is to try again that met a server which leaves:
	// other servers take its flows as soon as entries know, within 3 s.
	comeBack = time.Second
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
	hinted     atomic.Int64 // Unix nanoseconds of the last call of Hooks.Newer
	demand     demand
	load       atomic.Uint32 // demand as frames carry it
	count      counters
}

// Hooks connect the agent to whoever keeps its documents. Both may be nil.
type Hooks struct {
	// Newer is called when a frame shows that the process at link has a newer
	// document of the own service. It must not block.
	Newer func(link netip.AddrPort, service string, revision uint64)
	// Refresh asks for the newest document after a pause. It returns when it has
	// asked somebody, or with ctx.
	Refresh func(ctx context.Context)
}

// SetHooks is to be called before Run.
func (a *Agent) SetHooks(h Hooks) { a.hooks = h }

// snapshot is what the document in force says; it is immutable.
type snapshot struct {
	document *docs.Service
	revision uint64
	ring     *ident.Ring
	own      *docs.Server
	keys     *once.View
}

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

// listenQUIC starts QUIC on the link's datagrams.
func (a *Agent) listenQUIC() (listener *quic.Listener, err error) {
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
		// A flood of openers with forged addresses costs a handshake's memory each.
		// Over a rate that ordinary callers stay far under, a caller has to show that
		// it gets our datagrams first (RFC 9000 section 8.1.2).
		VerifySourceAddress: func(net.Addr) bool { return !a.handshakes.Allow() },
	}
	config := &quic.Config{
		HandshakeIdleTimeout: handshakeTime,
		MaxIdleTimeout:       idleTime,
		KeepAlivePeriod:      aliveTime,
		MaxIncomingStreams:   maxStreams,
		// A larger datagram would not fit behind the link's header.
		DisablePathMTUDiscovery: true,
	}
	return a.transport.Listen(a.server.TLSConfig, config)
}

// generator makes connection IDs that name this agent's server.
type generator struct{ agent *Agent }

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g generator) GenerateConnectionID() (quic.ConnectionID, error) {
	v := g.agent.now.Load()
	owner := ident.Owner{Server: v.own.ID, Side: g.agent.link.index()}
	id := v.ring.Seal(owner, g.agent.nonce.Add(1))
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
		a.standing.set(byDocument, true)
		return
	}
	if old == nil {
		a.newShare(next)
	}
	a.now.Store(next)
	a.setPeers(d.Service, a.settings.Agent.Sides)
	a.gate.SetLimits(admit.LimitsOf(d.Service, *next.own))
	a.log.Info().Str("service", d.Name).Uint64("revision", d.Revision).Str("source", d.Source).Msg("document in force")
	a.standing.set(byDocument, next.own.State == docs.Leaving)
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
	old := a.now.Load()
	if s.own == nil {
		if old == nil {
			return nil, errors.Newf("the document has no server %q", a.settings.Agent.Server)
		}
		return s, nil
	}
	var before *once.View
	if old != nil {
		before = old.keys
	}
	s.keys, err = a.keysOf(d.Service, s.own, before)
	return s, err
}

// stop waits until the requests in progress have ended.
func (a *Agent) stop(ctx context.Context) {
	a.standing.set(bySignal, true)
	go a.sayGoodbye(ctx)
	started := time.Now()
	for time.Since(started) < stopTime && ctx.Err() == nil {
		if a.requests.Load() == 0 && time.Since(started) > a.stayTime() {
			break
		}
		time.Sleep(leaveTime / 10)
	}
	a.log.Info().Dur("after", time.Since(started)).Msg("left")
}

// stayTime is how long a stopping agent stays at least. Beside a successor that is
// until the last request key it has issued has lapsed: a caller that uses the key, for
// the first time or again, reaches the successor, which asks this process. Were it gone,
// the outcome would be unknown, though nothing failed.
func (a *Agent) stayTime() time.Duration {
	if a.link.side.alive(time.Now()) {
		return leaveTime + token.DefaultLifetime
	}
	return leaveTime
}

// sayGoodbye asks callers to open their next requests elsewhere.
func (a *Agent) sayGoodbye(ctx context.Context) {
	if err := a.server.Shutdown(ctx); err != nil && ctx.Err() == nil {
		a.log.Error().Err(err).Msg("goodbye to callers")
	}
}

// standingChanged gives waiting work back when the server starts to leave, so that
// it is placed elsewhere at once.
func (a *Agent) standingChanged(accepting bool) {
	if !accepting {
		a.gate.Drain()
	}
}

// accept serves connections until the listener is closed.
func (a *Agent) accept(ctx context.Context, l *quic.Listener) error {
	for {
		c, err := l.Accept(ctx)
		if err != nil {
			return err
		}
		if !a.opened.enter(a.now.Load().own.Connections) {
			a.count.connections.Inc()
			_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), string(result.Overloaded))
			continue
		}
		go func() {
			defer a.opened.leave()
			// The error says how the connection ended, which is no fault here.
			_ = a.server.ServeQUICConn(c)
		}()
	}
}

var _ net.PacketConn = (*wire)(nil)
