// Package duty decides which processes call the platform for all the others.
//
// It exists because the platform answers two thousand calls a second to the
// whole fleet, a waiting watch counts as one, and its rate grows more slowly
// than the fleet. So a few entries of each failure domain watch, chosen by hash
// from what each process believes about the members: nobody has to agree, and
// where beliefs differ there are a few watchers more or less. When nobody has
// heard the platform for long, anybody may probe it, with a chance that keeps
// the probes of the whole fleet at a few a second whatever its size.
//
// It is no election: nothing depends on there being exactly one of anybody, and
// it makes no calls (packages fetch and relay). It is pure.
//
// # Usage
//
//	if duty.IsWatcher(self, table.Live(peers.Entries)) {
//		watch()
//	} else if duty.ShouldProbe(age, members, r) {
//		probe()
//	}
package duty

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangowinch/internal/ctrl/peers"
)

// What was chosen, and why.
const (
	WatchersPerDomain = 3                // watchers: one may be dead and one frozen
	StaleAge          = 40 * time.Second // a watch is answered after 25 s at the latest; the rest is for passing it on
	ProbeInterval     = 10 * time.Second // between two decisions to probe
	probes            = 20               // of the whole fleet in one tick, so two calls a second

	MaxEntryDelay = 2 * time.Second  // 800 entries that start at once make 400 first calls a second
	MaxAgentDelay = 10 * time.Second // 6,800 agents that find no peer make 680
)

// IsWatcher says whether self is one of the few in its failure domain that watch
// the platform. Members are those believed live, self among them or not.
func IsWatcher(self peers.Member, members []peers.Member) bool {
	if self.Role != peers.Entry || self.State == peers.Leaving {
		return false
	}
	before := 0
	for _, m := range members {
		if m.Name != self.Name && m.Domain == self.Domain && m.Role == peers.Entry && weight(m.Name, "") > weight(self.Name, "") {
			before++
		}
	}
	return before < WatchersPerDomain
}

// ShouldProbe says whether a process that does not watch asks the platform in this
// tick, given how long ago anybody known has heard from it.
func ShouldProbe(age time.Duration, members int, r *rand.Rand) bool {
	return age > StaleAge && r.Float64()*float64(max(members, 1)) < probes
}

// StartDelay returns how long a process that knows nothing waits before its first
// call, so that a fleet that starts at once does not call at once. Peers are
// asked meanwhile.
func StartDelay(role peers.Role, r *rand.Rand) time.Duration {
	span := MaxEntryDelay
	if role == peers.Agent {
		span = MaxAgentDelay
	}
	return time.Duration(r.Int64N(int64(span)))
}

// Contacts returns the n entries that tell the agents of a service about its
// document, in order.
func Contacts(service string, entries []peers.Member, n int) []peers.Member {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b peers.Member) int {
		x, y := weight(a.Name, service), weight(b.Name, service)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return sorted[:min(n, len(sorted))]
}

// weight orders names differently for each salt (rendezvous hashing), so that
// one member more or less moves nothing else.
func weight(name, salt string) uint64 {
	return xxhash.Sum64String(name + "\x00" + salt)
}
