// Package fabric is a stand-in for the network's fabric, which sprays the datagrams
// of callers over the entries.
//
// It exists so that callers, entries and agents can run on one machine with the packets of a
// flow spread over all entries: each datagram that a caller sends to a service address goes to
// an entry chosen at random. As in a real fabric, the caller's IP address is preserved. For each
// caller and service address there is one socket, bound to the caller's IP address (any address
// of 127.0.0.0/8 can be bound) and a separate port. All entries see the same source address, so
// any of them can send the response.
//
// It is not optimized for speed, and it does not parse QUIC.
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
	maxDatagram        = 65535
	socketBufferSize   = 4 << 20 // requested; the system may grant less
	defaultIdleTimeout = 5 * time.Minute
	defaultMaxCallers  = 20000
)

// Settings configures a Fabric.
type Settings struct {
	Services    []netip.AddrPort // the service addresses, on which the fabric listens
	Entries     []netip.Addr     // the bind addresses of the entries
	IdleTimeout time.Duration    // a caller without datagrams in either direction for this time is removed
	MaxCallers  int              // maximum number of callers at a time
	Log         zerolog.Logger
}

// Fabric forwards datagrams between callers and entries.
type Fabric struct {
	settings Settings
	services []*net.UDPConn

	mutex   sync.Mutex
	callers map[callerKey]*caller
	closed  bool
	routing routing
	stats   Stats
}

type callerKey struct {
	address netip.AddrPort
	service netip.AddrPort
}

type caller struct {
	key      callerKey
	socket   *net.UDPConn
	lastUsed time.Time // guarded by the fabric's mutex
}

// Listen opens the service addresses.
func Listen(s Settings) (f *Fabric, err error) {
	defer func() { err = errors.Wrap(err, "open fabric") }()
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	if s.MaxCallers == 0 {
		s.MaxCallers = defaultMaxCallers
	}
	f = &Fabric{settings: s, callers: map[callerKey]*caller{}, routing: newRouting(s.Entries)}
	f.stats.Entries = map[netip.Addr]*EntryStats{}
	for _, address := range s.Services {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			f.close()
			return nil, err
		}
		enlargeBuffers(conn)
		f.services = append(f.services, conn)
	}
	return f, nil
}

// Run forwards datagrams until the context ends.
func (f *Fabric) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "forward datagrams") }()
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
				f.closeIdle(now)
			}
		}
	})
	return group.Wait()
}

// readCallers forwards the datagrams that callers send to one service address.
func (f *Fabric) readCallers(service netip.AddrPort, conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		key := callerKey{address: from, service: service}
		if c := f.callerFor(key, conn); c != nil {
			f.sendToEntry(c, buffer[:n])
		}
	}
}

func (f *Fabric) sendToEntry(c *caller, datagram []byte) {
	f.mutex.Lock()
	c.lastUsed = time.Now()
	entry, ok := f.routing.pickEntry(c.key.address.Addr())
	if ok {
		f.stats.forEntry(entry).Toward++
	} else {
		f.stats.DroppedToward++
	}
	f.mutex.Unlock()
	if !ok {
		return
	}
	// A write fails if the entry's socket is closed; the datagram is lost, as in a network.
	_, _ = c.socket.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(entry, c.key.service.Port()))
}

// callerFor returns the caller of a key and opens its socket if it is new. It returns nil if there are too many callers or
// the socket cannot be opened.
func (f *Fabric) callerFor(key callerKey, conn *net.UDPConn) *caller {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if c := f.callers[key]; c != nil {
		return c
	}
	if f.closed || len(f.callers) >= f.settings.MaxCallers {
		f.stats.Refused++
		return nil
	}
	local := netip.AddrPortFrom(key.address.Addr(), 0)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		f.stats.Refused++
		f.settings.Log.Error().Err(err).Msg("cannot bind the caller's address")
		return nil
	}
	enlargeBuffers(socket)
	c := &caller{key: key, socket: socket, lastUsed: time.Now()}
	f.callers[key] = c
	go f.readEntries(c, conn)
	return c
}

// readEntries forwards the datagrams of entries to one caller until the caller is removed.
func (f *Fabric) readEntries(c *caller, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if f.admitReturn(c, from) {
			// A write fails if the caller's socket is closed; the datagram is lost, as in a network.
			_, _ = conn.WriteToUDPAddrPort(buffer[:n], c.key.address)
		}
	}
}

// admitReturn reports whether a datagram from an entry is forwarded to a caller, and counts it. Datagrams from an address
// that is not the service's port of an entry are dropped.
func (f *Fabric) admitReturn(c *caller, from netip.AddrPort) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := from.Addr().Unmap()
	if from.Port() != c.key.service.Port() || !f.routing.reachesCaller(entry, c.key.address.Addr()) {
		f.stats.DroppedBack++
		return false
	}
	c.lastUsed = time.Now()
	f.stats.forEntry(entry).Back++
	return true
}

func (f *Fabric) closeIdle(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for key, c := range f.callers {
		if now.Sub(c.lastUsed) > f.settings.IdleTimeout {
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

func enlargeBuffers(conn *net.UDPConn) {
	// Smaller buffers only cause more loss under load, so errors are ignored.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
}
