package follow

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
)

// peer is the state of another process, as its beacons and those of others describe it.
type peer struct {
	role        msgs.Role
	domain      uint8     // belief.DomainHash; 0 until a beacon of the peer is received
	lastSeen    time.Time // last known sign of the peer
	lastReading time.Time // when it was last known to be a reader
	lastProbing time.Time // when it last reported calling the platform without a response
	leaving     bool
}

// Leaving reports whether a peer has announced that it is being stopped.
func (n *Node) Leaving(a netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[a]
	return p != nil && p.leaving
}

// Entries returns the entries seen within peerTTL.
func (n *Node) Entries() []netip.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knownEntries()
}

// EntryShare returns the number of entries in this process's failure domain, itself included, divided by that in
// the failure domain with the most entries. Entries whose failure domain is not known yet are not counted, so a
// process that has just started gets 1.
func (n *Node) EntryShare() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := belief.DomainHash(n.Domain)
	count := map[uint8]int{own: 1}
	for a, p := range n.peers {
		if p.role == msgs.Entry && p.domain != 0 && !p.leaving && a != n.Self {
			count[p.domain]++
		}
	}
	return float64(count[own]) / float64(slices.Max(slices.Collect(maps.Values(count))))
}

// gossipTo picks the recipients of the next gossip beacon: a random peer, or all seeds and known processes if this
// process has no belief yet. Every process knows all agents but only some entries, so entries would receive far fewer
// beacons than agents. Therefore an entry sends every second beacon to another entry. n.mu is held.
func (n *Node) gossipTo() (to []netip.Addr) {
	if n.asOf.IsZero() {
		to = append(to, n.Seeds...)
		return n.sample(append(to, n.knownProcesses()...), maxDirect)
	}
	n.gossipCount++
	if n.Role == msgs.Entry && n.gossipCount%2 == 0 {
		return n.sample(n.knownEntries(), 1)
	}
	return n.sample(n.knownProcesses(), 1)
}

// knownProcesses returns all known processes: the entries seen lately, and the agents of all servers. n.mu is held.
func (n *Node) knownProcesses() []netip.Addr {
	return append(n.knownEntries(), n.Log.View().Homes.Agents()...)
}

// knownEntries returns the entries seen within peerTTL. n.mu is held.
func (n *Node) knownEntries() (list []netip.Addr) {
	for a, p := range n.peers {
		if p.role == msgs.Entry {
			list = append(list, a)
		}
	}
	return list
}

// sample returns at most limit random addresses of all, without this process's own.
func (n *Node) sample(all []netip.Addr, limit int) (to []netip.Addr) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, a := range all {
		if a != n.Self && len(to) < limit {
			to = append(to, a)
		}
	}
	return to
}

// beaconPeers is how many entries a beacon names, so that agents and entries discover each other.
const beaconPeers = 4

// beacon encodes a beacon of this process. n.mu is held.
func (n *Node) beacon(now time.Time, reply bool) []byte {
	m := msgs.Beacon{Role: n.Role, Domain: belief.DomainHash(n.Domain), Reader: n.reading && !n.platformLost && !n.asOf.IsZero(), PlatformDown: n.probing(now), Leaving: n.leaving, WantReply: reply, Age: msgs.MaxAge}
	m.Revision = n.Log.Revision()
	if !n.asOf.IsZero() {
		m.Age = uint32(min(now.Sub(n.asOf).Milliseconds(), int64(msgs.MaxAge-1)))
	}
	m.Readers = n.knownReaders(now)
	for a, p := range n.peers {
		if p.role == msgs.Entry && !p.leaving && len(m.Peers) < beaconPeers {
			m.Peers = append(m.Peers, a)
		}
	}
	return m.AppendTo(nil)
}

// addEntry adds an entry that a peer's beacon names. n.mu is held.
func (n *Node) addEntry(now time.Time, a netip.Addr) {
	p := n.peerAt(a)
	if p.role != 0 {
		return // its role is known already
	}
	p.role, p.lastSeen = msgs.Entry, now
}

