// Package entry is the process that receives callers' datagrams and hands each to
// the agent of the server it belongs to, and agents' datagrams back to callers.
//
// It decides nothing itself: package route says where a datagram belongs, package
// ident reads the server out of a connection ID, package store holds the documents.
// It keeps no state that a flow needs. Kill it, and every flow goes on by
// another entry; what it knows of servers (leaving, silent) only orders candidates.
//
// It terminates nothing and reads nothing behind a QUIC header's connection IDs.
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
	"mangowinch/internal/node/awake"
	"mangowinch/internal/node/sock"
	"mangowinch/internal/node/stamp"
)

const (
	// refreshEvery bounds how long a snapshot shows a belief that time has ended.
	refreshEvery = 500 * time.Millisecond
	// quietTime without a caller's datagram ends a planned stop. The fabric
	// takes seconds to send no more; a flow that is only idle comes by another entry.
	quietTime = 3 * time.Second
	// stopTime bounds a planned stop when the fabric never stops sending.
	stopTime = 60 * time.Second
)

// Entry is one running entry.
type Entry struct {
	settings *prefs.Settings
	store    *store.Store
	log      zerolog.Logger
	link     *net.UDPConn
	leaving  atomic.Bool
	lastUsed stamp.Time // the last caller's datagram
	hooks    Hooks

	// mu guards services and doors while the set of services changes. Datagrams
	// are forwarded from tags and from a door's own pointer, without the lock.
	mu       sync.Mutex
	services map[string]*service
	doors    map[netip.AddrPort]*door
	tags     atomic.Pointer[map[uint64]*service]
}

// Hooks connect the entry to whoever keeps its documents. Both may be nil.
type Hooks struct {
	// NewerDocument is called when a frame shows that the agent at link has a newer
	// document of a service. It must not block.
	NewerDocument func(link netip.AddrPort, service string, revision order.Revision)
	// Refresh asks for the newest documents after a pause.
	Refresh func(ctx context.Context)
}

// SetHooks is to be called before Run.
func (e *Entry) SetHooks(h Hooks) { e.hooks = h }

// New opens the link and returns an entry that serves no address yet.
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
		doors:    make(map[netip.AddrPort]*door),
	}
	e.tags.Store(&map[uint64]*service{})
	return e, nil
}

// Run forwards until ctx ends and then makes a planned stop: it tells agents that
// it leaves, and goes on forwarding until the fabric sends nothing more.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run entry") }()
	var g errgroup.Group
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g.Go(func() error { return e.readLink(inner) })
	g.Go(func() error {
		e.keepServices(inner)
		return nil
	})
	g.Go(func() error {
		awake.Watch(inner, func(pause time.Duration) { e.woken(inner, pause) })
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		e.leave(inner)
		stop()
		e.link.Close()
		return nil
	})
	return g.Wait()
}

// leave waits until callers' datagrams stop coming. A balancer that closed its
// sockets at once would lose what the fabric still sends to it.
func (e *Entry) leave(ctx context.Context) {
	e.leaving.Store(true)
	e.log.Info().Msg("leaving: forwarding goes on until the fabric sends nothing more")
	started := time.Now()
	for time.Since(started) < stopTime {
		select {
		case <-ctx.Done():
			return
		case <-time.After(quietTime / 10):
		}
		quiet := e.lastUsed.Since(time.Now())
		if quiet > quietTime && time.Since(started) > quietTime {
			break
		}
	}
	e.log.Info().Dur("after", time.Since(started)).Msg("left")
}

// Leaving says whether a planned stop has begun.
func (e *Entry) Leaving() bool { return e.leaving.Load() }
