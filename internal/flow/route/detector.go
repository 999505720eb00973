package route

import "time"

// Thresholds of Detector.
const (
	// UnresponsiveAfter is how long opening datagrams to a server may remain without any frame from it before
	// it counts as unresponsive. An agent answers a first flight within a round trip of 2 to 6 ms between
	// failure domains. Half a second is longer than a garbage collection pause or the effect of a lost
	// datagram, and shorter than the time to a caller's second attempt.
	UnresponsiveAfter = 500 * time.Millisecond
	// minOpenings is the number of unanswered opening datagrams from which a server may count as
	// unresponsive, so that a single lost datagram is not enough.
	minOpenings = 3
	// RetryAfter is how long an unresponsive server gets no new flow before one flow tries it again.
	RetryAfter = 2 * time.Second
	// unresponsiveDivisor bounds the share of servers that may count as unresponsive. An entry that receives
	// no frames at all has lost its own link, and would otherwise overload the last server that it received a
	// frame from.
	unresponsiveDivisor = 2 // one in two
)

// Detector detects unresponsive servers from the traffic alone: a process that crashed or froze stays on the
// platform's list for a long time, but opening datagrams sent to it remain without an answer. A wrong
// decision only makes a flow take a longer path, because agents decide for themselves whether to take a flow.
//
// A Detector is not safe for concurrent use.
type Detector struct {
	servers map[uint32]*serverState
}

type serverState struct {
	lastReceived time.Time
	firstOpening time.Time // first opening datagram since lastReceived
	openings     int
	unresponsive bool
	lastOpening  time.Time // last opening datagram
}

// NewDetector returns a Detector for which all servers are responsive.
func NewDetector() *Detector { return &Detector{servers: make(map[uint32]*serverState)} }

func (d *Detector) state(id uint32) *serverState {
	s := d.servers[id]
	if s == nil {
		s = &serverState{}
		d.servers[id] = s
	}
	return s
}

// Received records any frame from a server. It reports whether the server was unresponsive until now.
func (d *Detector) Received(now time.Time, id uint32) (changed bool) {
	s := d.state(id)
	changed = s.unresponsive
	*s = serverState{lastReceived: now}
	return changed
}

// SentOpening records that a flow's opening datagram was sent to a server. It reports whether the server
// thereby becomes unresponsive.
func (d *Detector) SentOpening(now time.Time, id uint32) (changed bool) {
	s := d.state(id)
	if s.openings == 0 {
		s.firstOpening = now
	}
	s.openings++
	s.lastOpening = now
	if s.unresponsive || s.openings < minOpenings || now.Sub(s.firstOpening) < UnresponsiveAfter {
		return false
	}
	if (d.countUnresponsive()+1)*unresponsiveDivisor > len(d.servers) {
		return false
	}
	s.unresponsive = true
	return true
}

// Unresponsive reports whether a server is to get no new flows now. Once in RetryAfter an unresponsive server
// gets one, to find out whether it answers again.
func (d *Detector) Unresponsive(now time.Time, id uint32) bool {
	s := d.servers[id]
	return s != nil && s.unresponsive && now.Sub(s.lastOpening) < RetryAfter
}

// Retain removes all servers except those named, so that the state is bounded by the document.
func (d *Detector) Retain(ids []uint32) {
	kept := make(map[uint32]*serverState, len(ids))
	for _, id := range ids {
		kept[id] = d.state(id)
	}
	d.servers = kept
}

func (d *Detector) countUnresponsive() (n int) {
	for _, s := range d.servers {
		if s.unresponsive {
			n++
		}
	}
	return n
}
