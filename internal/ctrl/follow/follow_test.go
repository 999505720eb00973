package follow

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/oper/event"
)

const bound = 3 * time.Second

// state is the content of a platform at one time.
type state struct {
	at      order.Revision
	version int64 // of the configuration; it never decreases
}

// platform is a Source that can be down, unresponsive, discard its history, or be restored from a backup.
type platform struct {
	mu           sync.Mutex
	state        state
	calls        int
	down         bool
	unresponsive bool
	truncated    bool
	servers      int // the platform lists a server for each of the first so many agents of a fleet
	changed      chan struct{}
}

func newPlatform() *platform {
	return &platform{state: state{at: 1, version: 1}, changed: make(chan struct{})}
}

// setState replaces the state by the result of next, wakes the watches, and returns the new state.
func (p *platform) setState(next func(state) state) (now state) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = next(p.state)
	close(p.changed)
	p.changed = make(chan struct{})
	return p.state
}

// change writes a new configuration, and returns its version.
func (p *platform) change() (version int64) {
	return p.setState(func(s state) state { return state{s.at + 1, s.version + 1} }).version
}

// restore restores the platform's store from a backup that was made at the revision with a number, in the next era.
func (p *platform) restore(number uint64) {
	p.setState(func(s state) state { return state{order.At(s.at.Era()+1, number), s.version} })
}

func (p *platform) count() (calls int) {
	p.set(func() { calls = p.calls })
	return calls
}

func (p *platform) set(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
}

func (p *platform) call(ctx context.Context) (state, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.unresponsive {
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		return state{}, nil, ctx.Err()
	}
	if p.down {
		return state{}, nil, errors.New("down")
	}
	return p.state, p.changed, nil
}

func (s state) item() belief.Item {
	return belief.Item{Key: "config", Revision: s.at, Config: &belief.Config{Version: s.version}}
}

// List implements Source.
func (p *platform) List(ctx context.Context) (belief.Change, error) {
	s, _, err := p.call(ctx)
	items := []belief.Item{s.item()}
	for i := range p.servers {
		a := addr(entries + i)
		items = append(items, belief.Item{Key: a.String(), Revision: 1, Server: &belief.Server{
			ID: a.String(), Addr: netip.AddrPortFrom(a, 80), Domain: domainOf(a), State: belief.Ready,
		}})
	}
	return belief.Change{To: s.at, Full: true, Items: items}, err
}

// Watch implements Source.
func (p *platform) Watch(ctx context.Context, after order.Revision, wait time.Duration) (belief.Change, error) {
	s, changed, err := p.call(ctx)
	if err != nil {
		return belief.Change{}, err
	}
	truncated := false
	p.set(func() { truncated, p.truncated = p.truncated, false })
	if truncated || after.Era() != s.at.Era() || after > s.at {
		return belief.Change{}, ErrHistory
	}
	if s.at == after {
		select {
		case <-changed:
		case <-time.After(wait):
			return belief.Change{From: after, To: after}, nil
		case <-ctx.Done():
			return belief.Change{}, ctx.Err()
		}
		p.set(func() { s = p.state })
		if after.Era() != s.at.Era() {
			return belief.Change{}, errors.New("cut")
		}
	}
	return belief.Change{From: after, To: s.at, Items: []belief.Item{s.item()}}, nil
}

func init() {
	encodeUpdate(belief.Change{}) // creates the encoder's channels outside of any test's synctest bubble
}

// fleet is a set of nodes that exchange messages in memory.
type fleet struct {
	mu       sync.Mutex
	nodes    map[netip.Addr]*Node
	isolated map[netip.Addr]bool                       // nodes without network
	onSend   func(from, to netip.Addr, message []byte) // called for each message, unless nil
}

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }

// entries is how many nodes of a fleet are entries; the others are agents.
const entries = 20

func roleOf(i int) msgs.Role {
	if i < entries {
		return msgs.Entry
	}
	return msgs.Agent
}

// domainOf spreads processes over five failure domains.
func domainOf(a netip.Addr) string { return fmt.Sprintf("zg-%d", a.As4()[3]%5) }

