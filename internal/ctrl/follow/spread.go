package follow

import (
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
)

// How news spread.
//
// A reader of a small fleet tells everybody. In a large one it tells a few processes of each failure domain, and whoever
// hears news from another tells a few of its own domain. So each process sends and gets a handful of messages for a
// change, whatever the size, and a border between domains is crossed a few times for each domain. Told to any peers, each process would send
// its rumours over borders, and at a thousand instances they were most of what goes there. What this misses, gossip
// to any peer heals within seconds.
//
// Beacons are small and say who reads the platform. A reader's go to many peers anywhere: who hears of too few readers reads itself.
// In a large fleet they also have to be passed on: a reader reaches 64 peers, gossip takes seconds to reach the
// others, and whoever believes its belief too old by then calls the platform, dozens at a time.

const (
	// maxDirect is up to how many peers a reader tells directly.
	maxDirect = 64
	// peersPerDomain is how many processes of each failure domain a reader of a larger fleet tells.
	peersPerDomain = 4
	// gossipFanout is how many peers of its domain hear of news from who learned it from another: it reaches 94 of a hundred.
	gossipFanout = 3
)

// announce sends what the process knows. News that fit into a datagram go to all peers or some of each failure domain from a reader, to
// a few of the own domain from others; of others only the revision is told, and peers fetch them.
func (n *Node) announce(now time.Time, change *belief.Change, reader bool) {
	n.mu.Lock()
	to := n.recipients(reader || n.leaving)
	beaconTo := to
	if reader || n.leaving {
		beaconTo = n.sample(n.knownProcesses(), maxDirect)
	}
	message := n.beacon(now, false)
	n.mu.Unlock()
	if change != nil && !change.Full {
		n.sendAll(to, encodeUpdate(*change))
	}
	n.sendAll(beaconTo, message)
}

// sendAll sends a message, if there is one, to some processes.
func (n *Node) sendAll(to []netip.Addr, message []byte) {
	if message == nil {
		return
	}
	for _, a := range to {
		n.Send(a, message)
	}
}

// shouldRelay says whether a beacon has made the belief so much fresher that a few near peers are to hear of it at once. Before
// is as of when the belief was complete until then. n.mu is held.
func (n *Node) shouldRelay(now, before time.Time) bool {
	return n.asOf.Sub(before) >= n.PropagationBound/6 && n.fleetEstimate(now) >= maxDirect
}

// recipients picks whom to tell now. n.mu is held.
func (n *Node) recipients(wide bool) []netip.Addr {
	known := n.knownProcesses()
	if wide && len(known) <= maxDirect {
		return n.sample(known, maxDirect)
	}
	domains := map[uint8][]netip.Addr{}
	for _, a := range known {
		d := n.domainOf(a)
		domains[d] = append(domains[d], a)
	}
	if wide {
		var to []netip.Addr
		for _, list := range domains {
			to = append(to, n.sample(list, peersPerDomain)...)
		}
		return to
	}
	to := n.sample(domains[belief.DomainHash(n.Domain)], gossipFanout)
	if len(to) == 0 {
		return n.sample(known, gossipFanout) // alone in its domain, or nobody's domain is known yet
	}
	return to
}

// domainOf returns the failure domain of a process, 0 if it isn't known. n.mu is held.
func (n *Node) domainOf(a netip.Addr) uint8 {
	if s, ok := n.Log.View().Server(a); ok {
		return belief.DomainHash(s.Domain)
	}
	if p := n.peers[a]; p != nil {
		return p.domain
	}
	return 0
}

// sameDomain says whether a process is in the failure domain of this one. n.mu is held.
func (n *Node) sameDomain(a netip.Addr) bool { return n.domainOf(a) == belief.DomainHash(n.Domain) }

// maxUpdateSize bounds the encoded change in one datagram, which passes any link unfragmented.
const maxUpdateSize = 1300

func encodeUpdate(c belief.Change) []byte {
	text, err := encoding{}.Marshal(&c)
	if err != nil || len(text) > maxUpdateSize {
		return nil
	}
	m := msgs.News{Change: text}
	m.Revision = c.To
	return m.AppendTo(nil)
}

// DecodeUpdate reads the change of a message of kind news.
func DecodeUpdate(text []byte) (c belief.Change, err error) {
	err = encoding{}.Unmarshal(text, &c)
	return c, err
}
