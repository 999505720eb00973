package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/order"
)

// Guards against changes that are ignored because the platform's store was restored from a backup and assigned their
// revision numbers a second time.
func TestChangesAfterThePlatformCameBackFromACopyAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, 8, func(int) Source { return p })
		time.Sleep(5 * time.Second)
		for range 6 {
			p.change()
			time.Sleep(2 * time.Second)
		}
		f.waitForVersion(t, 7)
		p.set(func() { p.unresponsive = true })
		time.Sleep(2 * time.Second)
		p.restore(4)
		p.set(func() { p.unresponsive = false })
		time.Sleep(4 * time.Second)
		for range 4 { // from below the last known revision number to above it
			f.waitForVersion(t, p.change())
		}
	})
}

// Guards against a belief that counts as fresh because of responses that were discarded as outdated.
func TestOutdatedAnswerConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		f := start(t, 4, func(int) Source { return p })
		for range 5 {
			p.change()
			time.Sleep(time.Second)
		}
		p.setState(func(s state) state { return state{s.at - 3, s.version - 3} }) // in the same era
		time.Sleep(10 * time.Second)
		for a, n := range f.nodes {
			age, _ := n.Age(time.Now())
			assert.Assert(t, age > 9*time.Second, "%s is %s old", a, age)
			assert.Equal(t, n.Log.View().Version(), int64(6))
		}
	})
}

// Guards against a belief that counts as confirmed by a response of the previous era, which was in transit while a peer
// sent a change of the next era.
func TestAnswerOfAnEarlierEraConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 1, func(int) Source { return newPlatform() })
		n := f.nodes[addr(0)]
		time.Sleep(time.Second)
		n.HandleChange(time.Now(), addr(1), belief.Change{To: order.At(1, 1), Full: true, Items: []belief.Item{state{order.At(1, 1), 2}.item()}})
		before, _ := n.Age(time.Now())
		time.Sleep(5 * time.Millisecond)
		n.handleResponse(time.Now(), belief.Change{From: 1, To: 1})
		after, _ := n.Age(time.Now())
		assert.Equal(t, after, before+5*time.Millisecond)
		assert.Equal(t, n.Log.View().Version(), int64(2))
	})
}
