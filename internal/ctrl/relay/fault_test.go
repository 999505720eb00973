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

// settled starts a fleet of entries with one document at revision 1 and lets it settle.
func settled(t *testing.T, entries int) *fleet {
	f := newFleet(t)
	f.platform.set("tracing-core", 1)
	f.entries(entries)
	f.within(time.Minute, "tracing-core", 1)
	time.Sleep(20 * time.Second)
	return f
}

// A switch loses a fifth of all messages. Rumours of a change die out here and
// there; callers of the entries that missed it would be treated by the old
// document until the next change. Comparing finds them.
func TestLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 100)
		f.mu.Lock()
		f.loss = 0.2
		f.mu.Unlock()
		f.platform.set("tracing-core", 2)
		t.Logf("in force everywhere after %v", f.within(inForce, "tracing-core", 2))
	})
}

// One process sees a change at the platform, which then goes down for good. The
// team was told that its change is accepted: all must have it within 7 s.
func TestPlatformDownAfterOneSawTheChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 100)
		f.platform.setDown(true)
		_, err := f.processes[linkOf(42)].store.Offer("tracing-core", 2, []byte("tracing-core two"), "platform")
		assert.NilError(t, err)
		t.Logf("in force everywhere after %v", f.within(inForce, "tracing-core", 2))
	})
}

// Two regions lose each other for so long that everybody has tried everybody on the
// other side in vain, and the platform is in one of them. A change made meanwhile
// can't reach the other, which goes on with what it has. The platform goes down just
// before they meet again. Everybody must have the change within 7 s.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 6)
		f.part(func(a netip.AddrPort) bool { return a.Addr().As4()[3]%2 == 1 })
		f.platform.set("tracing-core", 2)
		time.Sleep(8 * time.Minute)
		have, _ := f.have("tracing-core", 2)
		assert.Equal(t, have, 3)
		have, _ = f.have("tracing-core", 1)
		assert.Equal(t, have, 6)
		f.platform.setDown(true)
		f.heal()
		t.Logf("in force everywhere after %v", f.within(inForce, "tracing-core", 2))
	})
}

// Four of five entries die at one moment, while the platform's list still names them.
// Some of the others have lost every neighbour. A change a second later must
// reach them all in 7 s.
func TestManyFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 100)
		for n := range 80 {
			f.kill(f.processes[linkOf(n)])
		}
		time.Sleep(time.Second)
		_, err := f.processes[linkOf(90)].store.Offer("tracing-core", 2, []byte("tracing-core two"), "platform")
		assert.NilError(t, err)
		t.Logf("in force everywhere after %v", f.within(inForce, "tracing-core", 2))
	})
}

// The platform is restored from an old copy, and then an entry restarts whose seeds
// are all gone. It knows nothing, the platform gives it the old revision, and callers
// that come by it would be treated by a document that was replaced. The peers that
// the platform's list names know better.
func TestRestartWithStalePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 20)
		f.platform.set("tracing-core", 5)
		f.within(inForce, "tracing-core", 5)
		f.platform.set("tracing-core", 3)
		f.seeds = []netip.AddrPort{linkOf(999)}
		for n := range 20 {
			f.kill(f.processes[linkOf(n)])
			p := f.entry(n)
			<-p.store.Changed()
			assert.Equal(t, p.store.View().Documents["tracing-core"].Revision, order.Revision(5), "e%d", n)
			time.Sleep(5 * time.Second)
		}
	})
}

// A document with a slip in it is accepted by the platform. Everybody keeps the
// last good one, other documents go on being relayed, and an entry that restarts
// meanwhile gets the last good one from its peers, since the platform has it no more.
func TestFaultyDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 30)
		f.platform.texts["tracing-core2"] = "tracing-core faulty"
		f.platform.set("tracing-core", 2)
		f.platform.set("doc-intake", 1)
		f.within(inForce, "doc-intake", 1)
		p := f.entry(7)
		f.within(20*time.Second, "tracing-core", 1)
		time.Sleep(5 * time.Second)
		for _, q := range f.processes {
			assert.Equal(t, q.store.View().Documents["tracing-core"].Revision, order.Revision(1))
			assert.Equal(t, q.store.View().Faults["tracing-core"].Revision, order.Revision(2))
		}
		assert.Equal(t, p.Status().Faulty[0].InForce, order.Revision(1))
		f.platform.set("tracing-core", 3)
		f.within(inForce, "tracing-core", 3)
	})
}

// A whole failure domain restarts at once while the platform answers 2,000 calls
// a second for the fleet. With each of its entries reading all documents it would
// get tens of thousands. Peers in the other domains fill it instead.
func TestDomainRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for n := range 100 {
			f.platform.set(fmt.Sprint("service-", n), 1)
		}
		f.entries(42)
		for n := range 100 {
			f.within(2*time.Minute, fmt.Sprint("service-", n), 1)
		}
		time.Sleep(20 * time.Second)
		start := time.Now()
		for n := 0; n < 42; n += 7 {
			f.kill(f.processes[linkOf(n)])
		}
		for n := 0; n < 42; n += 7 {
			f.entry(n)
		}
		for n := range 100 {
			f.within(time.Minute, fmt.Sprint("service-", n), 1)
		}
		t.Logf("full after %v, %d calls in the busiest second", time.Since(start), f.platform.busiest(start))
		assert.Assert(t, f.platform.busiest(start) < 60)
	})
}

