package follow

import (
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
)

// manyNodes is more processes than a reader sends its messages to directly.
const manyNodes = 150

// Guards against dozens of processes that call the platform at a time, each call with its cost. A reader of a large
// fleet reaches 64 peers directly. If beacons aren't relayed, gossip takes seconds to reach the other processes, whose
// beliefs count as too old by then.
func TestFewProcessesOfALargeFleetReadThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.servers = manyNodes - entries
		start(t, manyNodes, func(int) Source { return p })
		time.Sleep(20 * time.Second)
		before := p.count()
		time.Sleep(20 * time.Second)
		calls := p.count() - before
		assert.Assert(t, calls <= 100, "%d calls in 20 s; two readers make 40", calls)
	})
}

// Guards against updates that processes forward to peers of any failure domain. With five domains, four of five updates
// then cross between domains, and at a thousand instances they are most of the traffic there. Only readers may send
// updates to other domains, a few each, fewer in all than there are processes, and all processes must have the change
// within half of the propagation bound.
func TestFewUpdatesCrossDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.servers = manyNodes - entries
		f := start(t, manyNodes, func(int) Source { return p })
		time.Sleep(20 * time.Second)
		var mu sync.Mutex
		crossed := map[netip.Addr]int{}
		f.mu.Lock()
		f.onSend = func(from, to netip.Addr, message []byte) {
			mu.Lock()
			defer mu.Unlock()
			if msgs.KindOf(message) == msgs.KindUpdate && domainOf(from) != domainOf(to) {
				crossed[from]++
			}
		}
		f.mu.Unlock()
		p.change()
		f.waitForRevision(t, 2, bound/2)
		mu.Lock()
		defer mu.Unlock()
		total := 0
		for a, count := range crossed {
			assert.Assert(t, count <= 5*peersPerDomain, "%s sent %d updates to other domains", a, count)
			total += count
		}
		assert.Assert(t, total < manyNodes, "%d updates crossed domains", total)
	})
}

// Guards against fetches that all go to the same three seeds, whose beacons all processes receive first when a thousand
// start at once, and that cross failure domains. A peer of the same domain must be preferred, and the choice among equal
// peers must be random.
func TestFetchesPreferTheSameDomainAndAreSpread(t *testing.T) {
	var a fetchPeer
	a.consider(fetchPeer{addr: addr(1), revision: 5, sameDomain: false})
	a.consider(fetchPeer{addr: addr(2), revision: 9, sameDomain: true})
	a.consider(fetchPeer{addr: addr(3), revision: 9, sameDomain: false})
	assert.Assert(t, a.addr == addr(2) && a.sameDomain)

	asked := map[netip.Addr]int{}
	for range 1000 {
		var a fetchPeer
		for i := range 4 {
			a.consider(fetchPeer{addr: addr(i), revision: 5, sameDomain: true})
		}
		asked[a.addr]++
	}
	for i := range 4 {
		assert.Assert(t, asked[addr(i)] > 150, "%d of 1000", asked[addr(i)])
	}
}
