// Package share decides, at an agent, whether the agent's own server takes a new opaque flow or the
// opening packet is offered to another agent.
//
// Entries place flows by the last reports of agents. With twenty entries and fifty servers a report is
// about a second old, while a request takes 40 ms. At 90% of capacity a server with two slots often has
// four requests queued while another server is idle. The agent knows the exact load of its own server at
// the moment the flow arrives.
//
// A server with a free slot takes the flow. Otherwise the opening packet is offered to another agent, first
// in the same failure domain and then elsewhere, selected at random because no agent has more recent reports
// than another. After a few visits the least busy of the visited servers takes the flow. This is the power
// of several random choices (Mitzenmacher, 2001), ended early at the first server with a free slot.
//
// Package share performs no I/O: the caller passes in the source of randomness.
//
// # Usage
//
//	choice := share.Next(own, visited, final, others, rand.IntN)
package share

import (
	"net/netip"

	"mangowinch/internal/flow/msgs"
)

// maxVisits is the number of servers an opening packet may visit. If a quarter of the servers have a free
// slot, four visits find one in two of three cases. Each visit takes half a millisecond.
const maxVisits = 4

// maxLocalVisits is the number of those visits made within the own failure domain. If the whole domain is
// overloaded because it has more callers than others, the remaining visits find a server elsewhere.
const maxLocalVisits = 2

// fullUtilization is the utilization, in hundredths of the server's slots, from which a server has no free slot.
const fullUtilization = 100

// Server is a server as seen by an agent.
type Server struct {
	Agent       netip.Addr
	Utilization uint16 // as in msgs.Visit; set only for the own server
	SameDomain  bool   // in the failure domain of the own server
}

// Choice is the agent that receives the opening packet. If it is another agent, the packet is sent there
// with Visited and Final.
type Choice struct {
	Agent   netip.Addr
	Visited []msgs.Visit
	Final   bool // the agent takes the flow regardless of its load
}

// Next decides which agent receives an opening packet that has been offered to the visited agents.
func Next(own Server, visited []msgs.Visit, final bool, others []Server, random func(int) int) Choice {
	if final || own.Utilization < fullUtilization {
		return Choice{Agent: own.Agent}
	}
	visited = append(visited, msgs.Visit{Agent: own.Agent, Utilization: own.Utilization})
	if len(visited) < maxVisits {
		if agent, ok := pickUnvisited(visited, others, len(visited) < maxLocalVisits, random); ok {
			return Choice{Agent: agent, Visited: visited}
		}
	}
	best := visited[0]
	for _, v := range visited[1:] {
		if v.Utilization < best.Utilization {
			best = v
		}
	}
	return Choice{Agent: best.Agent, Visited: visited, Final: true}
}

// pickUnvisited picks at random an agent that was not visited. It prefers agents of the own domain if
// sameDomain is set and agents of other domains otherwise, and falls back to the rest.
func pickUnvisited(visited []msgs.Visit, others []Server, sameDomain bool, random func(int) int) (agent netip.Addr, ok bool) {
	found, count := false, 0
	for _, s := range others {
		wanted := s.SameDomain == sameDomain
		if wasVisited(visited, s.Agent) || found && !wanted {
			continue
		}
		if wanted && !found {
			found, count = true, 0
		}
		count++
		if random(count) == 0 {
			agent, ok = s.Agent, true
		}
	}
	return agent, ok
}

func wasVisited(visited []msgs.Visit, agent netip.Addr) bool {
	for _, v := range visited {
		if v.Agent == agent {
			return true
		}
	}
	return false
}
