package fabric

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// Loss is the share of datagrams lost at one entry, by direction, from 0 to 1.
type Loss struct {
	Entry  netip.Addr `json:"entry"`
	Toward float64    `json:"toward"` // from callers to the entry
	Back   float64    `json:"back"`   // from the entry to callers
}

// Side is one side of a partition: these callers see these entries only.
type Side struct {
	Networks []netip.Prefix `json:"networks"`
	Entries  []netip.Addr   `json:"entries"`
}

// plan says where datagrams may go. It is guarded by the fabric's mutex.
type plan struct {
	entries []netip.Addr
	cuts    map[netip.Addr]Loss
	sides   []Side
}

func newPlan(entries []netip.Addr) plan {
	return plan{entries: entries, cuts: map[netip.Addr]Loss{}}
}

// choose returns the entry for one datagram of a caller, and false if it is lost.
func (p plan) choose(caller netip.Addr) (entry netip.Addr, ok bool) {
	visible := p.visible(caller)
	if len(visible) == 0 {
		return netip.Addr{}, false
	}
	entry = visible[rand.IntN(len(visible))]
	return entry, rand.Float64() >= p.cuts[entry].Toward
}

// returns tells whether a datagram of an entry reaches a caller.
func (p plan) returns(entry, caller netip.Addr) bool {
	return slices.Contains(p.visible(caller), entry) && rand.Float64() >= p.cuts[entry].Back
}

func (p plan) visible(caller netip.Addr) []netip.Addr {
	for _, s := range p.sides {
		for _, network := range s.Networks {
			if network.Contains(caller.Unmap()) {
				return s.Entries
			}
		}
	}
	return p.entries
}
