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

// volunteerOnce is the mean number of ticks in which one process of all volunteers.
const volunteerOnce = 10

// A process that has just started knows nothing, and a whole fleet may start at once. An entry lists everything at once, since it serves
// nobody until it knows something, and leaves the changes that follow to seeds: if each watched them, hundreds would do so while
// servers come up one by one. An agent carries packets without knowing anything, and fetches from whoever knows something; of agents that hear of
// nobody ever more volunteer.

const (
	// firstVolunteers is the mean number of agents of which one volunteers in the first tick without news; it halves with each tick.
	firstVolunteers = 64
	// offerPatience is how long an agent that knows nothing tries to fetch from those that know something. They may all be busy.
	offerPatience = 1500 * time.Millisecond
	// unheardOf is how many processes a fleet is taken to have at least by one that has just started.
	unheardOf = 64
)

// shouldBegin says whether a process that knows nothing is to read the platform. n.mu is held.
func (n *Node) shouldBegin(now time.Time) bool {
	if n.Role == msgs.Entry {
		return true
	}
	waited := now.Sub(n.start) - agentPatience
	if !n.offered.IsZero() {
		waited = now.Sub(n.offered) - offerPatience
	}
	return waited >= 0 && rand.IntN(max(1, firstVolunteers>>(waited/TickInterval))) == 0
}

// leaveToSeeds ends reading after the first listing, unless the process is a seed. It says so to nobody: for that moment hundreds
// would seem to read, and the seeds would stop.
func (n *Node) leaveToSeeds() {
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
		return n.shouldBegin(now)
	}
	if now.Sub(n.asOf) > n.tooOld() && n.triers(now) < wantedTriers {
		return rand.IntN(n.fleetAtLeast(now)) < wantedTriers // a few of all in each tick, before they hear of each other
	}
	return n.readers(now) < wantedReaders && rand.IntN(volunteerOnce*n.fleetAtLeast(now)) == 0
}

// fleetAtLeast is the size of the fleet, or unheardOf while the process may have heard of hardly anybody yet. n.mu is held.
func (n *Node) fleetAtLeast(now time.Time) int {
	if now.Sub(n.start) < n.PropagationBound {
		return max(unheardOf, n.fleet())
	}
	return n.fleet()
}

// fleet is how many processes there are, as far as this one knows: servers' agents, and entries heard of lately. In a large fleet each process hears of
// few others, and by the number of these alone far too many would volunteer. n.mu is held.
func (n *Node) fleet() int {
	return 1 + len(n.Log.View().Homes.Agents()) + len(n.knownEntries())
}

// trying says whether the process calls a platform that doesn't answer, or that seems to answer nobody. n.mu is held.
func (n *Node) trying(now time.Time) bool {
	return n.reading && !n.asOf.IsZero() && (n.lost || now.Sub(n.asOf) > n.tooOld())
}

// readers counts the other processes that read. n.mu is held.
func (n *Node) readers(now time.Time) (count int) {
	return n.count(now, func(_ netip.Addr, p *peer) time.Time { return p.reading })
}

// triers counts the other processes that call the platform without an answer. n.mu is held.
func (n *Node) triers(now time.Time) (count int) {
	return n.count(now, func(_ netip.Addr, p *peer) time.Time { return p.trying })
}

// count counts the other processes for which something was heard lately. n.mu is held.
func (n *Node) count(now time.Time, heard func(netip.Addr, *peer) time.Time) (count int) {
	for a, p := range n.peers {
		if !p.leaving && now.Sub(heard(a, p)) < 2*n.wait() {
			count++
		}
	}
	return count
}

// surplus says whether enough others read. The ones with the higher addresses stay, so that not
// all stop at once. n.mu is held.
func (n *Node) surplus(now time.Time) bool {
	above := n.count(now, func(a netip.Addr, p *peer) time.Time { return n.above(a, p.reading) })
	return above >= wantedReaders || n.leaving
}

// surplusTrier says whether enough others call a platform that doesn't answer. n.mu is held.
func (n *Node) surplusTrier(now time.Time) bool {
	above := n.count(now, func(a netip.Addr, p *peer) time.Time { return n.above(a, p.trying) })
	return n.lost && above >= wantedTriers
}

// above returns a time for processes with a higher address than this one's, and the zero time for others.
func (n *Node) above(a netip.Addr, at time.Time) time.Time {
	if n.Self.Less(a) {
		return at
	}
	return time.Time{}
}
