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

// network is the way between processes.
type network struct {
	mu        sync.Mutex
	processes map[netip.AddrPort]*Process
	parted    bool // the two regions don't reach each other
	failed    int  // calls that nobody answered
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

var errGone = errors.New("nobody answers there")

// route is the way to a process by calls within this one.
type route struct {
	network *network
	from    *Process
	to      netip.AddrPort
}

func (n *network) route(from *Process, to netip.AddrPort) *route { return &route{n, from, to} }

// find returns the process at the other end. One in the other region of a
// partition never answers.
func (r *route) find(ctx context.Context) (*Process, error) {
	n := r.network
	n.mu.Lock()
	p := n.processes[r.to]
	cut := p != nil && n.parted && region(p.Member.Domain) != region(r.from.Member.Domain)
	if p == nil || cut {
		n.failed++
	}
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if p == nil {
		return nil, errGone
	}
	return p, nil
}

// region says which of the two regions a failure domain belongs to: 4 to the one, 3 to the other.
func region(d string) bool { return d < domain(Domains/2+1) }

// oneWay is how long a message takes between two failure domains of one region.
const oneWay = time.Millisecond

func pass[In, Out proto.Message](ctx context.Context, r *route, in In, handle func(*Process) (Out, error)) (out Out, err error) {
	time.Sleep(oneWay)
	var none Out
	p, err := r.find(ctx)
	if err != nil {
		return none, err
	}
	out, err = handle(p)
	time.Sleep(oneWay)
	if err != nil {
		return none, err
	}
	r.from.Meter.CountAnswered(proto.Size(out), proto.Size(in))
	return out, nil
}

func (r *route) Exchange(ctx context.Context, in *wire.Summary) (*wire.Summary, error) {
	return pass(ctx, r, in, func(p *Process) (*wire.Summary, error) { return p.Node.Exchange(ctx, in) })
}

func (r *route) Pull(ctx context.Context, in *wire.Wants) (*wire.Texts, error) {
	return pass(ctx, r, in, func(p *Process) (*wire.Texts, error) { return p.Node.Pull(ctx, in) })
}

func (r *route) Beat(ctx context.Context, in *wire.Pulse) (*wire.Pulse, error) {
	return pass(ctx, r, in, func(p *Process) (*wire.Pulse, error) { return p.Node.Beat(ctx, in) })
}

// resend is how long TCP waits before it sends a lost segment again, at first.
const resend = 200 * time.Millisecond

// lossy returns a wrapper under which a share of the writes is late as if its segment
// had been lost, and lost again, and sent again each time.
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
	for wait := resend; rand.Float64() < c.loss; wait *= 2 {
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
