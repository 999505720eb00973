// Package fabric stands in for the network's fabric, which sprays the datagrams
// of callers over the entries.
//
// Each datagram that a caller sends to a service address goes to an entry chosen
// at random, so that the packets of one flow reach all of them. The caller's IP
// address is kept, as a fabric does: per caller and service address there is one
// socket bound to the caller's own IP address (any address of 127.0.0.0/8 may be
// bound) and a port of its own. An entry sees that address, and so any entry may
// answer. It is not meant to be fast, and it knows nothing of QUIC.
//
// # Usage
//
//	f, err := fabric.Listen(fabric.Settings{
//		Services: []netip.AddrPort{netip.MustParseAddrPort("127.0.10.1:8443")},
//		Entries:  []netip.Addr{netip.MustParseAddr("127.0.1.1")},
//	})
//	if err != nil {
//		return err
//	}
//	err = f.Run(ctx)
package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	largestDatagram = 65535
	socketBuffer    = 4 << 20 // asked for; the system may give less
	defaultIdle     = 5 * time.Minute
	defaultCallers  = 20000
)

// Settings are the fabric's own.
type Settings struct {
	Services    []netip.AddrPort // where callers reach the services
	Entries     []netip.Addr     // the bind addresses of the entries
	IdleTimeout time.Duration    // a caller silent in both directions this long is forgotten
	MaxCallers  int              // callers known at a time
	Log         zerolog.Logger
}

// Fabric carries datagrams between callers and entries.
type Fabric struct {
	settings Settings
	services []*net.UDPConn

	mutex   sync.Mutex
	callers map[callerKey]*caller
	closed  bool
	plan    plan
	stats   Stats
}

type callerKey struct {
	address netip.AddrPort
	service netip.AddrPort
}

type caller struct {
	key    callerKey
	socket *net.UDPConn
	used   time.Time // guarded by the fabric's mutex
}

// Listen opens the service addresses.
func Listen(s Settings) (f *Fabric, err error) {
	defer func() { err = errors.Wrap(err, "open fabric") }()
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdle
	}
	if s.MaxCallers == 0 {
		s.MaxCallers = defaultCallers
	}
	f = &Fabric{settings: s, callers: map[callerKey]*caller{}, plan: newPlan(s.Entries)}
	f.stats.Entries = map[netip.Addr]*EntryStats{}
	for _, address := range s.Services {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			f.close()
			return nil, err
		}
		widen(conn)
		f.services = append(f.services, conn)
	}
	return f, nil
}

// Run carries datagrams until the context ends.
func (f *Fabric) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "carry datagrams") }()
	group, ctx := errgroup.WithContext(ctx)
	for i, conn := range f.services {
		service := f.settings.Services[i]
		group.Go(func() error { return f.readCallers(service, conn) })
	}
	group.Go(func() error {
		ticker := time.NewTicker(f.settings.IdleTimeout / 4)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				f.close()
				return nil
			case now := <-ticker.C:
				f.forgetIdle(now)
			}
		}
	})
	return group.Wait()
}

// readCallers carries what callers send to one service address towards entries.
func (f *Fabric) readCallers(service netip.AddrPort, conn *net.UDPConn) error {
	buffer := make([]byte, largestDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		key := callerKey{address: from, service: service}
		if c := f.callerOf(key, conn); c != nil {
			f.toEntry(c, buffer[:n])
		}
	}
}

func (f *Fabric) toEntry(c *caller, datagram []byte) {
	f.mutex.Lock()
	c.used = time.Now()
	entry, ok := f.plan.choose(c.key.address.Addr())
	if ok {
		f.stats.of(entry).Toward++
	} else {
		f.stats.DroppedToward++
	}
	f.mutex.Unlock()
	if !ok {
		return
	}
	// A write fails when the entry's socket is gone; the datagram is lost, as on a wire.
	_, _ = c.socket.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(entry, c.key.service.Port()))
}

// callerOf returns the socket of a caller, opened if need be, or nil if there are too many.
func (f *Fabric) callerOf(key callerKey, conn *net.UDPConn) *caller {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if c := f.callers[key]; c != nil {
		return c
	}
	if f.closed || len(f.callers) >= f.settings.MaxCallers {
		f.stats.Refused++
		return nil
	}
	own := netip.AddrPortFrom(key.address.Addr(), 0)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(own))
	if err != nil {
		f.stats.Refused++
		f.settings.Log.Error().Err(err).Msg("caller's address not bound")
		return nil
	}
	widen(socket)
	c := &caller{key: key, socket: socket, used: time.Now()}
	f.callers[key] = c
	go f.readEntries(c, conn)
	return c
}

// readEntries carries what entries answer to one caller, until the caller is forgotten.
func (f *Fabric) readEntries(c *caller, conn *net.UDPConn) {
	buffer := make([]byte, largestDatagram)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if f.mayReturn(c, from) {
			// A write fails when the caller's socket is gone; the datagram is lost, as on a wire.
			_, _ = conn.WriteToUDPAddrPort(buffer[:n], c.key.address)
		}
	}
}

func (f *Fabric) mayReturn(c *caller, from netip.AddrPort) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := from.Addr().Unmap()
	if from.Port() != c.key.service.Port() || !f.plan.returns(entry, c.key.address.Addr()) {
		f.stats.DroppedBack++
		return false
	}
	c.used = time.Now()
	f.stats.of(entry).Back++
	return true
}

func (f *Fabric) forgetIdle(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for key, c := range f.callers {
		if now.Sub(c.used) > f.settings.IdleTimeout {
			c.socket.Close()
			delete(f.callers, key)
		}
	}
}

func (f *Fabric) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	for _, conn := range f.services {
		conn.Close()
	}
	for key, c := range f.callers {
		c.socket.Close()
		delete(f.callers, key)
	}
}

func widen(conn *net.UDPConn) {
	// Smaller buffers only mean more loss under load, so a refusal is no error.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
}
