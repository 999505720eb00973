package fabric

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// Loss is the fraction of datagrams lost at one entry, from 0 to 1, by direction.
type Loss struct {
	Entry  netip.Addr `json:"entry"`
	Toward float64    `json:"toward"` // from callers to the entry
	Back   float64    `json:"back"`   // from the entry to callers
}

// Side is one side of a partition: callers of these networks reach only these entries.
type Side struct {
	Networks []netip.Prefix `json:"networks"`
	Entries  []netip.Addr   `json:"entries"`
}

// routing decides which datagrams are forwarded, and to which entry. It is guarded by the fabric's mutex.
type routing struct {
	entries []netip.Addr
	loss    map[netip.Addr]Loss
	sides   []Side
}

func newRouting(entries []netip.Addr) routing {
	return routing{entries: entries, loss: map[netip.Addr]Loss{}}
}

// pickEntry returns a random entry for one datagram of a caller, and false if the datagram is lost.
func (r routing) pickEntry(caller netip.Addr) (entry netip.Addr, ok bool) {
	entries := r.entriesFor(caller)
	if len(entries) == 0 {
		return netip.Addr{}, false
	}
	entry = entries[rand.IntN(len(entries))]
	return entry, rand.Float64() >= r.loss[entry].Toward
}

// reachesCaller reports whether a datagram from an entry reaches a caller.
func (r routing) reachesCaller(entry, caller netip.Addr) bool {
	return slices.Contains(r.entriesFor(caller), entry) && rand.Float64() >= r.loss[entry].Back
}

// entriesFor returns the entries on the caller's side of the partition, or all entries if the caller is on none.
func (r routing) entriesFor(caller netip.Addr) []netip.Addr {
	for _, s := range r.sides {
		for _, network := range s.Networks {
			if network.Contains(caller.Unmap()) {
				return s.Entries
			}
		}
	}
	return r.entries
}
