package relay_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/relay"
	"mangowinch/internal/ctrl/wire"
	"mangowinch/internal/flow/order"
)

// process is one node of a fleet, with what it can be reached by.
type process struct {
	*relay.Node
	store  *store.Store
	member peers.Member
	stop   context.CancelFunc
}

// fleet is a set of nodes on a network in memory. Calls take a millisecond each
// way, are lost with a chance, and don't get from one side to another when sides are set.
type fleet struct {
	t        *testing.T
	platform *platform
	seeds    []netip.AddrPort
	running  sync.WaitGroup

	mu        sync.Mutex
	processes map[netip.AddrPort]*process
	side      map[netip.AddrPort]int
	cut       bool // the platform is reached from side 0 only
	loss      float64
	calls     int
	bytes     int
	random    *rand.Rand
	life      uint64
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t:         t,
		platform:  &platform{serves: map[string]order.Revision{}, texts: map[string]string{}, changed: make(chan struct{})},
		processes: map[netip.AddrPort]*process{},
		side:      map[netip.AddrPort]int{},
		random:    rand.New(rand.NewPCG(1, 2)),
	}
	t.Cleanup(f.running.Wait)
	return f
}

// reseed makes the losses of the network those of a seed.
func (f *fleet) reseed(seed uint64) { f.random = rand.New(rand.NewPCG(seed, 2)) }

func linkOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(n >> 8), byte(n)}), 7000)
}

// domain spreads entries over 7 failure domains.
func domain(n int) string { return fmt.Sprint("domain", n%7) }

// entries starts entries 0 to count-1. The platform lists them.
func (f *fleet) entries(count int) {
	for n := range count {
		f.platform.list.Instances = append(f.platform.list.Instances, fetch.Instance{
			Name: fmt.Sprint("e", n), Role: "entry", Domain: domain(n), Address: linkOf(n), State: "live",
		})
		if n < 5 {
			f.seeds = append(f.seeds, linkOf(n))
		}
	}
	for n := range count {
		f.entry(n)
	}
}

// entry starts, or starts again, one entry.
func (f *fleet) entry(n int) *process {
	return f.begin(relay.Config{Self: peers.Member{
		Name: fmt.Sprint("e", n), Role: peers.Entry, Domain: domain(n), Address: linkOf(n),
	}})
}

// agent starts the agent of one server; its document is to name it.
func (f *fleet) agent(service string, n int) *process {
	return f.begin(relay.Config{Self: f.agentMember(n), Service: service, Server: fmt.Sprint("s", n)})
}

func (f *fleet) agentMember(n int) peers.Member {
	return peers.Member{Name: fmt.Sprint("a", n), Role: peers.Agent, Domain: domain(n), Address: agentLink(n)}
}

// listAgent lets the platform's list say something about an agent.
func (f *fleet) listAgent(p *process, state string) {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	f.platform.list.Instances = append(slices.DeleteFunc(slices.Clone(f.platform.list.Instances), func(i fetch.Instance) bool {
		return i.Name == p.member.Name
	}), fetch.Instance{Name: p.member.Name, Role: "agent", Domain: p.member.Domain, Address: p.member.Address, State: state})
}

func agentLink(n int) netip.AddrPort { return linkOf(20000 + n) }

// parse reads "NAME servers=N" and refuses texts with "faulty" in them.
func parse(_ string, text []byte) (*docs.Service, error) {
	if strings.Contains(string(text), "faulty") {
		return nil, errors.New("faulty")
	}
	var servers int
	name, rest, _ := strings.Cut(string(text), " ")
	_, _ = fmt.Sscanf(rest, "servers=%d", &servers)
	s := &docs.Service{Name: name}
	for n := range servers {
		s.Servers = append(s.Servers, docs.Server{Name: fmt.Sprint("s", n), ID: uint32(n + 1), Agent: agentLink(n)})
	}
	return s, nil
}

