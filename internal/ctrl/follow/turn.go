package follow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
)

// Whose turn it is to read the platform.
//
// Two processes read while the platform answers. While it is away every belief grows too old at the same time, and every process would
// read: a fleet of a hundred then makes hundreds of calls a second, all of them priced, and the platform is met by them when it
// comes back. So a few try for all, say so in their beacons, and the others wait for their news. Those who try may be the very ones
// that the platform turns away, or have just been killed, so that others go on volunteering, one or two a second.

// volunteerTicks is the mean number of ticks in which one process of all volunteers.
const volunteerTicks = 10

// A process that has just started knows nothing, and a whole fleet may start at once. An entry lists everything at once, since it serves
// nobody until it knows something, and leaves the changes that follow to seeds: if each watched them, hundreds would do so while
// servers come up one by one. An agent carries packets without knowing anything, and fetches from whoever knows something; of agents that hear of
// nobody ever more volunteer.

const (
	// initialVolunteerOdds is the mean number of agents of which one volunteers in the first tick without news; it halves with each tick.
	initialVolunteerOdds = 64
	// offerTimeout is how long an agent that knows nothing tries to fetch from those that know something. They may all be busy.
	offerTimeout = 1500 * time.Millisecond
	// minFleetEstimate is how many processes a fleet is taken to have at least by one that has just started.
	minFleetEstimate = 64
)

// shouldStart says whether a process that knows nothing is to read the platform. n.mu is held.
func (n *Node) shouldStart(now time.Time) bool {
	if n.Role == msgs.Entry {
		return true
	}
	waited := now.Sub(n.start) - agentStartDelay
	if !n.firstOffer.IsZero() {
		waited = now.Sub(n.firstOffer) - offerTimeout
	}
	return waited >= 0 && rand.IntN(max(1, initialVolunteerOdds>>(waited/TickInterval))) == 0
}

// stopUnlessSeed ends reading after the first listing, unless the process is a seed. It says so to nobody: for that moment hundreds
// would seem to read, and the seeds would stop.
func (n *Node) stopUnlessSeed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Role == msgs.Agent || len(n.Seeds) == 0 || slices.Contains(n.Seeds, n.Self) {
		return
	}
	n.reading = false
	n.Events.State("reading-ends").Str("why", "seeds read").Send()
}

// shouldRead says whether the process is to read the platform. n.mu is held.
func (n *Node) shouldRead(now time.Time) bool {
	if n.leaving {
		return false
	}
	if n.asOf.IsZero() {
		return n.shouldStart(now)
	}
	if now.Sub(n.asOf) > n.staleAfter() && n.probers(now) < wantedProbers {
		return rand.IntN(n.fleetEstimate(now)) < wantedProbers // a few of all in each tick, before they hear of each other
	}
	return n.readers(now) < wantedReaders && rand.IntN(volunteerTicks*n.fleetEstimate(now)) == 0
}

// fleetEstimate is the size of the fleet, or unheardOf while the process may have heard of hardly anybody yet. n.mu is held.
func (n *Node) fleetEstimate(now time.Time) int {
	if now.Sub(n.start) < n.PropagationBound {
		return max(minFleetEstimate, n.fleetSize())
	}
	return n.fleetSize()
}

// fleetSize is how many processes there are, as far as this one knows: servers' agents, and entries heard of lately. In a large fleet each process hears of
// few others, and by the number of these alone far too many would volunteer. n.mu is held.
func (n *Node) fleetSize() int {
	return 1 + len(n.Log.View().Homes.Agents()) + len(n.knownEntries())
}

// probing says whether the process calls a platform that doesn't answer, or that seems to answer nobody. n.mu is held.
func (n *Node) probing(now time.Time) bool {
	return n.reading && !n.asOf.IsZero() && (n.platformLost || now.Sub(n.asOf) > n.staleAfter())
}

// readers counts the other processes that read. n.mu is held.
func (n *Node) readers(now time.Time) (count int) {
	return n.countRecent(now, func(_ netip.Addr, p *peer) time.Time { return p.lastReading })
}

// probers counts the other processes that call the platform without an answer. n.mu is held.
func (n *Node) probers(now time.Time) (count int) {
	return n.countRecent(now, func(_ netip.Addr, p *peer) time.Time { return p.lastProbing })
}

// countRecent counts the other processes for which something was heard lately. n.mu is held.
func (n *Node) countRecent(now time.Time, lastSeen func(netip.Addr, *peer) time.Time) (count int) {
	for a, p := range n.peers {
		if !p.leaving && now.Sub(lastSeen(a, p)) < 2*n.watchWait() {
			count++
		}
	}
	return count
}

// surplusReader says whether enough others read. The ones with the higher addresses stay, so that not
// all stop at once. n.mu is held.
func (n *Node) surplusReader(now time.Time) bool {
	higher := n.countRecent(now, func(a netip.Addr, p *peer) time.Time { return n.ifHigher(a, p.lastReading) })
	return higher >= wantedReaders || n.leaving
}

// surplusProber says whether enough others call a platform that doesn't answer. n.mu is held.
func (n *Node) surplusProber(now time.Time) bool {
	higher := n.countRecent(now, func(a netip.Addr, p *peer) time.Time { return n.ifHigher(a, p.lastProbing) })
	return n.platformLost && higher >= wantedProbers
}

// ifHigher returns a time for processes with a higher address than this one's, and the zero time for others.
func (n *Node) ifHigher(a netip.Addr, at time.Time) time.Time {
	if n.Self.Less(a) {
		return at
	}
	return time.Time{}
}
