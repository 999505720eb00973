package hand

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"mangowinch/internal/work/wire"
)

const (
	dialTimeout   = time.Second      // a peer is a few ms away, so one that takes longer counts as unavailable
	greetInterval = 30 * time.Second // clocks with a drift of 200 ppm diverge by 6 ms in this time
	maxIdleLinks  = 8                // per peer: about as many as a server has slots
	maxConnects   = 5                // connections opened to reach one of two processes: 1 in 32 queries misses it
	maxOpenLinks  = 512              // per peer, feeds included
	maxMessage    = 256 << 10        // bytes; a head with all its fields is well below this
	drainTimeout  = time.Second      // wait for the end of a request that was cancelled
)

// Dial opens a link to another agent.
type Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// DialTCP dials over TCP. The kernel chooses the local address.
func DialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", to.String())
}

var (
	errTooManyLinks = errors.New("too many links to this agent")
	errOtherService = errors.New("agent serves another service")
	errOtherProcess = errors.New("another process listens at the agent's address")
)

// link is one drpc connection. drpc runs one call at a time on it.
type link struct {
	conn        *drpcconn.Conn
	peer        *peer
	client      wire.DRPCHandClient
	incarnation uint64        // of the process at the other end
	peerClock   time.Duration // clock of that process, as received at greetedAt
	greetedAt   time.Time
}

// peer holds the links to one agent. A call acquires a link, and releases or closes it at its end.
type peer struct {
	service string
	address netip.AddrPort
	dial    Dial
	report  Report

	mu   sync.Mutex
	idle []*link
	open int
}

// acquire returns a link whose estimate of the other process's clock is recent.
func (p *peer) acquire(ctx context.Context) (l *link, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	defer func() { err = errors.Wrapf(err, "link to %s", p.address) }()
	if l = p.popIdle(); l != nil {
		if time.Since(l.greetedAt) < greetInterval || l.greet(ctx) == nil {
			return l, nil
		}
		l.close()
	}
	return p.connect(ctx)
}

// connectTo returns a new link to the process with the given incarnation. At the address of an
// agent that is being replaced two processes listen, and a new connection reaches either of them.
func (p *peer) connectTo(ctx context.Context, incarnation uint64) (l *link, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for range maxConnects {
		l, err = p.connect(ctx)
		if err != nil || l.incarnation == incarnation {
			return l, err
		}
		l.release()
	}
	return nil, errOtherProcess
}

func (p *peer) connect(ctx context.Context) (l *link, err error) {
	if !p.reserve() {
		return nil, errTooManyLinks
	}
	conn, err := p.dial(ctx, p.address)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	l = &link{peer: p, conn: drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
	}})}
	l.client = wire.NewDRPCHandClient(l.conn)
	if err := l.greet(ctx); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// popIdle returns the most recently used idle link that is not known to be closed, or nil.
func (p *peer) popIdle() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !l.closed() {
			return l
		}
		p.open--
	}
	return nil
}

func (p *peer) reportLoad(l *wire.Load) {
	if l != nil && p.report != nil {
		p.report(p.address, decodeLoad(l))
	}
}

func (p *peer) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= maxOpenLinks {
		return false
	}
	p.open++
	return true
}

func (p *peer) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// closeIdle closes the idle links.
func (p *peer) closeIdle() {
	for l := p.popIdle(); l != nil; l = p.popIdle() {
		l.close()
	}
}

func (l *link) greet(ctx context.Context) error {
	g, err := l.client.Greet(ctx, &wire.Greeting{})
	if err != nil {
		return err
	}
	if g.Service != l.peer.service {
		return errOtherService
	}
	l.peer.reportLoad(g.Load)
	l.incarnation, l.peerClock, l.greetedAt = g.Incarnation, fromMicros(g.Clock), time.Now()
	return nil
}

// deadline encodes a deadline for the other process. It assumes that the other process's clock
// showed the value in its greeting only when the greeting arrived here. The estimate is therefore
// behind by at most the transit time of the greeting, and never ahead: a request may appear up to a
// millisecond older than it is, but never younger.
func (l *link) deadline(now time.Time, left time.Duration) *wire.Time {
	return &wire.Time{
		Left: uint64(max(left, 0).Microseconds()),
		Sent: uint64((l.peerClock + now.Sub(l.greetedAt)).Microseconds()),
	}
}

func (l *link) closed() bool {
	select {
	case <-l.conn.Closed():
		return true
	default:
		return false
	}
}

func (l *link) close() {
	_ = l.conn.Close()
	l.peer.unreserve()
}

// release returns a link whose call has ended normally to the idle links.
func (l *link) release() {
	l.peer.mu.Lock()
	keep := len(l.peer.idle) < maxIdleLinks && !l.closed()
	if keep {
		l.peer.idle = append(l.peer.idle, l)
	}
	l.peer.mu.Unlock()
	if !keep {
		l.close()
	}
}
