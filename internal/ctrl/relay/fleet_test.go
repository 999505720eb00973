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

// process is one node of a fleet.
type process struct {
	*relay.Node
	store  *store.Store
	member peers.Member
	stop   context.CancelFunc
}

// fleet is a set of nodes on an in-memory network. A message takes a millisecond, is lost with probability
// loss, and is not delivered to a process on another side of a partition.
type fleet struct {
	t        *testing.T
	platform *platform
	seeds    []netip.AddrPort
	running  sync.WaitGroup

	mu              sync.Mutex
	processes       map[netip.AddrPort]*process
	side            map[netip.AddrPort]int
	platformCut     bool // the platform is reached from side 0 only
	loss            float64
	calls           int
	bytes           int
	random          *rand.Rand
	lastIncarnation uint64
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

// reseed seeds the random choice of lost messages.
func (f *fleet) reseed(seed uint64) { f.random = rand.New(rand.NewPCG(seed, 2)) }

func entryLink(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(n >> 8), byte(n)}), 7000)
}

// domainOf assigns entries to 7 failure domains.
func domainOf(n int) string { return fmt.Sprint("domain", n%7) }

// entries starts entries 0 to count-1 and adds them to the platform's list.
func (f *fleet) entries(count int) {
	for n := range count {
		f.platform.list.Instances = append(f.platform.list.Instances, fetch.Instance{
			Name: fmt.Sprint("e", n), Role: "entry", Domain: domainOf(n), Address: entryLink(n), State: "live",
		})
		if n < 5 {
			f.seeds = append(f.seeds, entryLink(n))
		}
	}
	for n := range count {
		f.entry(n)
	}
}

// entry starts or restarts one entry.
func (f *fleet) entry(n int) *process {
	return f.startProcess(relay.Config{Self: peers.Member{
		Name: fmt.Sprint("e", n), Role: peers.Entry, Domain: domainOf(n), Address: entryLink(n),
	}})
}

// agent starts the agent of one server of a service. The service document must contain that server.
func (f *fleet) agent(service string, n int) *process {
	return f.startProcess(relay.Config{Self: f.agentMember(n), Service: service, Server: fmt.Sprint("s", n)})
}

func (f *fleet) agentMember(n int) peers.Member {
	return peers.Member{Name: fmt.Sprint("a", n), Role: peers.Agent, Domain: domainOf(n), Address: agentLink(n)}
}

// listAgent sets the state of an agent in the platform's list.
func (f *fleet) listAgent(p *process, state string) {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	f.platform.list.Instances = append(slices.DeleteFunc(slices.Clone(f.platform.list.Instances), func(i fetch.Instance) bool {
		return i.Name == p.member.Name
	}), fetch.Instance{Name: p.member.Name, Role: "agent", Domain: p.member.Domain, Address: p.member.Address, State: state})
}

func agentLink(n int) netip.AddrPort { return entryLink(20000 + n) }

// parse parses documents of the form "NAME servers=N" and rejects texts that contain "faulty".
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

func (f *fleet) startProcess(c relay.Config) *process {
	f.mu.Lock()
	f.lastIncarnation++
	c.Self.Incarnation, c.Self.State = f.lastIncarnation, peers.Live
	c.Rand = rand.New(rand.NewPCG(f.lastIncarnation, 7))
	f.mu.Unlock()
	from := c.Self.Address
	c.Seeds, c.Platform, c.Store, c.Meter = f.seeds, &platformView{f.platform, f, from}, store.New(parse), budget.New()
	c.Dial = func(to netip.AddrPort) relay.Peer { return &memoryPeer{f, from, to} }
	ctx, stop := context.WithCancel(f.t.Context())
	p := &process{relay.New(c), c.Store, c.Self, stop}
	f.mu.Lock()
	f.processes[from] = p
	f.mu.Unlock()
	f.running.Go(func() { p.Run(ctx) })
	return p
}

// kill ends a process without notifying the others.
func (f *fleet) kill(p *process) {
	p.stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.processes, p.member.Address)
}

// partition separates the processes for which aside returns true from the other processes and the platform.
func (f *fleet) partition(aside func(netip.AddrPort) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platformCut = true
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
	f.platformCut, f.loss = false, 0
	clear(f.side)
}

// minRevision returns the lowest revision with which an entry that starts now may begin: the lowest that any
// other process has in force, or 0 if losses or a partition may prevent the entry from receiving it.
func (f *fleet) minRevision(n int) order.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loss > 0 || len(f.side) > 0 {
		return 0
	}
	least := order.Revision(math.MaxUint64)
	for address, p := range f.processes {
		if address == entryLink(n) {
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

// highestInForce returns the highest revision that any process has in force.
func (f *fleet) highestInForce() order.Revision {
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

// countAtLeast returns the number of processes that have the given revision or a newer one in force, and the
// number of all processes.
func (f *fleet) countAtLeast(name string, revision order.Revision) (have, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if e := p.store.View().Documents[name]; e != nil && e.Revision >= revision {
			have++
		}
	}
	return have, len(f.processes)
}

// awaitAll waits until all processes have the given revision or a newer one in force, and returns how long it
// took.
func (f *fleet) awaitAll(limit time.Duration, name string, revision order.Revision) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		have, all := f.countAtLeast(name, revision)
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

// memoryPeer is a relay.Peer that calls the process at an address of the in-memory network.
type memoryPeer struct {
	fleet    *fleet
	from, to netip.AddrPort
}

// deliver delivers one message and returns the receiving process. If the message is lost, it returns nil when
// ctx ends.
func (r *memoryPeer) deliver(ctx context.Context, message proto.Message) *process {
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

func call[In, Out proto.Message](ctx context.Context, r *memoryPeer, in In, handle func(*process) (Out, error)) (out Out, err error) {
	var none Out
	p := r.deliver(ctx, in)
	if p == nil {
		return none, ctx.Err()
	}
	out, err = handle(p)
	if err != nil {
		return none, err
	}
	if (&memoryPeer{r.fleet, r.to, r.from}).deliver(ctx, out) == nil {
		return none, ctx.Err()
	}
	return out, nil
}

func (r *memoryPeer) Exchange(ctx context.Context, in *wire.Summary) (*wire.Summary, error) {
	return call(ctx, r, in, func(p *process) (*wire.Summary, error) { return p.Exchange(ctx, in) })
}

func (r *memoryPeer) Pull(ctx context.Context, in *wire.Wants) (*wire.Texts, error) {
	return call(ctx, r, in, func(p *process) (*wire.Texts, error) { return p.Pull(ctx, in) })
}

func (r *memoryPeer) Beat(ctx context.Context, in *wire.Pulse) (*wire.Pulse, error) {
	return call(ctx, r, in, func(p *process) (*wire.Pulse, error) { return p.Beat(ctx, in) })
}
