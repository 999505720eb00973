package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// backlog is how many datagrams may be queued for QUIC. Any more are dropped and counted;
// the caller's QUIC retransmits them.
const backlog = 4096

// packetConn presents the link to QUIC as a packet connection with the callers' own
// addresses. It deliberately does not embed a *net.UDPConn, which would also promote the
// methods by which the library bypasses ReadFrom.
type packetConn struct {
	link            *link
	arrivals        chan datagram
	buffers         sync.Pool
	closed          chan struct{}
	closeOnce       sync.Once
	mu              sync.Mutex // guards deadline and deadlineChanged
	deadline        time.Time
	deadlineChanged chan struct{} // closed when the deadline changes
}

var _ net.PacketConn = (*packetConn)(nil)

type datagram struct {
	payload []byte
	caller  netip.AddrPort
}

func newPacketConn(l *link) *packetConn {
	w := &packetConn{
		link:            l,
		arrivals:        make(chan datagram, backlog),
		closed:          make(chan struct{}),
		deadlineChanged: make(chan struct{}),
	}
	w.buffers.New = func() any { return make([]byte, readSize) }
	return w
}

// deliver queues a copy of a datagram for QUIC.
func (w *packetConn) deliver(payload []byte, caller netip.AddrPort) {
	b := w.buffers.Get().([]byte)
	n := copy(b, payload)
	select {
	case w.arrivals <- datagram{b[:n], caller}:
		w.link.agent.count.kept.Inc()
	default:
		w.link.agent.count.backlog.Inc()
		w.buffers.Put(b) //nolint:staticcheck // the allocation of the slice header is acceptable
	}
}

// ReadFrom implements net.PacketConn.
func (w *packetConn) ReadFrom(p []byte) (n int, addr net.Addr, err error) {
	for {
		timer, changed := w.timer()
		select {
		case a := <-w.arrivals:
			n = copy(p, a.payload)
			w.buffers.Put(a.payload[:readSize]) //nolint:staticcheck // as in deliver
			return n, net.UDPAddrFromAddrPort(a.caller), nil
		case <-w.closed:
			return 0, nil, net.ErrClosed
		case <-timer:
			return 0, nil, os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

// timer returns a channel that fires at the read deadline, or nil without one, and a
// channel that is closed when the deadline changes.
func (w *packetConn) timer() (fires <-chan time.Time, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadline.IsZero() {
		return nil, w.deadlineChanged
	}
	return time.After(time.Until(w.deadline)), w.deadlineChanged
}

// WriteTo implements net.PacketConn. A datagram that cannot be sent is counted and
// dropped, as on any network; an error would end the connection.
func (w *packetConn) WriteTo(p []byte, addr net.Addr) (n int, err error) {
	a := addr.(*net.UDPAddr).AddrPort()
	w.link.send(p, netip.AddrPortFrom(a.Addr().Unmap(), a.Port()))
	return len(p), nil
}

// Close implements net.PacketConn.
func (w *packetConn) Close() error {
	w.closeOnce.Do(func() { close(w.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (w *packetConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(w.link.agent.settings.Agent.Listen)
}

// SetReadDeadline implements net.PacketConn.
func (w *packetConn) SetReadDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	close(w.deadlineChanged)
	w.deadlineChanged = make(chan struct{})
	return nil
}

// SetDeadline implements net.PacketConn.
func (w *packetConn) SetDeadline(t time.Time) error { return w.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn. Writes do not block.
func (w *packetConn) SetWriteDeadline(time.Time) error { return nil }
