package homes

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/segs"
)

func agents(n int) (list []netip.Addr) {
	for i := range n {
		list = append(list, netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}))
	}
	return list
}

func flow(n int) segs.Flow {
	return segs.Flow{Caller: [4]byte{100, 64, byte(n >> 8), byte(n)}, CallerPort: 1025, Service: [4]byte{198, 18, 0, 1}, Port: 443}
}

// When an agent is removed, only its flows may change their home. Otherwise all owners would register their
// flows again.
func TestOnlyFlowsOfARemovedAgentMove(t *testing.T) {
	all := agents(20)
	before, after := New(all), New(all[1:])
	moved := 0
	for i := range 2000 {
		b, _ := before.Of(flow(i))
		a, _ := after.Of(flow(i))
		if b == a {
			continue
		}
		moved++
		assert.Equal(t, b, all[0])
		next, _ := before.Except(flow(i), func(a netip.Addr) bool { return a == all[0] })
		assert.Equal(t, next, a)
	}
	assert.Assert(t, moved > 60 && moved < 140, moved)
}

func TestEmptyListHasNoHome(t *testing.T) {
	_, ok := New(nil).Of(flow(1))
	assert.Assert(t, !ok)
}

// In a small fleet each home is its own lead. In a large one homes share a few leads, so that lookups share
// rounds, and each home has replacements for a lead that does not answer.
func TestHomesOfALargeFleetShareLeads(t *testing.T) {
	small := New(agents(maxSelfLed))
	for _, home := range small.Agents() {
		for rank := range 3 {
			lead, ok := small.Lead(home, rank)
			assert.Assert(t, ok && lead == home)
		}
	}

	large := New(agents(2 * homesPerLead))
	first := map[netip.Addr]int{}
	for _, home := range large.Agents() {
		ranks := map[netip.Addr]bool{}
		for rank := range 3 {
			lead, ok := large.Lead(home, rank)
			assert.Assert(t, ok)
			ranks[lead] = true
		}
		assert.Equal(t, len(ranks), 3, "each rank must be a different agent")
		lead, _ := large.Lead(home, 0)
		first[lead]++
	}
	assert.Equal(t, len(first), 2)
	_, ok := New(nil).Lead(netip.MustParseAddr("10.0.0.1"), 0)
	assert.Assert(t, !ok)
}
