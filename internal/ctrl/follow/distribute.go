package follow

import (
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
)

// Distribution of changes.
//
// A reader of a small fleet sends an update to all processes. In a large fleet it sends it to a few processes of each
// failure domain, and each process that receives an update forwards it to a few peers of its own domain. So each process
// sends and receives a handful of messages per change, whatever the size of the fleet, and few messages cross between
// domains. If updates were forwarded to arbitrary peers, they would be most of the traffic between domains at a thousand
// instances. Processes that the updates miss catch up by gossip with random peers within seconds.
//
// Beacons are small and name the readers of the platform. A reader sends its beacons to many peers in any domain, because
// a process that knows of too few readers starts to read. In a large fleet beacons must also be relayed: a reader reaches
// 64 peers directly, gossip takes seconds to reach the others, and dozens of processes at a time would consider their
// beliefs too old by then and call the platform.

const (
	// maxDirect is the maximum number of peers to which a reader sends its messages directly.
	maxDirect = 64
	// peersPerDomain is the number of processes per failure domain to which a reader sends an update in a larger fleet.
	peersPerDomain = 4
	// gossipFanout is the number of peers in its domain to which a process forwards an update. At 3 the update reaches 94
	// of a hundred processes.
	gossipFanout = 3
)

// announce sends a beacon and, if change isn't nil, an update. An update that fits into a datagram goes to all peers or to
// some of each failure domain if reader is set, otherwise to a few of the process's own domain. A larger one, or a full
// change, is not sent: the beacon states the new revision, and peers fetch the change.
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

// sendAll sends a message to several processes. A nil message is ignored.
func (n *Node) sendAll(to []netip.Addr, message []byte) {
	if message == nil {
		return
	}
	for _, a := range to {
		n.Send(a, message)
	}
}

// shouldRelay reports whether a beacon advanced the confirmation time of the belief by so much that it must be relayed at
// once to a few peers of this failure domain. before is the previous confirmation time. n.mu is held.
func (n *Node) shouldRelay(now, before time.Time) bool {
	return n.asOf.Sub(before) >= n.PropagationBound/6 && n.fleetEstimate(now) >= maxDirect
}

// recipients picks the processes to which to send an update or beacon: all or some of each failure domain if wide is set, otherwise
// a few of this process's domain. n.mu is held.
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
		return n.sample(known, gossipFanout) // no other process of this domain is known
	}
	return to
}

// domainOf returns the hash of a process's failure domain, 0 if it isn't known. n.mu is held.
func (n *Node) domainOf(a netip.Addr) uint8 {
	if s, ok := n.Log.View().Server(a); ok {
		return belief.DomainHash(s.Domain)
	}
	if p := n.peers[a]; p != nil {
		return p.domain
	}
	return 0
}

// sameDomain reports whether a process is in this process's failure domain. n.mu is held.
func (n *Node) sameDomain(a netip.Addr) bool { return n.domainOf(a) == belief.DomainHash(n.Domain) }

// maxUpdateSize bounds the encoded change in a datagram, so that no link fragments it.
const maxUpdateSize = 1300

// encodeUpdate encodes a change as an update message, or returns nil if it is too large for a datagram.
func encodeUpdate(c belief.Change) []byte {
	text, err := encoding{}.Marshal(&c)
	if err != nil || len(text) > maxUpdateSize {
		return nil
	}
	m := msgs.Update{Change: text}
	m.Revision = c.To
	return m.AppendTo(nil)
}

// DecodeUpdate decodes the change in an update message.
func DecodeUpdate(text []byte) (c belief.Change, err error) {
	err = encoding{}.Unmarshal(text, &c)
	return c, err
}
