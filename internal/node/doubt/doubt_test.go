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

// silence answers nothing.
type silence struct{}

// Probe is part of Voucher.
func (silence) Probe(netip.Addr, []netip.Addr, uint32) {}

func newWatch() (w *Monitor, agents []netip.Addr) {
	for i := range 6 {
		agents = append(agents, addr(i))
	}
	return New(observer, silence{}, rand.New(rand.NewPCG(1, 1))), agents
}

func nobody(netip.Addr) bool { return false }

// Guards against an observer that nobody hears and that takes others for lost.
func TestObserverThatNobodyHearsLosesNobody(t *testing.T) {
	for _, heard := range []bool{true, false} {
		w := newWorld(6, 1)
		w.gone[addr(1)] = true
		if !heard {
			w.out.loss = 1
		}
		w.press(2 * time.Second)
		assert.Equal(t, w.watch.Failed(addr(1)), heard)
		assert.Equal(t, len(w.lost) > 0, heard)
	}
}

// Guards against two processes that keep telling each other that an agent is lost which neither watches any more.
func TestWordThatIsPassedOnGrowsOld(t *testing.T) {
	one, agents := newWatch()
	two, _ := newWatch()
	one.LearnFailed(now, []msgs.FailedAgent{{Agent: addr(1), Age: 400}})
	assert.Assert(t, one.Failed(addr(1)))
	at := now
	for range 40 {
		at = at.Add(100 * time.Millisecond)
		one.Tick(at, agents, nobody)
		two.Tick(at, agents, nobody)
		two.LearnFailed(at, one.FailuresFor(at, addr(2)))
		one.LearnFailed(at, two.FailuresFor(at, addr(3)))
		if at.Sub(now) > toldFor {
			assert.Assert(t, !one.Failed(addr(1)) && !two.Failed(addr(1)))
		}
	}
}

// Guards against an agent that is back and is taken for lost by an older word.
func TestAgentThatWasHeardIsNotLostByAnOlderWord(t *testing.T) {
	w, _ := newWatch()
	w.LearnFailed(now, []msgs.FailedAgent{{Agent: addr(1)}})
	assert.Assert(t, w.MarkAlive(now.Add(tick), addr(1)), "it was lost")
	w.LearnFailed(now.Add(2*tick), []msgs.FailedAgent{{Agent: addr(1), Age: 200}})
	assert.Assert(t, !w.Failed(addr(1)))
	w.SuspectUnlessSeen(now.Add(2*tick), addr(1))
	assert.Assert(t, !w.Suspected(addr(1)), "it was heard just now")
}
