package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// backlog is how many datagrams may wait for QUIC. Behind it they are dropped and
// counted; QUIC on the other side sends them again.
const backlog = 4096

// wire shows QUIC the link as a packet connection with its callers' own addresses.
// It is no *net.UDPConn on purpose: a type that embeds one would also promote the
// methods by which the library reads round ReadFrom.
type wire struct {
	link     *link
	arrived  chan arrival
	buffers  sync.Pool
	closed   chan struct{}
	shut     sync.Once
	mu       sync.Mutex // guards deadline and woken
	deadline time.Time
	woken    chan struct{} // closed when the deadline changes
}

var _ net.PacketConn = (*wire)(nil)

type arrival struct {
	payload []byte
	caller  netip.AddrPort
}

func newWire(l *link) *wire {
	w := &wire{
		link:    l,
		arrived: make(chan arrival, backlog),
		closed:  make(chan struct{}),
		woken:   make(chan struct{}),
	}
	w.buffers.New = func() any { return make([]byte, readSize) }
	return w
}

// deliver hands a datagram to QUIC. It copies the payload.
func (w *wire) deliver(payload []byte, caller netip.AddrPort) {
	b := w.buffers.Get().([]byte)
	n := copy(b, payload)
	select {
	case w.arrived <- arrival{b[:n], caller}:
		w.link.agent.count.kept.Inc()
	default:
		w.link.agent.count.backlog.Inc()
		w.buffers.Put(b) //nolint:staticcheck // the slice header's cost is accepted
	}
}

// ReadFrom implements net.PacketConn.
func (w *wire) ReadFrom(p []byte) (n int, addr net.Addr, err error) {
	for {
		timer, woken := w.timer()
		select {
		case a := <-w.arrived:
			n = copy(p, a.payload)
			w.buffers.Put(a.payload[:readSize]) //nolint:staticcheck // as above
			return n, net.UDPAddrFromAddrPort(a.caller), nil
		case <-w.closed:
			return 0, nil, net.ErrClosed
		case <-timer:
			return 0, nil, os.ErrDeadlineExceeded
		case <-woken:
		}
	}
}

// timer returns a channel that fires at the read deadline, nil if there is none.
func (w *wire) timer() (fires <-chan time.Time, woken <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadline.IsZero() {
		return nil, w.woken
	}
	return time.After(time.Until(w.deadline)), w.woken
}

// WriteTo implements net.PacketConn. A datagram that cannot be sent is counted and
// lost, as on any network: an error would end the connection.
func (w *wire) WriteTo(p []byte, addr net.Addr) (n int, err error) {
	a := addr.(*net.UDPAddr).AddrPort()
	w.link.send(p, netip.AddrPortFrom(a.Addr().Unmap(), a.Port()))
	return len(p), nil
}

// Close implements net.PacketConn.
func (w *wire) Close() error {
	w.shut.Do(func() { close(w.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (w *wire) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(w.link.agent.settings.Agent.Listen)
}

// SetReadDeadline implements net.PacketConn.
func (w *wire) SetReadDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	close(w.woken)
	w.woken = make(chan struct{})
	return nil
}

// SetDeadline implements net.PacketConn.
func (w *wire) SetDeadline(t time.Time) error { return w.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn. Writes do not block.
func (w *wire) SetWriteDeadline(time.Time) error { return nil }
