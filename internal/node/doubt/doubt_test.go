package doubt

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
)

var now = time.Unix(1_700_000_000, 0)

const tick = 50 * time.Millisecond

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}) }

// nullProber sends no probes, so that nothing is ever answered.
type nullProber struct{}

// Probe implements Prober.
func (nullProber) Probe(netip.Addr, []netip.Addr, uint32) {}

func newMonitor() (w *Monitor, agents []netip.Addr) {
	for i := range 6 {
		agents = append(agents, addr(i))
	}
	return New(observer, nullProber{}, rand.New(rand.NewPCG(1, 1))), agents
}

func noneExempt(netip.Addr) bool { return false }

// Guards against an observer that takes other agents for failed when none of its own packets arrive.
func TestObserverWhosePacketsAreLostFailsNoAgent(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		w := newSimulation(6, 1)
		w.down[addr(1)] = true
		if !reachable {
			w.out.loss = 1
		}
		w.suspectFor(2 * time.Second)
		assert.Equal(t, w.monitor.Failed(addr(1)), reachable)
		assert.Equal(t, len(w.failed) > 0, reachable)
	}
}

// Guards against two processes that keep reporting to each other that an agent has failed although neither
// probes it any more.
func TestReportsExpireWhenPassedOn(t *testing.T) {
	one, agents := newMonitor()
	two, _ := newMonitor()
	one.LearnFailed(now, []msgs.FailedAgent{{Agent: addr(1), Age: 400}})
	assert.Assert(t, one.Failed(addr(1)))
	at := now
	for range 40 {
		at = at.Add(100 * time.Millisecond)
		one.Tick(at, agents, noneExempt)
		two.Tick(at, agents, noneExempt)
		two.LearnFailed(at, one.FailuresFor(at, addr(2)))
		one.LearnFailed(at, two.FailuresFor(at, addr(3)))
		if at.Sub(now) > reportTTL {
			assert.Assert(t, !one.Failed(addr(1)) && !two.Failed(addr(1)))
		}
	}
}

// Guards against an older report that makes an agent count as failed although it is back.
func TestOlderReportDoesNotFailALiveAgent(t *testing.T) {
	w, _ := newMonitor()
	w.LearnFailed(now, []msgs.FailedAgent{{Agent: addr(1)}})
	assert.Assert(t, w.MarkAlive(now.Add(tick), addr(1)), "the agent had failed")
	w.LearnFailed(now.Add(2*tick), []msgs.FailedAgent{{Agent: addr(1), Age: 200}})
	assert.Assert(t, !w.Failed(addr(1)))
	w.SuspectUnlessSeen(now.Add(2*tick), addr(1))
	assert.Assert(t, !w.Suspected(addr(1)), "something was received from the agent just now")
}
