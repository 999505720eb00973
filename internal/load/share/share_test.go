package share

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
)

func agent(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}) }

// addrs lets addresses be compared.
var addrs = cmp.Comparer(func(a, b netip.Addr) bool { return a == b })

func first(int) int { return 0 }

func TestServerWithAFreeSlotTakesTheFlow(t *testing.T) {
	got := Next(Server{Agent: agent(1), Work: 50}, nil, false, []Server{{Agent: agent(2)}}, first)
	assert.Equal(t, got.Agent, agent(1))
}

// Callers of one failure domain are more than its servers can take. A flow must not be passed on only within it.
func TestFlowLeavesAnOverloadedDomain(t *testing.T) {
	others := []Server{{Agent: agent(2), SameDomain: true}, {Agent: agent(3), SameDomain: true}, {Agent: agent(4)}}
	visited := []msgs.Visit{{Agent: agent(2), Utilization: 300}}
	got := Next(Server{Agent: agent(1), Work: 150}, visited, false, others, first)
	assert.Equal(t, got.Agent, agent(4))
}

func TestBusyServerPassesTheFlowOnNearFirst(t *testing.T) {
	others := []Server{{Agent: agent(2)}, {Agent: agent(3), SameDomain: true}, {Agent: agent(4)}}
	got := Next(Server{Agent: agent(1), Work: 150}, nil, false, others, first)
	assert.Equal(t, got.Agent, agent(3))
	assert.DeepEqual(t, got.Visited, []msgs.Visit{{Agent: agent(1), Utilization: 150}}, addrs)
	assert.Assert(t, !got.Final)
}

// All servers are busy. The packet must not go round for ever, and the least busy one takes it.
func TestLeastBusyOfTheVisitedTakesTheFlow(t *testing.T) {
	visited := []msgs.Visit{{Agent: agent(1), Utilization: 300}, {Agent: agent(2), Utilization: 200}, {Agent: agent(3), Utilization: 400}}
	got := Next(Server{Agent: agent(4), Work: 250}, visited, false, []Server{{Agent: agent(5)}}, first)
	assert.Equal(t, got.Agent, agent(2))
	assert.Assert(t, got.Final)
	assert.Equal(t, Next(Server{Agent: agent(2), Work: 900}, got.Visited, true, nil, first).Agent, agent(2))
}

// Forty-five servers of two slots at 88% of capacity, entries that know nothing: compared in the same run are
// a random server, and the best that visits find. What callers get is how much waits before them.
func TestVisitsFindFreeSlots(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const servers, flows = 45, 20_000
	blind, visits := 0, 0
	for range flows {
		work := make([]uint16, servers)
		for i := range work {
			work[i] = uint16(random.IntN(5) * 50) // 0 to 4 requests in two slots, 3 in 5 without a free one
		}
		at := random.IntN(servers)
		blind += int(work[at])
		visits += int(work[walk(at, work, random)])
	}
	t.Logf("work before a flow, in hundredths of slots: random %d, visits %d", blind/flows, visits/flows)
	assert.Assert(t, visits < blind*2/5)
}

// walk passes a flow on until a server takes it.
func walk(at int, work []uint16, random *rand.Rand) int {
	var visited []msgs.Visit
	final := false
	for {
		var others []Server
		for i := range work {
			if i != at {
				others = append(others, Server{Agent: agent(i)})
			}
		}
		c := Next(Server{Agent: agent(at), Work: work[at]}, visited, final, others, random.IntN)
		if c.Agent == agent(at) {
			return at
		}
		at, visited, final = int(c.Agent.As4()[3]), c.Visited, c.Final
	}
}