func (f *fleet) begin(c relay.Config) *process {
	f.mu.Lock()
	f.life++
	c.Self.Incarnation, c.Self.State = f.life, peers.Live
	c.Rand = rand.New(rand.NewPCG(f.life, 7))
	f.mu.Unlock()
	from := c.Self.Address
	c.Seeds, c.Platform, c.Store, c.Meter = f.seeds, &window{f.platform, f, from}, store.New(parse), budget.New()
	c.Dial = func(to netip.AddrPort) relay.Peer { return &route{f, from, to} }
	ctx, stop := context.WithCancel(f.t.Context())
	p := &process{relay.New(c), c.Store, c.Self, stop}
	f.mu.Lock()
	f.processes[from] = p
	f.mu.Unlock()
	f.running.Go(func() { p.Run(ctx) })
	return p
}

// kill ends a process without a word.
func (f *fleet) kill(p *process) {
	p.stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.processes, p.member.Address)
}

// part cuts the processes for which aside says true, and the platform, from each other.
func (f *fleet) part(aside func(netip.AddrPort) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	clear(f.side)
	for address := range f.processes {
		if aside(address) {
			f.side[address] = 1
		}
	}
}

// heal ends all partitions and losses.
func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.loss = false, 0
	clear(f.side)
}

// floor returns the revision that an entry which starts now has to begin with: what
// all others have, when nothing keeps it from them.
func (f *fleet) floor(n int) order.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loss > 0 || len(f.side) > 0 {
		return 0
	}
	least := order.Revision(math.MaxUint64)
	for address, p := range f.processes {
		if address == linkOf(n) {
			continue
		}
		if e := p.store.View().Documents["svc"]; e != nil {
			least = min(least, e.Revision)
		} else {
			least = 0
		}
	}
	return least
}

// best returns the highest revision that any process has in force.
func (f *fleet) best() order.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best order.Revision
	for _, p := range f.processes {
		if e := p.store.View().Documents["svc"]; e != nil {
			best = max(best, e.Revision)
		}
	}
	return best
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mu.Lock()
	for _, p := range f.processes {
		p.stop()
	}
	clear(f.processes)
	f.mu.Unlock()
	f.running.Wait()
}

// have returns how many processes have at least a revision in force, and how many there are.
func (f *fleet) have(name string, revision order.Revision) (have, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if e := p.store.View().Documents[name]; e != nil && e.Revision >= revision {
			have++
		}
	}
	return have, len(f.processes)
}

// within waits until all processes have a revision in force, and returns how long it took.
func (f *fleet) within(limit time.Duration, name string, revision order.Revision) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		have, all := f.have(name, revision)
		took := time.Since(start)
		if have == all {
			return took
		}
		if took > limit {
			f.t.Fatalf("%s %s is in force at %d of %d after %v", name, revision, have, all, took)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// route is the way from one process to another.
type route struct {
	fleet    *fleet
	from, to netip.AddrPort
}

// cross takes one message over; nil when it never arrives.
func (r *route) cross(ctx context.Context, message proto.Message) *process {
	time.Sleep(time.Millisecond)
	f := r.fleet
	f.mu.Lock()
	f.calls++
	f.bytes += proto.Size(message)
	p := f.processes[r.to]
	if p != nil && f.side[r.from] == f.side[r.to] && f.random.Float64() >= f.loss {
		f.mu.Unlock()
		return p
	}
	f.mu.Unlock()
	<-ctx.Done()
	return nil
}

func call[In, Out proto.Message](ctx context.Context, r *route, in In, handle func(*process) (Out, error)) (out Out, err error) {
	var none Out
	p := r.cross(ctx, in)
	if p == nil {
		return none, ctx.Err()
	}
	out, err = handle(p)
	if err != nil {
		return none, err
	}
	if (&route{r.fleet, r.to, r.from}).cross(ctx, out) == nil {
		return none, ctx.Err()
	}
	return out, nil
}

func (r *route) Exchange(ctx context.Context, in *wire.Summary) (*wire.Summary, error) {
	return call(ctx, r, in, func(p *process) (*wire.Summary, error) { return p.Exchange(ctx, in) })
}

func (r *route) Pull(ctx context.Context, in *wire.Wants) (*wire.Texts, error) {
	return call(ctx, r, in, func(p *process) (*wire.Texts, error) { return p.Pull(ctx, in) })
}

func (r *route) Beat(ctx context.Context, in *wire.Pulse) (*wire.Pulse, error) {
	return call(ctx, r, in, func(p *process) (*wire.Pulse, error) { return p.Beat(ctx, in) })
}
