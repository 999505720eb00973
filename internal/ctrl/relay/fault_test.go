package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/relay"
	"mangowinch/internal/flow/order"
)

// newSettledFleet starts a fleet of entries with one document at revision 1 and waits until it is in a steady
// state.
func newSettledFleet(t *testing.T, entries int) *fleet {
	f := newFleet(t)
	f.platform.set("tracing-core", 1)
	f.entries(entries)
	f.awaitAll(time.Minute, "tracing-core", 1)
	time.Sleep(20 * time.Second)
	return f
}

// The network loses a fifth of all messages, so that the gossip of a change misses some entries. Guards
// against these entries keeping the old document until the next change: digest comparisons have to find it.
func TestLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 100)
		f.mu.Lock()
		f.loss = 0.2
		f.mu.Unlock()
		f.platform.set("tracing-core", 2)
		t.Logf("in force everywhere after %v", f.awaitAll(inForce, "tracing-core", 2))
	})
}

// Only one process reads a change before the platform goes down for good. The service team knows the change to
// be accepted, so it must be in force everywhere within 7 s.
func TestPlatformDownAfterOneSawTheChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 100)
		f.platform.setDown(true)
		_, err := f.processes[entryLink(42)].store.Offer("tracing-core", 2, []byte("tracing-core two"), "platform")
		assert.NilError(t, err)
		t.Logf("in force everywhere after %v", f.awaitAll(inForce, "tracing-core", 2))
	})
}

// A partition between two regions lasts so long that every process has failed to reach every process on the
// other side. A change made meanwhile reaches only the region of the platform. The platform goes down just
// before the partition ends, and the change must then be in force everywhere within 7 s.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 6)
		f.partition(func(a netip.AddrPort) bool { return a.Addr().As4()[3]%2 == 1 })
		f.platform.set("tracing-core", 2)
		time.Sleep(8 * time.Minute)
		have, _ := f.countAtLeast("tracing-core", 2)
		assert.Equal(t, have, 3)
		have, _ = f.countAtLeast("tracing-core", 1)
		assert.Equal(t, have, 6)
		f.platform.setDown(true)
		f.heal()
		t.Logf("in force everywhere after %v", f.awaitAll(inForce, "tracing-core", 2))
	})
}

// Four of five entries fail at the same moment while the platform's list still contains them, so that some of
// the remaining ones have no neighbour left. A change one second later must reach all of them within 7 s.
func TestManyFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 100)
		for n := range 80 {
			f.kill(f.processes[entryLink(n)])
		}
		time.Sleep(time.Second)
		_, err := f.processes[entryLink(90)].store.Offer("tracing-core", 2, []byte("tracing-core two"), "platform")
		assert.NilError(t, err)
		t.Logf("in force everywhere after %v", f.awaitAll(inForce, "tracing-core", 2))
	})
}

// The platform serves an old revision, and an entry restarts whose seeds have all been removed. Guards
// against the entry accepting the old revision from the platform, and treating callers by it, although the
// peers in the platform's list have a newer one.
func TestRestartWithStalePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 20)
		f.platform.set("tracing-core", 5)
		f.awaitAll(inForce, "tracing-core", 5)
		f.platform.set("tracing-core", 3)
		f.seeds = []netip.AddrPort{entryLink(999)}
		for n := range 20 {
			f.kill(f.processes[entryLink(n)])
			p := f.entry(n)
			<-p.store.Changed()
			assert.Equal(t, p.store.View().Documents["tracing-core"].Revision, order.Revision(5), "e%d", n)
			time.Sleep(5 * time.Second)
		}
	})
}

// The platform accepts a document that can't be parsed. All processes must keep the last valid revision,
// other documents must still be distributed, and an entry that restarts meanwhile must get the last valid
// revision from its peers, since the platform no longer has it.
func TestFaultyDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 30)
		f.platform.texts["tracing-core2"] = "tracing-core faulty"
		f.platform.set("tracing-core", 2)
		f.platform.set("doc-intake", 1)
		f.awaitAll(inForce, "doc-intake", 1)
		p := f.entry(7)
		f.awaitAll(20*time.Second, "tracing-core", 1)
		time.Sleep(5 * time.Second)
		for _, q := range f.processes {
			assert.Equal(t, q.store.View().Documents["tracing-core"].Revision, order.Revision(1))
			assert.Equal(t, q.store.View().Faults["tracing-core"].Revision, order.Revision(2))
		}
		assert.Equal(t, p.Status().Faulty[0].InForce, order.Revision(1))
		f.platform.set("tracing-core", 3)
		f.awaitAll(inForce, "tracing-core", 3)
	})
}

// A whole failure domain restarts at once, while the platform answers 2,000 calls a second of the whole
// fleet. Guards against every restarted entry reading all documents from the platform, which would take tens
// of thousands of calls: the peers in the other domains have to send them.
func TestDomainRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for n := range 100 {
			f.platform.set(fmt.Sprint("service-", n), 1)
		}
		f.entries(42)
		for n := range 100 {
			f.awaitAll(2*time.Minute, fmt.Sprint("service-", n), 1)
		}
		time.Sleep(20 * time.Second)
		start := time.Now()
		for n := 0; n < 42; n += 7 {
			f.kill(f.processes[entryLink(n)])
		}
		for n := 0; n < 42; n += 7 {
			f.entry(n)
		}
		for n := range 100 {
			f.awaitAll(time.Minute, fmt.Sprint("service-", n), 1)
		}
		t.Logf("full after %v, %d calls in the busiest second", time.Since(start), f.platform.peakRate(start))
		assert.Assert(t, f.platform.peakRate(start) < 60)
	})
}