// The platform is down for long: after ten minutes the waits have reached their
// limits, as after an hour. When it comes back with a change, nobody may have
// forgotten to look, and not all may look at once.
func TestLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 28)
		start := time.Now()
		f.platform.setDown(true)
		time.Sleep(time.Minute)
		first := f.platform.busiest(start)
		start = time.Now()
		time.Sleep(9 * time.Minute)
		during := f.platform.busiest(start)
		f.platform.setDown(false)
		start = time.Now()
		f.platform.set("tracing-core", 2)
		took := f.within(20*time.Second, "tracing-core", 2)
		t.Logf("%d calls in the busiest second of the first minute, then %d, %d after it; in force after %v", first, during, f.platform.busiest(start), took)
		assert.Assert(t, first < 100 && during < 25 && f.platform.busiest(start) < 100)
	})
}

// All entries are gone, and one agent of a service has a change. No frame and no
// poll can bring it to the other agents; their heartbeats do.
func TestAgentsTellEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.platform.texts["tracing-core1"] = "tracing-core servers=7"
		f.platform.set("tracing-core", 1)
		f.entries(3)
		for n := range 7 {
			f.agent("tracing-core", n)
		}
		f.within(time.Minute, "tracing-core", 1)
		time.Sleep(10 * time.Second)
		f.platform.setDown(true)
		for n := range 3 {
			f.kill(f.processes[linkOf(n)])
		}
		one := f.processes[agentLink(3)]
		assert.Equal(t, len(one.PeerAgents()), 6)
		_, err := one.store.Offer("tracing-core", 2, []byte("tracing-core servers=7 two"), "platform")
		assert.NilError(t, err)
		t.Logf("in force everywhere after %v", f.within(inForce, "tracing-core", 2))
	})
}

// The platform's list says that an agent is to leave. It may not take new work for
// longer than 3 s, although nobody sends it packets and it reads no list itself.
func TestListSaysLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.platform.set("tracing-core", 1)
		f.entries(5)
		told := make(chan struct{}, 100)
		agent := f.begin(relay.Config{Self: f.agentMember(0), Service: "tracing-core", Server: "s0", Leave: func() { told <- struct{}{} }})
		f.listAgent(agent, "live")
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(told), 0)
		f.listAgent(agent, "leaving")
		time.Sleep(3 * time.Second)
		assert.Assert(t, len(told) > 0)
	})
}

// The platform comes back after two minutes, and a change is accepted at that moment. All who watch it waited for up to half a minute
// before they tried again, so that now and then nobody had read the change when it was to be in force.
func TestChangeAtTheReturnOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 4)
		for revision := range order.Revision(15) {
			f.platform.setDown(true)
			time.Sleep(2 * time.Minute)
			f.platform.setDown(false)
			f.platform.set("doc-intake", revision+1)
			f.within(inForce, "doc-intake", revision+1)
		}
	})
}

// A megabyte of text goes to all: plain text, as documents are, in time, and text
// that can't be made smaller within the budget of every process, in its own time.
func TestLargeDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 8)
		var plain strings.Builder
		for n := 0; plain.Len() < store.MaxText-100; n++ {
			fmt.Fprintf(&plain, "[server s%d]\nagent = 10.%d.%d.7:7000\n", n, n%250, n/250)
		}
		f.platform.setDown(true)
		_, err := f.processes[linkOf(7)].store.Offer("tracing-core", 2, []byte("tracing-core "+plain.String()), "platform")
		assert.NilError(t, err)
		t.Logf("plain text is in force after %v", f.within(inForce, "tracing-core", 2))
		time.Sleep(2 * time.Minute)
		f.platform.setDown(false)
		dense := make([]byte, store.MaxText-100)
		r := rand.NewChaCha8([32]byte{})
		_, _ = r.Read(dense)
		f.platform.texts["tracing-core3"] = "tracing-core " + string(dense)
		f.platform.set("tracing-core", 3)
		f.platform.set("doc-intake", 1)
		t.Logf("another document is in force after %v", f.within(inForce, "doc-intake", 1))
		f.mu.Lock()
		f.bytes = 0
		f.mu.Unlock()
		took := f.within(20*time.Minute, "tracing-core", 3)
		spent := float64(2*f.bytes) / 8 / took.Seconds() // each byte is sent by one and received by another
		t.Logf("dense text is in force after %v, %.0f bytes a second for each process", took, spent)
		assert.Assert(t, spent < budget.BytesPerSecond)
	})
}

// A process starts while a cut keeps it from everybody. What it believes is worth
// nothing, and it must say so until it has talked to somebody.
func TestFreshAfterFirstExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 3)
		f.platform.setDown(true)
		f.part(func(a netip.AddrPort) bool { return a == linkOf(0) })
		p := f.processes[linkOf(0)]
		f.kill(p)
		p = f.entry(0)
		f.mu.Lock()
		f.side[linkOf(0)] = 1
		f.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Assert(t, !p.Fresh())
		f.heal()
		time.Sleep(5 * time.Second)
		assert.Assert(t, p.Fresh())
	})
}
