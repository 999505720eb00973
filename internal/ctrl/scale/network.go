package scale

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangowinch/internal/ctrl/wire"
)

// network connects the processes of a fleet.
type network struct {
	mu          sync.Mutex
	processes   map[netip.AddrPort]*Process
	partitioned bool // the two regions can't reach each other
	failed      int  // calls that were not answered
}

func newNetwork() *network { return &network{processes: map[netip.AddrPort]*Process{}} }

func (n *network) add(p *Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[p.Member.Address] = p
}

func (n *network) remove(p *Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.processes[p.Member.Address] == p {
		delete(n.processes, p.Member.Address)
	}
}

var errUnreachable = errors.New("no process at this address")

// memPeer is a relay.Peer that calls another process of the fleet directly.
type memPeer struct {
	network *network
	from    *Process
	to      netip.AddrPort
}

func (n *network) route(from *Process, to netip.AddrPort) *memPeer { return &memPeer{n, from, to} }

// target returns the process at the other end. If a partition separates the two processes, it waits until
// ctx ends.
func (r *memPeer) target(ctx context.Context) (*Process, error) {
	n := r.network
	n.mu.Lock()
	p := n.processes[r.to]
	cut := p != nil && n.partitioned && region(p.Member.Domain) != region(r.from.Member.Domain)
	if p == nil || cut {
		n.failed++
	}
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if p == nil {
		return nil, errUnreachable
	}
	return p, nil
}

// region reports which of the two regions a failure domain belongs to: 4 domains to the first (true), 3 to
// the second.
func region(d string) bool { return d < domain(Domains/2+1) }

// oneWayDelay is the latency of a message between two failure domains of one region.
const oneWayDelay = time.Millisecond

func call[In, Out proto.Message](ctx context.Context, r *memPeer, in In, handle func(*Process) (Out, error)) (out Out, err error) {
	time.Sleep(oneWayDelay)
	var none Out
	p, err := r.target(ctx)
	if err != nil {
		return none, err
	}
	out, err = handle(p)
	time.Sleep(oneWayDelay)
	if err != nil {
		return none, err
	}
	r.from.Meter.CountAnswered(proto.Size(out), proto.Size(in))
	return out, nil
}

func (r *memPeer) Exchange(ctx context.Context, in *wire.Summary) (*wire.Summary, error) {
	return call(ctx, r, in, func(p *Process) (*wire.Summary, error) { return p.Node.Exchange(ctx, in) })
}

func (r *memPeer) Pull(ctx context.Context, in *wire.Wants) (*wire.Texts, error) {
	return call(ctx, r, in, func(p *Process) (*wire.Texts, error) { return p.Node.Pull(ctx, in) })
}

func (r *memPeer) Beat(ctx context.Context, in *wire.Pulse) (*wire.Pulse, error) {
	return call(ctx, r, in, func(p *Process) (*wire.Pulse, error) { return p.Node.Beat(ctx, in) })
}

// retransmitDelay is TCP's initial retransmission timeout.
const retransmitDelay = 200 * time.Millisecond

// lossy returns a wrapper that delays a fraction of the writes as if their segments had been lost and
// retransmitted, possibly several times.
func (n *network) lossy(loss float64) func(net.Conn) net.Conn {
	return func(c net.Conn) net.Conn {
		if loss == 0 {
			return c
		}
		return &lossyConn{c, loss}
	}
}

type lossyConn struct {
	net.Conn
	loss float64
}

func (c *lossyConn) Write(b []byte) (int, error) {
	for wait := retransmitDelay; rand.Float64() < c.loss; wait *= 2 {
		time.Sleep(wait)
	}
	return c.Conn.Write(b)
}

type lossyListener struct {
	net.Listener
	network *network
	loss    float64
}

func (l *lossyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.lossy(l.loss)(c), nil
}
