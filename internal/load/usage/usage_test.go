package usage

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/queue"
)

var start = time.Unix(1_700_000_000, 0)

// site returns a caller without a name.
func site(n int) queue.Caller {
	return queue.Caller{Network: netip.PrefixFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 32)}
}

// Guards against a level for a caller that has asked for little, and one that stays for long after a burst.
func TestLevelRisesAndIsForgotten(t *testing.T) {
	c := New(8)
	assert.Equal(t, c.Level(start, site(1), 1), uint8(0), "a caller that was never counted")
	levels := []uint8{}
	for i := range 10 {
		now := start.Add(time.Duration(i) * meanInterval / 1000)
		c.Add(now, site(1), 1)
		c.mean = 0 // computed again
		levels = append(levels, c.Level(now, site(1), 1))
	}
	assert.DeepEqual(t, levels, []uint8{0, 0, 0, 0, 1, 1, 1, 1, 2, 2})
	c.Add(start, site(1), 420)
	assert.Equal(t, c.Level(start.Add(meanInterval), site(1), 1), uint8(12))
	assert.Equal(t, c.Level(start.Add(decayTime), site(1), 1), uint8(9))
	assert.Equal(t, c.Level(start.Add(6*decayTime), site(1), 1), uint8(0))
	c.Add(start, site(1), 1e30)
	assert.Equal(t, c.Level(start.Add(7*decayTime), site(1), 1), uint8(MaxLevel))
}

// Guards against a caller that pays for its weight, and against entries that rank one caller differently
// because they see different parts of its flows.
func TestLevelIsPerWeightAndPartSeen(t *testing.T) {
	c, half := New(8), New(8)
	half.SetScale(0.5)
	c.Add(start, site(1), 40)
	half.Add(start, site(1), 80)
	assert.Equal(t, c.Level(start, site(1), 1), uint8(5))
	assert.Equal(t, c.Level(start, site(1), 4), uint8(2))
	assert.Equal(t, half.Level(start, site(1), 1), c.Level(start, site(1), 1))
}

// Guards against callers of a failure domain in a burst that rank with those of others because each is seen
// seldom, and against levels by chance where all are seen alike. Within an entry, a higher count is never ranked lower.
func TestEstimateUsesTheMeanOfTheOthers(t *testing.T) {
	calm, burst := New(100), New(100)
	for i := range 50 {
		calm.Add(start, site(i), 1)
		burst.Add(start, site(i), 8)
	}
	calm.Add(start, site(60), 4)
	burst.Add(start, site(60), 4)
	assert.Equal(t, calm.Level(start, site(60), 1), uint8(0))
	assert.Equal(t, burst.Level(start, site(60), 1), uint8(1))
	assert.Equal(t, burst.Level(start, site(61), 1), uint8(0), "a caller that was never counted")
	assert.Equal(t, burst.Level(start, site(1), 1), uint8(1))
}

// Guards against a list for operators that lacks the heaviest callers, or isn't in order.
func TestHeaviest(t *testing.T) {
	c := New(8)
	for i := range 5 {
		c.Add(start, site(i), float64(i+1))
	}
	list := c.Heaviest(start, 2)
	assert.Equal(t, len(list), 2)
	assert.Assert(t, list[0].Caller == site(4) && list[1].Caller == site(3))
	assert.Equal(t, len(c.Heaviest(start, 20)), 5)
}

// Guards against a caller that gets the weight of another one, and against a site prefix that isn't followed.
func TestCallersAreIdentified(t *testing.T) {
	c := Callers{Named: []docs.Caller{{Name: "bureau", Networks: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}, Weight: 4}}, SiteBits: 32}
	named := c.Identify(netip.MustParseAddr("10.9.7.1"))
	assert.Equal(t, named.String(), "bureau")
	assert.Equal(t, c.Weight(named), 4.0)
	other := c.Identify(netip.MustParseAddr("10.8.7.1"))
	assert.Equal(t, other.String(), "10.8.7.1/32")
	assert.Equal(t, c.Weight(other), 1.0)
	c.SiteBits = 24
	assert.Equal(t, c.Identify(netip.MustParseAddr("10.8.7.1")), c.Identify(netip.MustParseAddr("10.8.7.200")))
}

// Guards against memory that grows with the number of callers, a use that is overestimated, and one whose
// error exceeds the bound of space-saving: all that was added divided by the number of counts.
func TestErrorIsBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const limit = 4
		c, now := New(limit), start
		want, total := map[queue.Caller]float64{}, 0.0
		decay := func(by time.Duration) {
			now = now.Add(by)
			factor := exp(-by)
			total *= factor
			for k := range want {
				want[k] *= factor
			}
		}
		for range rapid.IntRange(0, 60).Draw(r, "events") {
			decay(time.Duration(rapid.IntRange(0, 20_000).Draw(r, "pause")) * time.Millisecond)
			k := site(rapid.IntRange(0, 12).Draw(r, "caller"))
			cost := float64(rapid.IntRange(1, 30).Draw(r, "cost"))
			c.Add(now, k, cost)
			want[k] += cost
			total += cost
		}
		assert.Assert(r, c.Len() <= limit)
		for k, use := range want {
			got := c.use(now, k)
			assert.Assert(r, got <= use+1e-6, "%v of %v", got, use)
			assert.Assert(r, got >= use-total/limit-1e-6, "%v of %v, in all %v", got, use, total)
		}
	})
}

// Guards against clocks that step back.
func TestNoOrderOfEventsGivesNegativeUse(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := New(3)
		for range rapid.IntRange(0, 60).Draw(r, "events") {
			now := start.Add(time.Duration(rapid.IntRange(0, 600_000).Draw(r, "at")) * time.Millisecond)
			c.Add(now, site(rapid.IntRange(0, 6).Draw(r, "caller")), float64(rapid.IntRange(0, 3).Draw(r, "cost")))
			for i, k := range c.heap {
				assert.Assert(r, k.index == i && k.upper >= k.excess && k.excess >= 0 && c.callers[k.caller] == k)
			}
			assert.Equal(r, len(c.callers), len(c.heap))
		}
	})
}
