// Package entry implements the process that forwards callers' datagrams to the agents of the servers they
// belong to, and agents' datagrams back to callers.
//
// It makes no decisions itself: package route selects the server of a datagram, package ident reads the
// server from a connection ID, and package store holds the documents. An entry keeps no state that a flow
// needs: if it is killed, its flows continue through another entry. Whether it takes a server for leaving or
// unresponsive only affects the order of candidates.
//
// It terminates no connection and reads nothing after the connection IDs of a QUIC header.
//
// # Usage
//
//	e, err := entry.New(settings, store, logger)
//	if err != nil {
//		return err
//	}
//	return e.Run(ctx) // until ctx ends; then Run goes on forwarding until callers stop
package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/node/pause"
	"mangowinch/internal/node/sock"
	"mangowinch/internal/node/stamp"
)

const (
	// refreshEvery bounds how long a snapshot contains state that has expired.
	refreshEvery = 500 * time.Millisecond
	// stopIdle is the time without a caller's datagram that ends a graceful shutdown. The fabric takes
	// seconds until it sends nothing more; the next datagram of a flow that is only idle arrives by another
	// entry.
	stopIdle = 3 * time.Second
	// stopTimeout bounds a graceful shutdown if the fabric never stops sending.
	stopTimeout = 60 * time.Second
)

// Entry is one running entry.
type Entry struct {
	settings     *prefs.Settings
	store        *store.Store
	log          zerolog.Logger
	link         *net.UDPConn
	leaving      atomic.Bool
	lastDatagram stamp.Time // when the last datagram of a caller arrived
	hooks        Hooks

	// mu guards services and sockets while the set of services changes. Datagrams are forwarded without the
	// lock, by way of tags and the owner pointer of a socket.
	mu       sync.Mutex
	services map[string]*service
	sockets  map[netip.AddrPort]*serviceSocket
	tags     atomic.Pointer[map[uint64]*service]
}

// Hooks connect the entry to the component that keeps its documents. Both may be nil.
type Hooks struct {
	// NewerDocument is called when a frame shows that the agent at link has a newer document of a service.
	// It must not block.
	NewerDocument func(link netip.AddrPort, service string, revision order.Revision)
	// Refresh requests the newest documents after a pause of the process.
	Refresh func(ctx context.Context)
}

// SetHooks sets the hooks. It must be called before Run.
func (e *Entry) SetHooks(h Hooks) { e.hooks = h }

// New opens the link and returns an entry that has no service address yet.
func New(settings *prefs.Settings, documents *store.Store, log zerolog.Logger) (e *Entry, err error) {
	defer func() { err = errors.Wrap(err, "start entry") }()
	if settings.Entry == nil {
		return nil, errors.New("the settings have no section entry")
	}
	link, err := sock.UDP(context.Background(), settings.Entry.Link, sock.Exclusive)
	if err != nil {
		return nil, err
	}
	e = &Entry{
		settings: settings,
		store:    documents,
		log:      log,
		link:     link,
		services: make(map[string]*service),
		sockets:  make(map[netip.AddrPort]*serviceSocket),
	}
	e.tags.Store(&map[uint64]*service{})
	return e, nil
}

// Run forwards until ctx ends and then shuts down gracefully: it tells agents that it leaves, and goes on
// forwarding until the fabric sends nothing more.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run entry") }()
	var g errgroup.Group
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g.Go(func() error { return e.readLink(inner) })
	g.Go(func() error {
		e.syncServices(inner)
		return nil
	})
	g.Go(func() error {
		pause.Watch(inner, func(length time.Duration) { e.resumed(inner, length) })
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		e.drain(inner)
		stop()
		e.link.Close()
		return nil
	})
	return g.Wait()
}

// drain goes on forwarding until callers' datagrams stop arriving. If an entry closed its sockets at once,
// datagrams that the fabric still sends to it would be lost.
func (e *Entry) drain(ctx context.Context) {
	e.leaving.Store(true)
	e.log.Info().Msg("graceful shutdown started; forwarding until the fabric sends nothing more")
	started := time.Now()
	for time.Since(started) < stopTimeout {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stopIdle / 10):
		}
		idle := e.lastDatagram.Since(time.Now())
		if idle > stopIdle && time.Since(started) > stopIdle {
			break
		}
	}
	e.log.Info().Dur("after", time.Since(started)).Msg("left")
}

// Leaving reports whether a graceful shutdown has begun.
func (e *Entry) Leaving() bool { return e.leaving.Load() }