// knownReaders returns at most wantedReaders other processes that read the platform, for a beacon. n.mu is held.
func (n *Node) knownReaders(now time.Time) (list []msgs.Reader) {
	for a, p := range n.peers {
		if len(list) < wantedReaders && !p.leaving && now.Sub(p.lastReading) < 2*n.watchWait() {
			list = append(list, msgs.Reader{Process: a, Age: uint16(now.Sub(p.lastReading).Milliseconds())})
		}
	}
	return list
}

// mergeReaders adds the readers that a peer's beacon names. In a large fleet only a few processes receive beacons from
// a reader itself, and a process that knows of too few readers starts to read. The ages add up from peer to peer, so
// that a reader that is down is forgotten everywhere. n.mu is held.
func (n *Node) mergeReaders(now time.Time, readers []msgs.Reader) {
	for _, r := range readers {
		if r.Process == n.Self {
			continue
		}
		at := now.Add(-time.Duration(r.Age)*time.Millisecond - maxTransit)
		p := n.peerAt(r.Process)
		if at.After(p.lastReading) {
			p.lastReading = at
		}
		if at.After(p.lastSeen) {
			p.lastSeen = at
		}
	}
}

// HandleBeacon updates the state of the peer that sent a beacon, and replies, relays or fetches as needed.
func (n *Node) HandleBeacon(now time.Time, from netip.Addr, m msgs.Beacon) {
	n.mu.Lock()
	p := n.peerAt(from)
	p.role, p.domain, p.lastSeen, p.leaving = m.Role, m.Domain, now, m.Leaving
	if m.Reader {
		p.lastReading = now
	}
	if m.PlatformDown {
		p.lastProbing = now
	}
	n.mergeReaders(now, m.Readers)
	for _, a := range m.Peers {
		if a != n.Self {
			n.addEntry(now, a)
		}
	}
	before := n.asOf
	n.confirmFromBeacon(now, m)
	var to []netip.Addr
	if n.shouldRelay(now, before) {
		to = n.recipients(false)
	}
	reply := m.WantReply || m.Revision < n.Log.Revision()
	message := n.beacon(now, false)
	n.mu.Unlock()
	if reply {
		n.Send(from, message)
	}
	n.sendAll(to, message)
	n.observe(fetchPeer{addr: from, revision: m.Revision, asOf: confirmedAt(now, m)})
}

// confirmedAt returns when the belief of a beacon's sender was last confirmed as complete, or zero if never.
func confirmedAt(now time.Time, m msgs.Beacon) time.Time {
	if m.Age == msgs.MaxAge {
		return time.Time{}
	}
	return now.Add(-time.Duration(m.Age)*time.Millisecond - maxTransit)
}

// peerAt returns the peer with an address, and adds it if necessary. n.mu is held.
func (n *Node) peerAt(a netip.Addr) *peer {
	p := n.peers[a]
	if p == nil {
		p = &peer{}
		n.peers[a] = p
	}
	return p
}

// maxTransit is the assumed maximum transit time of a beacon, by which the ages in it are increased. The
// maximum latency is 1 ms within a region and 20 ms between regions.
const maxTransit = 25 * time.Millisecond

// confirmFromBeacon takes over the confirmation time of a peer whose belief isn't newer. n.mu is held.
func (n *Node) confirmFromBeacon(now time.Time, m msgs.Beacon) {
	asOf := confirmedAt(now, m)
	if covers(n.Log.Revision(), m.Revision) && asOf.After(n.asOf) {
		n.asOf = asOf
	}
}

// covers reports whether a belief that is complete up to revision known is at least as new as one that is complete up
// to other. Beliefs of different eras don't cover each other: a confirmation in one era says nothing about the other.
func covers(known, other order.Revision) bool {
	return known.Era() == other.Era() && known >= other
}
