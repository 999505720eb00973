// Package share decides, at an agent, whether the agent's own server takes a new opaque flow or the
// opening packet is offered to another agent.
//
// Entries place flows by the last reports of agents. With twenty entries and fifty servers a report is
// about a second old, while a request takes 40 ms. At 90% of capacity a server with two slots often has
// four requests queued while another server is idle. The agent knows the exact load of its own server at
// the moment the flow arrives.
//
// A server with a free slot takes the flow, unless the server is so slow that the caller's target would be missed
// there and not at a server of usual speed. Otherwise the opening packet is offered to another agent, first
// in the same failure domain and then elsewhere, selected at random because no agent has more recent reports
// than another. After a few visits the least busy of the visited servers takes the flow. This is the power
// of several random choices (Mitzenmacher, 2001), ended early at the first server with a free slot. A server that is
// too slow counts as busier by its service time, over a reference that follows from the route's target, because
// agents do not know each other's service times. Otherwise servers are compared by their requests: weighed by
// service time, fast servers would collect long queues, which cannot move on when another server becomes free.
//
// Package share performs no I/O: the caller passes in the source of randomness.
//
// # Usage
//
//	choice := share.Next(own, visited, final, others, rand.IntN)
package share

import (
	"math"
	"net/netip"
	"time"

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

// referencePart is the part of a route's target that stands for the service time of a usual server, which agents do
// not know: a fifth of the target.
const referencePart = 5

// Server is a server as seen by an agent. The fields after SameDomain are set only for the own server.
type Server struct {
	Agent       netip.Addr
	SameDomain  bool          // in the failure domain of the own server
	Utilization uint16        // requests in hundredths of the server's slots
	Service     time.Duration // expected time of a request of the flow; 0: unknown
	Target      time.Duration // target latency of the flow's requests; 0: none
	Age         time.Duration // of the flow
	Due         bool          // a slow server needs a flow to show whether it is still slow
}

// slow reports whether a flow misses its target at the server even if a slot is free, but not at a usual server.
func (s *Server) slow() bool {
	return s.Target > 0 && s.Age+s.Service > s.Target && s.Age+s.Target/referencePart <= s.Target
}

// cost returns the utilization as in msgs.Visit. That of a slow server is weighed by its service time, and a request
// there takes as long with free slots as if the server were just full.
func (s *Server) cost() uint16 {
	if !s.slow() {
		return s.Utilization
	}
	busy := float64(max(s.Utilization, fullUtilization))
	return uint16(min(busy*float64(s.Service)*referencePart/float64(s.Target), math.MaxUint16))
}

// Choice is the agent that receives the opening packet. If it is another agent, the packet is sent there
// with Visited and Final.
type Choice struct {
	Agent   netip.Addr
	Visited []msgs.Visit
	Final   bool // the agent takes the flow regardless of its load
	Slow    bool // the own server has a free slot and is too slow
}

// Next decides which agent receives an opening packet that has been offered to the visited agents.
func Next(own Server, visited []msgs.Visit, final bool, others []Server, random func(int) int) Choice {
	free := own.Utilization < fullUtilization
	if final || free && (own.Due || !own.slow()) {
		return Choice{Agent: own.Agent}
	}
	visited = append(visited, msgs.Visit{Agent: own.Agent, Utilization: own.cost()})
	if len(visited) < maxVisits {
		if agent, ok := pickUnvisited(visited, others, len(visited) < maxLocalVisits, random); ok {
			return Choice{Agent: agent, Visited: visited, Slow: free}
		}
	}
	best := visited[0]
	for _, v := range visited[1:] {
		if v.Utilization < best.Utilization {
			best = v
		}
	}
	return Choice{Agent: best.Agent, Visited: visited, Final: true, Slow: free}
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
