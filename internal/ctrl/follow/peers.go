package follow

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
)

// peer is what is known of another process.
type peer struct {
	role    msgs.Role
	domain  uint8 // belief.DomainHash; 0 until it has been heard
	heard   time.Time
	reading time.Time // last heard as a reader
	trying  time.Time // last heard calling the platform without an answer
	leaving bool
}

// Leaving says whether a peer has said that it is being stopped.
func (n *Node) Leaving(a netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[a]
	return p != nil && p.leaving
}

// Entries returns the entries heard of lately.
func (n *Node) Entries() []netip.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knownEntries()
}

// gossipTo picks whom to tell now: a random peer, or all seeds and agents for who
// knows nothing yet. Every process knows all agents and only some entries, so that entries would hear from peers far less often than agents do; so they
// tell each other every other time. n.mu is held.
func (n *Node) gossipTo() (to []netip.Addr) {
	if n.asOf.IsZero() {
		to = append(to, n.Seeds...)
		return n.without(append(to, n.known()...), widest)
	}
	n.gossips++
	if n.Role == msgs.Entry && n.gossips%2 == 0 {
		return n.without(n.knownEntries(), 1)
	}
	return n.without(n.known(), 1)
}

// known returns all processes known: peers heard of and agents of servers. n.mu is held.
func (n *Node) known() []netip.Addr {
	return append(n.knownEntries(), n.Log.View().Homes.Agents()...)
}

// knownEntries returns the entries heard of lately. n.mu is held.
func (n *Node) knownEntries() (list []netip.Addr) {
	for a, p := range n.peers {
		if p.role == msgs.Entry {
			list = append(list, a)
		}
	}
	return list
}

// without returns at most limit of the addresses at random, none of them its own.
func (n *Node) without(all []netip.Addr, limit int) (to []netip.Addr) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, a := range all {
		if a != n.Self && len(to) < limit {
			to = append(to, a)
		}
	}
	return to
}

// beaconPeers is how many entries a beacon names, so that agents and entries learn of each other.
const beaconPeers = 4

// beacon encodes what the process knows. n.mu is held.
func (n *Node) beacon(now time.Time, reply bool) []byte {
	m := msgs.Beacon{Role: n.Role, Domain: belief.DomainHash(n.Domain), Reader: n.reading && !n.lost && !n.asOf.IsZero(), PlatformDown: n.trying(now), Leaving: n.leaving, WantReply: reply, Age: msgs.MaxAge}
	m.Revision = n.Log.Revision()
	if !n.asOf.IsZero() {
		m.Age = uint32(min(now.Sub(n.asOf).Milliseconds(), int64(msgs.MaxAge-1)))
	}
	m.Readers = n.readersKnown(now)
	for a, p := range n.peers {
		if p.role == msgs.Entry && !p.leaving && len(m.Peers) < beaconPeers {
			m.Peers = append(m.Peers, a)
		}
	}
	return m.AppendTo(nil)
}

// hearEntry notes that a process is an entry, as a beacon says. n.mu is held.
func (n *Node) hearEntry(now time.Time, a netip.Addr) {
	p := n.meet(a)
	if p.role != 0 {
		return // heard of it by its own word
	}
	p.role, p.heard = msgs.Entry, now
}

// readersKnown returns other processes that read, as beacons name them: as many as are wanted. n.mu is held.
func (n *Node) readersKnown(now time.Time) (list []msgs.Reader) {
	for a, p := range n.peers {
		if len(list) < wantedReaders && !p.leaving && now.Sub(p.reading) < 2*n.wait() {
			list = append(list, msgs.Reader{Process: a, Age: uint16(now.Sub(p.reading).Milliseconds())})
		}
	}
	return list
}

// hearReaders notes which processes a peer knows to read. In a large fleet few hear a reader itself, and whoever hears of too few
// reads. Ages add up on the way, so that a reader that is gone is forgotten everywhere. n.mu is held.
func (n *Node) hearReaders(now time.Time, readers []msgs.Reader) {
	for _, r := range readers {
		if r.Process == n.Self {
			continue
		}
		at := now.Add(-time.Duration(r.Age)*time.Millisecond - transit)
		p := n.meet(r.Process)
		if at.After(p.reading) {
			p.reading = at
		}
		if at.After(p.heard) {
			p.heard = at
		}
	}
}

// HandleBeacon takes a beacon in.
func (n *Node) HandleBeacon(now time.Time, from netip.Addr, m msgs.Beacon) {
	n.mu.Lock()
	p := n.meet(from)
	p.role, p.domain, p.heard, p.leaving = m.Role, m.Domain, now, m.Leaving
	if m.Reader {
		p.reading = now
	}
	if m.PlatformDown {
		p.trying = now
	}
	n.hearReaders(now, m.Readers)
	for _, a := range m.Peers {
		if a != n.Self {
			n.hearEntry(now, a)
		}
	}
	before := n.asOf
	n.credit(now, m)
	var to []netip.Addr
	if n.passesOn(now, before) {
		to = n.audience(false)
	}
	reply := m.WantReply || m.Revision < n.Log.Revision()
	message := n.beacon(now, false)
	n.mu.Unlock()
	if reply {
		n.Send(from, message)
	}
	n.sendAll(to, message)
	n.noticed(ahead{peer: from, revision: m.Revision, asOf: confirmedAt(now, m)})
}

// confirmedAt is as of when a beacon's sender knows its belief to be complete; zero: it doesn't know.
func confirmedAt(now time.Time, m msgs.Beacon) time.Time {
	if m.Age == msgs.MaxAge {
		return time.Time{}
	}
	return now.Add(-time.Duration(m.Age)*time.Millisecond - transit)
}

func (n *Node) meet(a netip.Addr) *peer {
	p := n.peers[a]
	if p == nil {
		p = &peer{}
		n.peers[a] = p
	}
	return p
}

// transit is what a beacon's way is taken to last at most when its age is used: the
// longest way within a region is 1 ms, between regions 20 ms.
const transit = 25 * time.Millisecond

// credit makes the belief as fresh as a peer's that doesn't know more. n.mu is held.
func (n *Node) credit(now time.Time, m msgs.Beacon) {
	asOf := confirmedAt(now, m)
	if covers(n.Log.Revision(), m.Revision) && asOf.After(n.asOf) {
		n.asOf = asOf
	}
}

// covers says whether a belief that is complete up to one revision is as new as one that is complete up to another. Of
// different eras neither is: what is known of one says nothing on the other.
func covers(known, other order.Revision) bool {
	return known.Era() == other.Era() && known >= other
}
