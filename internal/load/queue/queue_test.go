package queue

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/conf/docs"
)

var funds = []docs.Caller{
	{Name: "fund-a", Weight: 1, Networks: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}},
	{Name: "fund-b", Weight: 2, Networks: []netip.Prefix{netip.MustParsePrefix("10.2.0.0/16")}},
}

func site(n int) Caller {
	return Identify(funds, netip.MustParseAddr(fmt.Sprintf("192.0.%d.7", n)))
}

func fill(q *Fair, c Caller, n int, cost float64) {
	for range n {
		q.Push(Item{ID: uint64(q.Len() + 1), Caller: c, Class: "claim", Cost: cost})
	}
}

// served counts whom the next n requests belong to.
func served(q *Fair, n int) map[Caller]int {
	counts := map[Caller]int{}
	for range n {
		i, _ := q.Pop()
		counts[i.Caller]++
	}
	return counts
}

func TestIdentify(t *testing.T) {
	for source, want := range map[string]string{
		"10.1.2.3": "fund-a", "::ffff:10.2.0.1": "fund-b", "192.0.2.200": "192.0.2.0/24", "2001:db8:1:2::3": "2001:db8:1::/48",
	} {
		assert.Equal(t, Identify(funds, netip.MustParseAddr(source)).String(), want)
	}
}

func TestWeightsShareSlotTime(t *testing.T) {
	q := New(funds)
	fill(q, Caller{Name: "fund-a"}, 100, 1)
	fill(q, Caller{Name: "fund-b"}, 100, 1)
	got := served(q, 90)
	assert.Equal(t, got[Caller{Name: "fund-a"}], 30)
	assert.Equal(t, got[Caller{Name: "fund-b"}], 60)
}

// A fund whose requests take four times as long gets as much of the servers'
// time as its weight says, not as many requests: otherwise long requests would
// be a way to more than one's share.
func TestLongRequestsPayForTheirLength(t *testing.T) {
	q := New([]docs.Caller{{Name: "long", Weight: 1}, {Name: "short", Weight: 1}})
	fill(q, Caller{Name: "long"}, 100, 4)
	fill(q, Caller{Name: "short"}, 100, 1)
	got := served(q, 50)
	assert.Equal(t, got[Caller{Name: "short"}], 40)
}

// An unnamed sender takes fifty networks to get fifty shares. The named fund
// still gets its own share; only other unnamed callers are delayed.
func TestManyNetworksGainNothingFromNamedCallers(t *testing.T) {
	q := New(funds)
	for n := range 50 {
		fill(q, site(n), 4, 1)
	}
	fill(q, Caller{Name: "fund-a"}, 100, 1)
	assert.Equal(t, served(q, 100)[Caller{Name: "fund-a"}], 50)
}

// One fund, or a crowd of unnamed networks, sends without end. It never takes the
// last place: a caller with nothing waiting is let in.
func TestNobodyFillsTheQueue(t *testing.T) {
	q := New(funds)
	const limit = 32
	push := func(c Caller) (n int) {
		for ; q.HasRoom("claim", c, limit) && n < 2*limit; n++ {
			fill(q, c, 1, 1)
		}
		return n
	}
	assert.Equal(t, push(Caller{Name: "fund-a"}), 14) // weight 1 of a mean of 4/3: 14 waiting, 18 free
	crowd := 0
	for n := range 100 {
		crowd += push(site(n))
	}
	assert.Assert(t, crowd <= 8, crowd)
	assert.Assert(t, push(Caller{Name: "fund-b"}) >= 5)
	assert.Assert(t, q.Len() < limit)
}

// A caller that used the service alone for long owes nothing when others come.
func TestIdleCapacityIsFree(t *testing.T) {
	q := New([]docs.Caller{{Name: "early", Weight: 1}, {Name: "late", Weight: 1}})
	for range 1000 {
		q.Charge(Caller{Name: "early"}, 1)
	}
	fill(q, Caller{Name: "early"}, 10, 1)
	fill(q, Caller{Name: "late"}, 10, 1)
	got := served(q, 10)
	assert.Assert(t, got[Caller{Name: "early"}] >= 4, got)
}

// Whatever comes and goes: a caller's own requests leave in their order, none
// is lost or doubled, and callers without waiting requests are forgotten.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(funds)
		callers := []Caller{{Name: "fund-a"}, {Name: "fund-b"}, {Name: "gone"}, site(1), site(2), site(3)}
		waiting, last, id := map[uint64]bool{}, map[Caller]uint64{}, uint64(0)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				id++
				waiting[id] = true
				q.Push(Item{ID: id, Caller: rapid.SampledFrom(callers).Draw(t, "caller"), Cost: rapid.Float64Range(0, 5).Draw(t, "cost")})
			case 2:
				if i, ok := q.Pop(); ok {
					assert.Assert(t, waiting[i.ID] && i.ID > last[i.Caller])
					delete(waiting, i.ID)
					last[i.Caller] = i.ID
				}
			case 3:
				i, ok := q.Remove(rapid.Uint64Range(0, id).Draw(t, "id"))
				assert.Equal(t, ok, waiting[i.ID])
				delete(waiting, i.ID)
			}
			assert.Equal(t, q.Len(), len(waiting))
			assert.Assert(t, len(q.flows) <= 4)
		}
		assert.Equal(t, len(q.Clear()), len(waiting))
	})
}

// A sender comes from a new network with each request while the queue never runs
// dry: what is remembered of it stays bounded.
func TestMemoryIsBounded(t *testing.T) {
	q := New(funds)
	fill(q, site(0), 2, 1)
	for n := range 5000 {
		c := Caller{Network: netip.PrefixFrom(netip.AddrFrom4([4]byte{20, byte(n >> 8), byte(n), 0}), siteBits4)}
		fill(q, c, 1, 1)
		q.Pop()
	}
	assert.Assert(t, len(q.flows[0].members) <= maxOwing+2)
}
