// Package share decides at an agent whether its own server takes a new opaque flow or
// another agent is to look.
//
// The load pattern, and what goes wrong without it. Entries place a flow by what agents reported
// last, and with twenty entries before fifty servers such a report is a second old, while a
// request takes 40 ms. At nine tenths of capacity a server with two slots then often has four requests waiting
// while its neighbour is idle. The agent knows its own server's work exactly, at the moment at
// which the flow arrives.
//
// The rule: a server with a free slot takes the flow. Otherwise the opening packet goes on to
// another agent, a near one first and then others, picked at random since nobody's reports are fresher; after a few visits
// the least busy one that it has been at takes it. This is the choice of the best of several at
// random (Mitzenmacher, 2001), which stops at the first that is idle.
//
// It is pure: randomness is handed in.
//
// # Usage
//
//	choice := share.Next(own, visited, final, others, rand.IntN)
package share

import (
	"net/netip"

	"mangowinch/internal/flow/msgs"
)

// mostVisits is how many servers an opening packet is at. With a quarter of the servers idle,
// four visits find one in two of three cases; each costs half a millisecond.
const mostVisits = 4

// nearVisits is how many of them are in the own failure domain at most: when it is overloaded as a whole,
// because its callers are more than others', the rest finds a server elsewhere.
const nearVisits = 2

// full is the work, in hundredths of slots, from which a server has no free slot.
const full = 100

// Server is a server as an agent knows it.
type Server struct {
	Agent      netip.Addr
	Work       uint16 // hundredths of its slots; only of the own server
	SameDomain bool   // in the same failure domain
}

// Choice is who is to have the opening packet. If it is not the agent itself, it goes
// there with Visited and Final.
type Choice struct {
	Agent   netip.Addr
	Visited []msgs.Visit
	Final   bool // takes it, however busy
}

// Next decides about an opening packet that has been at the visited agents.
func Next(own Server, visited []msgs.Visit, final bool, others []Server, random func(int) int) Choice {
	if final || own.Work < full {
		return Choice{Agent: own.Agent}
	}
	visited = append(visited, msgs.Visit{Agent: own.Agent, Utilization: own.Work})
	if len(visited) < mostVisits {
		if agent, ok := another(visited, others, len(visited) < nearVisits, random); ok {
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

// another picks an agent that was not visited at random, if there is one a near one, or else a far one.
func another(visited []msgs.Visit, others []Server, near bool, random func(int) int) (agent netip.Addr, ok bool) {
	found, count := false, 0
	for _, s := range others {
		wanted := s.SameDomain == near
		if been(visited, s.Agent) || found && !wanted {
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

func been(visited []msgs.Visit, agent netip.Addr) bool {
	for _, v := range visited {
		if v.Agent == agent {
			return true
		}
	}
	return false
}
