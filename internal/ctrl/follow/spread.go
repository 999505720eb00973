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
	// widest is up to how many peers a reader tells directly.
	widest = 64
	// perDomain is how many processes of each failure domain a reader of a larger fleet tells.
	perDomain = 4
	// rumours is how many peers of its domain hear of news from who learned it from another: it reaches 94 of a hundred.
	rumours = 3
)

// tell sends what the process knows. News that fit into a datagram go to all peers or some of each failure domain from a reader, to
// a few of the own domain from others; of others only the revision is told, and peers fetch them.
func (n *Node) tell(now time.Time, news *belief.Change, reader bool) {
	n.mu.Lock()
	to := n.audience(reader || n.leaving)
	beaconTo := to
	if reader || n.leaving {
		beaconTo = n.without(n.known(), widest)
	}
	message := n.beacon(now, false)
	n.mu.Unlock()
	if news != nil && !news.Full {
		n.sendAll(to, encodeNews(*news))
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

// passesOn says whether a beacon has made the belief so much fresher that a few near peers are to hear of it at once. Before
// is as of when the belief was complete until then. n.mu is held.
func (n *Node) passesOn(now, before time.Time) bool {
	return n.asOf.Sub(before) >= n.PropagationBound/6 && n.fleetAtLeast(now) >= widest
}

// audience picks whom to tell now. n.mu is held.
func (n *Node) audience(wide bool) []netip.Addr {
	known := n.known()
	if wide && len(known) <= widest {
		return n.without(known, widest)
	}
	domains := map[uint8][]netip.Addr{}
	for _, a := range known {
		d := n.domainOf(a)
		domains[d] = append(domains[d], a)
	}
	if wide {
		var to []netip.Addr
		for _, list := range domains {
			to = append(to, n.without(list, perDomain)...)
		}
		return to
	}
	to := n.without(domains[belief.DomainHash(n.Domain)], rumours)
	if len(to) == 0 {
		return n.without(known, rumours) // alone in its domain, or nobody's domain is known yet
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

// near says whether a process is in the failure domain of this one. n.mu is held.
func (n *Node) near(a netip.Addr) bool { return n.domainOf(a) == belief.DomainHash(n.Domain) }

// newsSize bounds the encoded change in one datagram, which passes any link unfragmented.
const newsSize = 1300

func encodeNews(c belief.Change) []byte {
	text, err := encoding{}.Marshal(&c)
	if err != nil || len(text) > newsSize {
		return nil
	}
	m := msgs.Update{Change: text}
	m.Revision = c.To
	return m.AppendTo(nil)
}

// DecodeUpdate reads the change of a message of kind news.
func DecodeUpdate(text []byte) (c belief.Change, err error) {
	err = encoding{}.Unmarshal(text, &c)
	return c, err
}
