// Package homes determines the home of a flow: the agent that keeps the flow's location record.
//
// Any packet may reach any entry, and an entry only knows flows whose packets it has received. The owner of a
// flow (the agent beside the server that holds it) therefore registers the flow at its home, and an entry
// that does not know a flow sends its packets to the home. The home follows from the flow and the list of
// agents alone, by rendezvous hashing (Thaler and Ravishankar, 1998). No process has to be notified of it,
// and when an agent is added or removed, only the flows of that agent change their home.
//
// The package does not store location records (package owner does).
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

// List is an immutable set of agents.
type List struct {
	agents []netip.Addr
	hashes []uint64
}

// New returns the list of the given agents. Their order does not matter, and duplicates are removed.
func New(agents []netip.Addr) *List {
	l := &List{agents: slices.Clone(agents)}
	slices.SortFunc(l.agents, netip.Addr.Compare)
	l.agents = slices.Compact(l.agents)
	for _, a := range l.agents {
		l.hashes = append(l.hashes, hash(a))
	}
	return l
}

// hash returns the hash of an agent's IPv4 address.
func hash(a netip.Addr) uint64 {
	b := a.As4()
	return mix(uint64(b[0])<<24 | uint64(b[1])<<16 | uint64(b[2])<<8 | uint64(b[3]))
}

// mix hashes x with the finalizer of MurmurHash3 (Appleby).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Agents returns all agents, sorted. The caller must not modify the slice.
func (l *List) Agents() []netip.Addr { return l.agents }

// Of returns the home of a flow. ok is false if the list is empty.
func (l *List) Of(f segs.Flow) (home netip.Addr, ok bool) {
	return l.Except(f, func(netip.Addr) bool { return false })
}

const (
	// maxSelfLed is the largest number of agents with which each home is its own lead. A lookup round costs
	// little then, and a separate lead would be another process that may be unavailable.
	maxSelfLed = 32
	// homesPerLead is the number of homes that share a lead. With more homes per lead, more lookups share a
	// round; with fewer, the work is spread over more agents.
	homesPerLead = 256
)

// Lead returns the agent that looks up the owners of flows on behalf of a home (package locate). Rank 0 is the
// first choice; the agent of a higher rank replaces those of lower ranks if they do not answer. In a small
// fleet each home is its own lead. ok is false if the list is empty.
func (l *List) Lead(home netip.Addr, rank int) (lead netip.Addr, ok bool) {
	if len(l.agents) <= maxSelfLed {
		return home, len(l.agents) > 0
	}
	groups := uint64((len(l.agents) + homesPerLead - 1) / homesPerLead)
	group := mix(^(hash(home) % groups))
	weights := make([]uint64, len(l.agents))
	for i, s := range l.hashes {
		weights[i] = mix(group ^ s)
	}
	for range min(rank, len(weights)-1) {
		weights[indexOfMax(weights)] = 0
	}
	return l.agents[indexOfMax(weights)], true
}

func indexOfMax(list []uint64) (at int) {
	for i, w := range list {
		if w > list[at] {
			at = i
		}
	}
	return at
}

// Except returns the home that a flow would have without the excluded agents.
func (l *List) Except(f segs.Flow, excluded func(netip.Addr) bool) (home netip.Addr, ok bool) {
	h := f.Hash()
	best := uint64(0)
	for i, a := range l.agents {
		if w := mix(h ^ l.hashes[i]); (!ok || w > best) && !excluded(a) {
			home, best, ok = a, w, true
		}
	}
	return home, ok
}
