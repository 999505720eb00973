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

// routing says where datagrams may go. It is guarded by the fabric's mutex.
type routing struct {
	entries []netip.Addr
	loss    map[netip.Addr]Loss
	sides   []Side
}

func newRouting(entries []netip.Addr) routing {
	return routing{entries: entries, loss: map[netip.Addr]Loss{}}
}

// pickEntry returns the entry for one datagram of a caller, and false if it is lost.
func (p routing) pickEntry(caller netip.Addr) (entry netip.Addr, ok bool) {
	entries := p.entriesFor(caller)
	if len(entries) == 0 {
		return netip.Addr{}, false
	}
	entry = entries[rand.IntN(len(entries))]
	return entry, rand.Float64() >= p.loss[entry].Toward
}

// reachesCaller tells whether a datagram of an entry reaches a caller.
func (p routing) reachesCaller(entry, caller netip.Addr) bool {
	return slices.Contains(p.entriesFor(caller), entry) && rand.Float64() >= p.loss[entry].Back
}

func (p routing) entriesFor(caller netip.Addr) []netip.Addr {
	for _, s := range p.sides {
		for _, network := range s.Networks {
			if network.Contains(caller.Unmap()) {
				return s.Entries
			}
		}
	}
	return p.entries
}
