// Package homes says which agent keeps the place of a flow.
//
// Any entry may get any packet, and entries remember only what they have seen. So for each
// flow one agent is its home: the owner (the agent beside the server that holds the flow) registers
// there, and an entry that doesn't know the flow sends its packet there. The home follows
// from the flow and the list of agents alone (rendezvous hashing: Thaler and
// Ravishankar, 1998), so nobody has to be told, and when an agent comes or goes only the flows
// of that agent get another home.
//
// The package knows nothing of what a home remembers (package owner).
//
// # Usage
//
//	list := homes.New(agents)
//	home, ok := list.Of(flow)
package homes

import (
	"net/netip"
	"slices"

	"mangowinch/internal/flow/segs"
)

// List is a set of agents. It is immutable.
type List struct {
	agents []netip.Addr
	seeds  []uint64
}

// New returns the list of the given agents; order and repeats don't matter.
func New(agents []netip.Addr) *List {
	l := &List{agents: slices.Clone(agents)}
	slices.SortFunc(l.agents, netip.Addr.Compare)
	l.agents = slices.Compact(l.agents)
	for _, a := range l.agents {
		l.seeds = append(l.seeds, seed(a))
	}
	return l
}

// seed is an agent's number.
func seed(a netip.Addr) uint64 {
	b := a.As4()
	return mix(uint64(b[0])<<24 | uint64(b[1])<<16 | uint64(b[2])<<8 | uint64(b[3]))
}

// mix spreads the bits of x (the finalizer of MurmurHash3, by Appleby).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Agents returns all agents, sorted. The caller doesn't change it.
func (l *List) Agents() []netip.Addr { return l.agents }

// Of returns the home of a flow; ok is false if there is no agent.
func (l *List) Of(f segs.Flow) (home netip.Addr, ok bool) {
	return l.Except(f, func(netip.Addr) bool { return false })
}

const (
	// alone is up to how many agents each home leads its own searches: a round then costs little, and a lead would be
	// one more process that may be away.
	alone = 32
	// ofLead is how many homes share a lead. More share more rounds; fewer spread the work.
	ofLead = 256
)

// Lead returns the agent that looks for flows on behalf of a home, or with a higher rank the one that does so if those
// before it don't answer. All homes of a small fleet are their own leads; ok is false if there is no agent.
func (l *List) Lead(home netip.Addr, rank int) (lead netip.Addr, ok bool) {
	if len(l.agents) <= alone {
		return home, len(l.agents) > 0
	}
	groups := uint64((len(l.agents) + ofLead - 1) / ofLead)
	group := mix(^(seed(home) % groups))
	order := make([]uint64, len(l.agents))
	for i, s := range l.seeds {
		order[i] = mix(group ^ s)
	}
	for range min(rank, len(order)-1) {
		order[largest(order)] = 0
	}
	return l.agents[largest(order)], true
}

func largest(list []uint64) (at int) {
	for i, w := range list {
		if w > list[at] {
			at = i
		}
	}
	return at
}

// Except returns the home that a flow would have without some agents.
func (l *List) Except(f segs.Flow, left func(netip.Addr) bool) (home netip.Addr, ok bool) {
	h := f.Hash()
	best := uint64(0)
	for i, a := range l.agents {
		if w := mix(h ^ l.seeds[i]); (!ok || w > best) && !left(a) {
			home, best, ok = a, w, true
		}
	}
	return home, ok
}
