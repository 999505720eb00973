package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a call for each of hundreds of changes that come in a row, as when a whole fleet starts.
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
		f.knows(t, 201, bound/4)
		calls := p.count() - before
		assert.Assert(t, calls < 60, "%d calls for 200 changes", calls)
		time.Sleep(5 * time.Second)
		p.change()
		f.knows(t, 202, 100*time.Millisecond)
	})
}

// Guards against a fleet that starts and all of whose entries list everything and watch what follows.
func TestStartOfAllMakesAsFewCallsInALargeFleet(t *testing.T) {
	for _, count := range []int{64, 240} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform()
			p.servers = count - entries
			f := start(t, count, func(int) Source { return p })
			f.knows(t, 1, time.Second)
			time.Sleep(2 * time.Second)
			calls := p.count()
			assert.Assert(t, calls <= 20, "%d calls in 3 s of %d processes", calls, count)
		})
	}
}

// Guards against processes that wait for seeds which aren't there, or which the platform turns away.
func TestOthersReadWhenSeedsKnowNothing(t *testing.T) {
	for name, seedStarts := range map[string]bool{"gone": false, "turned away": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, dead := newPlatform(), newPlatform()
				dead.down = true
				f := start(t, 40, func(i int) Source {
					if i == 0 {
						return dead
					}
					return p
				})
				f.mu.Lock()
				f.cut[addr(0)] = !seedStarts
				f.mu.Unlock()
				time.Sleep(900 * time.Millisecond)
				for i := 1; i < entries; i++ {
					assert.Assert(t, f.node(addr(i)).Log.Revision() > 0, i)
				}
				assert.Assert(t, p.count() < 60, p.count())
			})
		})
	}
}

// Guards against a fleet all of whose processes call a platform that is away, once their beliefs are too old.
func TestFewProcessesCallAPlatformThatIsAway(t *testing.T) {
	for name, fault := range map[string]func(p *platform){
		"down":   func(p *platform) { p.down = true },
		"silent": func(p *platform) { p.silent = true },
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
				p.set(func() { p.down, p.silent = false, false })
				p.change()
				f.knows(t, 2, bound)
			})
		})
	}
}

// Guards against a fleet that leaves it to processes which the platform turns away, or which have gone.
func TestOthersReadWhenThoseWhoTryAreTurnedAway(t *testing.T) {
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
		f.knows(t, 2, bound)
		f.mu.Lock()
		for a, n := range f.nodes {
			f.cut[a] = n.Reading()
		}
		f.mu.Unlock()
		p.change()
		f.knows(t, 3, bound)
	})
}