// The platform is down for so long that all backoffs have reached their limits: ten minutes are as good as an
// hour. When it returns with a change, all processes must find the change, but not all may call at once.
func TestLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 28)
		start := time.Now()
		f.platform.setDown(true)
		time.Sleep(time.Minute)
		first := f.platform.peakRate(start)
		start = time.Now()
		time.Sleep(9 * time.Minute)
		during := f.platform.peakRate(start)
		f.platform.setDown(false)
		start = time.Now()
		f.platform.set("tracing-core", 2)
		took := f.awaitAll(20*time.Second, "tracing-core", 2)
		t.Logf("%d calls in the busiest second of the first minute, then %d, %d after it; in force after %v", first, during, f.platform.peakRate(start), took)
		assert.Assert(t, first < 100 && during < 25 && f.platform.peakRate(start) < 100)
	})
}

// All entries have failed and one agent of a service has a change. Frames and polls can't bring it to the
// other agents; heartbeats have to.
func TestAgentsTellEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.platform.texts["tracing-core1"] = "tracing-core servers=7"
		f.platform.set("tracing-core", 1)
		f.entries(3)
		for n := range 7 {
			f.agent("tracing-core", n)
		}
		f.awaitAll(time.Minute, "tracing-core", 1)
		time.Sleep(10 * time.Second)
		f.platform.setDown(true)
		for n := range 3 {
			f.kill(f.processes[entryLink(n)])
		}
		one := f.processes[agentLink(3)]
		assert.Equal(t, len(one.PeerAgents()), 6)
		_, err := one.store.Offer("tracing-core", 2, []byte("tracing-core servers=7 two"), "platform")
		assert.NilError(t, err)
		t.Logf("in force everywhere after %v", f.awaitAll(inForce, "tracing-core", 2))
	})
}

// The platform lists an agent as leaving. The agent must stop accepting new work within 3 s, although no
// entry sends it packets and it doesn't read the list itself.
func TestListSaysLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.platform.set("tracing-core", 1)
		f.entries(5)
		leaves := make(chan struct{}, 100)
		agent := f.startProcess(relay.Config{Self: f.agentMember(0), Service: "tracing-core", Server: "s0", Leave: func() { leaves <- struct{}{} }})
		f.listAgent(agent, "live")
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(leaves), 0)
		f.listAgent(agent, "leaving")
		time.Sleep(3 * time.Second)
		assert.Assert(t, len(leaves) > 0)
	})
}

// The platform returns after two minutes, and a change is accepted at that moment. Guards against a backoff
// of the watchers of up to half a minute, after which no process might read the change in time.
func TestChangeAtTheReturnOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 4)
		for revision := range order.Revision(15) {
			f.platform.setDown(true)
			time.Sleep(2 * time.Minute)
			f.platform.setDown(false)
			f.platform.set("doc-intake", revision+1)
			f.awaitAll(inForce, "doc-intake", revision+1)
		}
	})
}

// A document of a megabyte is distributed. Plain text, as in real documents, must be in force in time;
// incompressible text takes longer, but must stay within the budget of every process.
func TestLargeDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 8)
		var plain strings.Builder
		for n := 0; plain.Len() < store.MaxText-100; n++ {
			fmt.Fprintf(&plain, "[server s%d]\nagent = 10.%d.%d.7:7000\n", n, n%250, n/250)
		}
		f.platform.setDown(true)
		_, err := f.processes[entryLink(7)].store.Offer("tracing-core", 2, []byte("tracing-core "+plain.String()), "platform")
		assert.NilError(t, err)
		t.Logf("plain text is in force after %v", f.awaitAll(inForce, "tracing-core", 2))
		time.Sleep(2 * time.Minute)
		f.platform.setDown(false)
		dense := make([]byte, store.MaxText-100)
		r := rand.NewChaCha8([32]byte{})
		_, _ = r.Read(dense)
		f.platform.texts["tracing-core3"] = "tracing-core " + string(dense)
		f.platform.set("tracing-core", 3)
		f.platform.set("doc-intake", 1)
		t.Logf("another document is in force after %v", f.awaitAll(inForce, "doc-intake", 1))
		f.mu.Lock()
		f.bytes = 0
		f.mu.Unlock()
		took := f.awaitAll(20*time.Minute, "tracing-core", 3)
		spent := float64(2*f.bytes) / 8 / took.Seconds() // each byte is sent by one and received by another
		t.Logf("dense text is in force after %v, %.0f bytes a second for each process", took, spent)
		assert.Assert(t, spent < budget.BytesPerSecond)
	})
}

// A process starts while it is partitioned from all others. What it knows may be outdated, and it must report
// that it is not fresh until its first exchange.
func TestFreshAfterFirstExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t, 3)
		f.platform.setDown(true)
		f.partition(func(a netip.AddrPort) bool { return a == entryLink(0) })
		p := f.processes[entryLink(0)]
		f.kill(p)
		p = f.entry(0)
		f.mu.Lock()
		f.side[entryLink(0)] = 1
		f.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Assert(t, !p.Fresh())
		f.heal()
		time.Sleep(5 * time.Second)
		assert.Assert(t, p.Fresh())
	})
}
