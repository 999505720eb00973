// Package duty selects the processes that call the platform on behalf of the fleet.
//
// It exists because the platform accepts two thousand calls a second from the
// whole fleet, a pending watch counts as one, and this limit grows more slowly
// than the fleet. So only a few entries of each failure domain watch it. Each
// process selects them by rendezvous hashing from its own list of members: this
// needs no agreement, and where the lists differ there are a few more or fewer
// watchers. When no process has received a response of the platform for long,
// any process may probe it, with a probability that keeps the probes of the whole
// fleet at a few a second, whatever its size.
//
// The package is not a leader election: nothing depends on the number of selected
// processes. It makes no calls, which packages fetch and relay do, and has no state.
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

// Limits on the calls of the fleet.
const (
	WatchersPerDomain = 3                // so that one is left if one has failed and one is frozen
	StaleAge          = 40 * time.Second // a watch returns after 25 s at the latest; the rest is for distributing the result
	ProbeInterval     = 10 * time.Second // between two calls of ShouldProbe
	probesPerInterval = 20               // by the whole fleet in one ProbeInterval: two calls a second

	MaxEntryDelay = 2 * time.Second  // 800 entries that start at once make 400 first calls a second
	MaxAgentDelay = 10 * time.Second // 6,800 agents that start at once and find no peer make 680 calls a second
)

// IsWatcher reports whether self is one of the few entries in its failure domain that
// watch the platform. members are the live members, with or without self.
func IsWatcher(self peers.Member, members []peers.Member) bool {
	if self.Role != peers.Entry || self.State == peers.Leaving {
		return false
	}
	heavier := 0
	for _, m := range members {
		if m.Name != self.Name && m.Domain == self.Domain && m.Role == peers.Entry && weight(m.Name, "") > weight(self.Name, "") {
			heavier++
		}
	}
	return heavier < WatchersPerDomain
}

// ShouldProbe reports whether a process that does not watch should probe the platform in
// this ProbeInterval. age is the time since any known process received a response of it.
func ShouldProbe(age time.Duration, members int, r *rand.Rand) bool {
	return age > StaleAge && r.Float64()*float64(max(members, 1)) < probesPerInterval
}

// StartDelay returns how long a process without any documents waits before its first
// call, so that the calls of a fleet that starts at once are spread. Meanwhile the
// process queries its peers.
func StartDelay(role peers.Role, r *rand.Rand) time.Duration {
	span := MaxEntryDelay
	if role == peers.Agent {
		span = MaxAgentDelay
	}
	return time.Duration(r.Int64N(int64(span)))
}

// Contacts returns the n entries that notify the agents of a service of changes of its
// document, in order of preference.
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

// weight is the weight of a name for rendezvous hashing. Each salt gives another order
// of names, and adding or removing a member does not change the order of the others.
func weight(name, salt string) uint64 {
	return xxhash.Sum64String(name + "\x00" + salt)
}
