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

// addrs compares addresses in DeepEqual.
var addrs = cmp.Comparer(func(a, b netip.Addr) bool { return a == b })

func pickFirst(int) int { return 0 }

func TestServerWithAFreeSlotTakesTheFlow(t *testing.T) {
	got := Next(Server{Agent: agent(1), Utilization: 50}, nil, false, []Server{{Agent: agent(2)}}, pickFirst)
	assert.Equal(t, got.Agent, agent(1))
}

// Guards against offering a flow only within a failure domain whose callers exceed the capacity of its
// servers.
func TestFlowLeavesAnOverloadedDomain(t *testing.T) {
	others := []Server{{Agent: agent(2), SameDomain: true}, {Agent: agent(3), SameDomain: true}, {Agent: agent(4)}}
	visited := []msgs.Visit{{Agent: agent(2), Utilization: 300}}
	got := Next(Server{Agent: agent(1), Utilization: 150}, visited, false, others, pickFirst)
	assert.Equal(t, got.Agent, agent(4))
}

func TestBusyServerOffersTheFlowLocallyFirst(t *testing.T) {
	others := []Server{{Agent: agent(2)}, {Agent: agent(3), SameDomain: true}, {Agent: agent(4)}}
	got := Next(Server{Agent: agent(1), Utilization: 150}, nil, false, others, pickFirst)
	assert.Equal(t, got.Agent, agent(3))
	assert.DeepEqual(t, got.Visited, []msgs.Visit{{Agent: agent(1), Utilization: 150}}, addrs)
	assert.Assert(t, !got.Final)
}

// Guards against an opening packet that is forwarded forever if all servers are busy: the least busy of
// the visited servers takes it.
func TestLeastBusyOfTheVisitedTakesTheFlow(t *testing.T) {
	visited := []msgs.Visit{{Agent: agent(1), Utilization: 300}, {Agent: agent(2), Utilization: 200}, {Agent: agent(3), Utilization: 400}}
	got := Next(Server{Agent: agent(4), Utilization: 250}, visited, false, []Server{{Agent: agent(5)}}, pickFirst)
	assert.Equal(t, got.Agent, agent(2))
	assert.Assert(t, got.Final)
	assert.Equal(t, Next(Server{Agent: agent(2), Utilization: 900}, got.Visited, true, nil, pickFirst).Agent, agent(2))
}

// Offering a flow finds a less busy server than random placement does, with 45 servers of two slots at
// 88% of capacity and entries without reports. Both are compared on the same loads, by the work that is
// ahead of a flow.
func TestVisitsFindFreeSlots(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const servers, flows = 45, 20_000
	randomWork, visitWork := 0, 0
	for range flows {
		work := make([]uint16, servers)
		for i := range work {
			work[i] = uint16(random.IntN(5) * 50) // 0 to 4 requests in two slots; 3 of 5 values leave none free
		}
		at := random.IntN(servers)
		randomWork += int(work[at])
		visitWork += int(work[forward(at, work, random)])
	}
	t.Logf("work before a flow, in hundredths of slots: random %d, offered %d", randomWork/flows, visitWork/flows)
	assert.Assert(t, visitWork < randomWork*2/5)
}

// forward offers a flow from agent to agent until a server takes it, and returns that server.
func forward(at int, work []uint16, random *rand.Rand) int {
	var visited []msgs.Visit
	final := false
	for {
		var others []Server
		for i := range work {
			if i != at {
				others = append(others, Server{Agent: agent(i)})
			}
		}
		c := Next(Server{Agent: agent(at), Utilization: work[at]}, visited, final, others, random.IntN)
		if c.Agent == agent(at) {
			return at
		}
		at, visited, final = int(c.Agent.As4()[3]), c.Visited, c.Final
	}
}
