package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
)

// Guards against a call for each of hundreds of changes in quick succession, as when a whole fleet starts.
func TestChangesInARowAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, 12, func(int) Source { return p })
		time.Sleep(20 * time.Second)
		before := p.count()
		for range 200 {
			p.change()
			time.Sleep(20 * time.Millisecond)
		}
		f.waitForRevision(t, 201, bound/4)
		calls := p.count() - before
		assert.Assert(t, calls < 60, "%d calls for 200 changes", calls)
		time.Sleep(5 * time.Second)
		p.change()
		f.waitForRevision(t, 202, 100*time.Millisecond)
	})
}

// Guards against a starting fleet in which all entries watch the changes that follow while servers start one by one.
func TestFewEntriesWatchAfterAStartOfAll(t *testing.T) {
	for _, count := range []int{64, 240} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform()
			p.servers = count - entries
			f := start(t, count, func(int) Source { return p })
			time.Sleep(300 * time.Millisecond)
			assert.Assert(t, f.readers() <= 5, "%d of %d entries", f.readers(), entries)
			f.waitForRevision(t, 1, time.Second)
			assert.Assert(t, p.count() < 2*entries, "%d calls of %d processes, %d of them entries", p.count(), count, entries)
		})
	}
}

// Guards against a large fleet in which each process takes the few peers that it receives messages from for the whole
// fleet, so that dozens volunteer to read.
func TestVolunteersAreFewWhenFewPeersAreSeen(t *testing.T) {
	const servers = 200
	p := newPlatform()
	p.servers = servers
	c, err := p.List(t.Context())
	assert.NilError(t, err)
	for name, asOf := range map[string]time.Duration{"readers unheard": 0, "belief too old": bound} {
		now := time.Now()
		n := New(Config{Self: addr(0), Role: msgs.Entry, Log: belief.New(), PropagationBound: bound})
		n.Log.Apply(now, c)
		n.start, n.asOf = now.Add(-time.Minute), now.Add(-asOf)
		n.addEntry(now, addr(1))
		begins := 0
		for range 1000 {
			if n.shouldRead(now) {
				begins++
			}
		}
		assert.Assert(t, begins <= 1000*2*wantedProbers/servers, "%s: %d of 1000 ticks", name, begins)
	}
}

// Guards against entries that list the platform before any seed is up, discover no peers, and all read again when their
// beliefs become too old.
func TestEntriesThatListedAtOnceDiscoverPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, entries, func(int) Source { return p })
		f.mu.Lock()
		f.isolated[addr(0)] = true
		f.mu.Unlock()
		time.Sleep(150 * time.Millisecond)
		f.mu.Lock()
		f.isolated[addr(0)] = false
		f.mu.Unlock()
		time.Sleep(time.Second)
		for i := range entries {
			assert.Assert(t, len(f.node(addr(i)).Entries()) > 1, i)
		}
		before := p.count()
		time.Sleep(bound)
		assert.Assert(t, p.count()-before < entries, "%d calls of %d entries", p.count()-before, entries)
	})
}

// Guards against a fleet in which all processes call an unavailable platform once their beliefs are too old.
func TestFewProcessesCallAnUnavailablePlatform(t *testing.T) {
	for name, fault := range map[string]func(p *platform){
		"down":   func(p *platform) { p.down = true },
		"silent": func(p *platform) { p.unresponsive = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform()
				p.servers = 64
				f := start(t, 84, func(int) Source { return p })
				time.Sleep(10 * time.Second)
				p.set(func() { fault(p) })
				before := p.count()
				time.Sleep(10 * time.Second)
				calls := p.count() - before
				assert.Assert(t, calls < 200, "%d calls in 10 s", calls)
				p.set(func() { p.down, p.unresponsive = false, false })
				p.change()
				f.waitForRevision(t, 2, bound)
			})
		})
	}
}

// Guards against a fleet that relies on processes that the platform refuses to serve, or that were stopped.
func TestOthersReadWhenProbersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dead := newPlatform(), newPlatform()
		f := start(t, 24, func(i int) Source {
			if i%3 == 0 {
				return dead
			}
			return p
		})
		time.Sleep(5 * time.Second)
		p.set(func() { p.down = true })
		dead.set(func() { dead.down = true })
		time.Sleep(4 * time.Second)
		p.set(func() { p.down = false })
		p.change()
		f.waitForRevision(t, 2, bound)
		f.mu.Lock()
		for a, n := range f.nodes {
			f.isolated[a] = n.Reading()
		}
		f.mu.Unlock()
		p.change()
		f.waitForRevision(t, 3, bound)
	})
}

// Guards against a whole fleet that lists the platform after its store was restored from a backup.
func TestFewProcessesListAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.servers = 180
		f := start(t, 200, func(int) Source { return p })
		time.Sleep(20 * time.Second)
		for range 4 {
			f.waitForVersion(t, p.change())
		}
		p.set(func() { p.unresponsive = true })
		time.Sleep(2 * time.Second)
		p.restore(2)
		p.set(func() { p.unresponsive = false })
		before := p.count()
		f.waitForVersion(t, p.change())
		calls := p.count() - before
		assert.Assert(t, calls <= 8*wantedProbers, "%d calls", calls)
	})
}
