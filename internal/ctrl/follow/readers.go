package follow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
)

// Selection of readers.
//
// Two processes read the platform while it responds. While it is unavailable, all beliefs become too old at the same
// time. If every process then called the platform, a fleet of a hundred would make hundreds of calls a second, each with
// its cost, and would overload the platform when it recovers. So only a few processes keep calling it, announce this in
// their beacons, and the others wait for their updates. These few may be the ones that the platform refuses, or may have
// just been killed. Therefore other processes keep volunteering, one or two a second in the whole fleet.

// volunteerTicks is the mean number of ticks until some process of the fleet volunteers.
const volunteerTicks = 10

// A started process has no belief, and a whole fleet may start at the same time. An entry lists the platform at once,
// since it can't serve without a belief, and leaves the watching to the seeds: otherwise hundreds of entries would watch
// the many changes that follow while the servers start one by one. An agent forwards packets without a belief, and
// fetches from a peer that has one. Of the agents that don't receive anything, more volunteer in each tick.

const (
	// initialVolunteerOdds is the mean number of agents of which one volunteers in the first tick in which agents without
	// a belief may read. It halves with each tick.
	initialVolunteerOdds = 64
	// initialFetchTimeout is how long an agent without a belief tries to fetch from peers that have one, which may all be busy.
	initialFetchTimeout = 1500 * time.Millisecond
	// minFleetEstimate is the minimum size of the fleet that a started process assumes.
	minFleetEstimate = 64
)

// shouldStart reports whether a process without a belief should read the platform. n.mu is held.
func (n *Node) shouldStart(now time.Time) bool {
	if n.Role == msgs.Entry {
		return true
	}
	waited := now.Sub(n.start) - agentStartDelay
	if !n.firstFetchPeerAt.IsZero() {
		waited = now.Sub(n.firstFetchPeerAt) - initialFetchTimeout
	}
	return waited >= 0 && rand.IntN(max(1, initialVolunteerOdds>>(waited/TickInterval))) == 0
}

// stopUnlessSeed stops reading after an entry's first listing, unless the entry is a seed. It is called before the
// listing is announced: otherwise hundreds of entries would seem to be readers for a moment, and the seeds would stop
// reading.
func (n *Node) stopUnlessSeed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Role == msgs.Agent || len(n.Seeds) == 0 || slices.Contains(n.Seeds, n.Self) {
		return
	}
	n.reading = false
	n.Events.State("reading-ends").Str("why", "seeds read").Send()
}

// shouldRead reports whether the process should start to read the platform. n.mu is held.
func (n *Node) shouldRead(now time.Time) bool {
	if n.leaving {
		return false
	}
	if n.asOf.IsZero() {
		return n.shouldStart(now)
	}
	if now.Sub(n.asOf) > n.staleAfter() && n.probers(now) < wantedProbers {
		return rand.IntN(n.fleetEstimate(now)) < wantedProbers // a few per tick, until they receive each other's beacons
	}
	return n.readers(now) < wantedReaders && rand.IntN(volunteerTicks*n.fleetEstimate(now)) == 0
}

// fleetEstimate returns the size of the fleet, but at least minFleetEstimate while the process may not know most of its
// peers yet. n.mu is held.
func (n *Node) fleetEstimate(now time.Time) int {
	if now.Sub(n.start) < n.PropagationBound {
		return max(minFleetEstimate, n.fleetSize())
	}
	return n.fleetSize()
}

// fleetSize returns the number of known processes: this one, the agents of all servers in the belief, and the entries
// seen within peerTTL. Counting only the peers that sent messages would give too small a number in a large fleet, where
// a process receives messages from few others, and far too many processes would volunteer. n.mu is held.
func (n *Node) fleetSize() int {
	return 1 + len(n.Log.View().Homes.Agents()) + len(n.knownEntries())
}

// probing reports whether the process calls a platform that doesn't respond to it, or apparently to no process.
// n.mu is held.
func (n *Node) probing(now time.Time) bool {
	return n.reading && !n.asOf.IsZero() && (n.platformLost || now.Sub(n.asOf) > n.staleAfter())
}

// readers returns the number of other processes that read the platform. n.mu is held.
func (n *Node) readers(now time.Time) (count int) {
	return n.countRecent(now, func(_ netip.Addr, p *peer) time.Time { return p.lastReading })
}

// probers returns the number of other processes that call a platform that doesn't respond. n.mu is held.
func (n *Node) probers(now time.Time) (count int) {
	return n.countRecent(now, func(_ netip.Addr, p *peer) time.Time { return p.lastProbing })
}

// countRecent returns the number of other processes, without leaving ones, for which lastSeen returns a recent time.
// n.mu is held.
func (n *Node) countRecent(now time.Time, lastSeen func(netip.Addr, *peer) time.Time) (count int) {
	for a, p := range n.peers {
		if !p.leaving && now.Sub(lastSeen(a, p)) < 2*n.watchWait() {
			count++
		}
	}
	return count
}

// surplusReader reports whether enough other processes read the platform. Only those with higher
// addresses count, so that not all readers stop at once. n.mu is held.
func (n *Node) surplusReader(now time.Time) bool {
	higher := n.countRecent(now, func(a netip.Addr, p *peer) time.Time { return n.ifHigher(a, p.lastReading) })
	return higher >= wantedReaders || n.leaving
}

// surplusProber reports whether enough other processes with higher addresses call a platform that doesn't respond.
// n.mu is held.
func (n *Node) surplusProber(now time.Time) bool {
	higher := n.countRecent(now, func(a netip.Addr, p *peer) time.Time { return n.ifHigher(a, p.lastProbing) })
	return n.platformLost && higher >= wantedProbers
}

// ifHigher returns at if a is higher than this process's address, and the zero time otherwise.
func (n *Node) ifHigher(a netip.Addr, at time.Time) time.Time {
	if n.Self.Less(a) {
		return at
	}
	return time.Time{}
}