// start starts a fleet whose node i reads source(i).
func start(t *testing.T, count int, source func(i int) Source) *fleet {
	t.Helper()
	f := &fleet{nodes: map[netip.Addr]*Node{}, isolated: map[netip.Addr]bool{}}
	events := event.New(io.Discard, "test", "follow")
	for i := range count {
		self := addr(i)
		f.nodes[self] = New(Config{
			Self: self, Role: roleOf(i), Domain: domainOf(self), Seeds: []netip.Addr{addr(0)}, Log: belief.New(), Source: source(i),
			Events: events, PropagationBound: bound,
			Send: func(to netip.Addr, b []byte) { f.send(self, to, append([]byte(nil), b...)) },
			Fetch: func(_ context.Context, peer netip.Addr, since order.Revision) (belief.Change, error) {
				return f.fetch(self, peer, since)
			},
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	for _, n := range f.nodes {
		go n.Run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		time.Sleep(bound) // until messages in transit have arrived
		events.Close()
	})
	return f
}

func (f *fleet) reaches(from, to netip.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isolated[from] && !f.isolated[to]
}

func (f *fleet) node(a netip.Addr) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[a]
}

func (f *fleet) send(from, to netip.Addr, b []byte) {
	f.mu.Lock()
	sent := f.onSend
	f.mu.Unlock()
	if sent != nil {
		sent(from, to, b)
	}
	n := f.node(to)
	if n == nil || !f.reaches(from, to) {
		return
	}
	go func() {
		time.Sleep(time.Millisecond)
		h, rest, err := msgs.ReadHeader(b)
		if err != nil {
			return
		}
		if h.Kind == msgs.KindBeacon {
			m, _ := msgs.ReadBeacon(h, rest)
			n.HandleBeacon(time.Now(), from, m)
			return
		}
		c, _ := DecodeUpdate(rest)
		n.HandleChange(time.Now(), from, c)
	}()
}

func (f *fleet) fetch(from, peer netip.Addr, since order.Revision) (belief.Change, error) {
	if n := f.node(peer); n != nil && f.reaches(from, peer) {
		return n.Log.Since(since), nil
	}
	return belief.Change{}, errors.New("unreachable")
}

func (f *fleet) readers() (count int) {
	for _, n := range f.nodes {
		if n.Reading() {
			count++
		}
	}
	return count
}

// waitForRevision waits until all nodes that are not cut off have at least a revision.
func (f *fleet) waitForRevision(t *testing.T, revision order.Revision, within time.Duration) {
	t.Helper()
	began := time.Now()
	for a, n := range f.nodes {
		for n.Log.Revision() < revision && f.reaches(a, a) {
			assert.Assert(t, time.Since(began) < within, "%s is at %s", a, n.Log.Revision())
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against every process watching the platform: 72 processes make 5,400 calls on a day without changes.
// Two processes must read, whatever the size of the fleet.
func TestFewProcessesReadThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, 12, func(int) Source { return p })
		f.waitForRevision(t, 1, time.Second)
		time.Sleep(20 * time.Second)
		assert.Assert(t, f.readers() >= wantedReaders && f.readers() <= wantedReaders+2, f.readers())
		before := p.count()
		time.Sleep(10 * time.Second)
		calls := p.count() - before
		assert.Assert(t, calls <= 45, "%d calls in 10 s", calls)
	})
}

func TestChangeIsKnownEverywhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, 12, func(int) Source { return p })
		time.Sleep(10 * time.Second)
		p.change()
		f.waitForRevision(t, 2, 200*time.Millisecond)
	})
}

// Guards against an outdated belief of a process that can't reach the platform, or is refused by it, while its peers are
// served.
func TestProcessWithoutThePlatformReceivesUpdatesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dead := newPlatform(), newPlatform()
		dead.down = true
		f := start(t, 6, func(i int) Source {
			if i%2 == 0 {
				return dead
			}
			return p
		})
		time.Sleep(5 * time.Second)
		p.change()
		f.waitForRevision(t, 2, bound/2)
	})
}

// Guards against a change that is lost because all readers are cut off at that moment, and never recover. Another process
// must detect that its belief is too old, and read the platform within the propagation bound.
func TestOthersReadWhenReadersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, 8, func(int) Source { return p })
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		for a, n := range f.nodes {
			f.isolated[a] = n.Reading()
		}
		f.mu.Unlock()
		p.change()
		f.waitForRevision(t, 2, bound)
	})
}

// Guards against a restarted process that its peers still consider leaving, because the previous process at its address
// announced a graceful shutdown. Until gossip reaches each peer, which takes seconds, an agent gets no new flows.
func TestRestartedProcessIsNoLongerLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, 12, func(int) Source { return p })
		time.Sleep(5 * time.Second)
		left := f.nodes[addr(3)]
		left.Leave()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, f.nodes[addr(5)].Leaving(addr(3)))

		restarted := New(left.Config)
		restarted.Log = belief.New()
		f.mu.Lock()
		f.nodes[addr(3)] = restarted
		f.mu.Unlock()
		go restarted.Run(t.Context())
		time.Sleep(time.Second)
		for a, n := range f.nodes {
			assert.Assert(t, a == addr(3) || !n.Leaving(addr(3)), a)
		}
	})
}

// Guards against losing the belief, or reporting a wrong age, while the platform doesn't respond to any process and
// connections hang. After it recovers, all processes must be up to date within the propagation bound.
func TestPlatformUnresponsiveForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, 4, func(int) Source { return p })
		time.Sleep(5 * time.Second)
		p.set(func() { p.unresponsive = true })
		time.Sleep(20 * time.Second)
		for _, n := range f.nodes {
			age, ok := n.Age(time.Now())
			assert.Assert(t, ok && age > 15*time.Second, age)
			assert.Equal(t, n.Log.Revision(), order.Revision(1))
		}
		p.set(func() { p.unresponsive = false })
		p.change()
		f.waitForRevision(t, 2, bound)
	})
}

// Guards against changes that a reader misses because the platform has discarded them: the reader must list again.
func TestDiscardedHistoryIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, 2, func(int) Source { return p })
		time.Sleep(5 * time.Second)
		p.set(func() { p.truncated = true })
		p.change()
		f.waitForRevision(t, 2, bound)
	})
}

// waitForVersion waits until all nodes have at least a version of the configuration, for the propagation bound at most.
func (f *fleet) waitForVersion(t *testing.T, version int64) {
	t.Helper()
	began := time.Now()
	for a, n := range f.nodes {
		for n.Log.View().Version() < version {
			assert.Assert(t, time.Since(began) < bound, "%s has version %d", a, n.Log.View().Version())
			time.Sleep(time.Millisecond)
		}
	}
}
