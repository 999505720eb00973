package route

import "time"

// Thresholds of Watch.
const (
	// UnresponsiveAfter is how long a server may leave opened flows without any frame
	// before it counts as silent. An agent answers a first flight in a round trip
	// of 2 to 6 ms between failure domains; half a second outlasts a pause for
	// collection or a lost datagram and is under a caller's second attempt.
	UnresponsiveAfter = 500 * time.Millisecond
	// silentOpeners is how many unanswered openers it takes, so that one lost
	// datagram condemns nobody.
	silentOpeners = 3
	// RetryAfter is how long a silent server is passed over before one flow tries it again.
	RetryAfter = 2 * time.Second
	// silentShare bounds the servers that may count as silent: an entry that
	// hears nobody has lost its own link, and would otherwise drown the last
	// server it happened to hear.
	silentShare = 2 // one in two
)

// Detector notices servers that no longer answer, from the traffic itself: a process
// that died or froze stays on the platform's list for a long time. Its failure
// shows as openers that nothing comes back for. It is soft state; a wrong belief
// costs one flow a longer way, since an agent decides by itself.
//
// A Watch is not safe for concurrent use.
type Detector struct {
	servers map[uint32]*sign
}

type sign struct {
	heard    time.Time
	opened   time.Time // first opener since heard
	openers  int
	silent   bool
	attempts time.Time // last time a silent one was tried
}

// NewDetector returns a Watch that believes all servers well.
func NewDetector() *Detector { return &Detector{servers: make(map[uint32]*sign)} }

func (w *Detector) sign(id uint32) *sign {
	s := w.servers[id]
	if s == nil {
		s = &sign{}
		w.servers[id] = s
	}
	return s
}

// Received notes any frame from a server. It reports whether the server was silent until now.
func (w *Detector) Received(now time.Time, id uint32) (changed bool) {
	s := w.sign(id)
	changed = s.silent
	*s = sign{heard: now}
	return changed
}

// SentOpening notes that a flow's first datagram was sent to a server. It reports
// whether the server counts as silent from now on.
func (w *Detector) SentOpening(now time.Time, id uint32) (changed bool) {
	s := w.sign(id)
	if s.openers == 0 {
		s.opened = now
	}
	s.openers++
	s.attempts = now
	if s.silent || s.openers < silentOpeners || now.Sub(s.opened) < UnresponsiveAfter {
		return false
	}
	if (w.count()+1)*silentShare > len(w.servers) {
		return false
	}
	s.silent = true
	return true
}

// Unresponsive says whether a server is to be passed over now. Once in RetryAfter it
// is not, so that a flow finds out whether the server is back.
func (w *Detector) Unresponsive(now time.Time, id uint32) bool {
	s := w.servers[id]
	return s != nil && s.silent && now.Sub(s.attempts) < RetryAfter
}

// Retain forgets all servers but those named, so that the state is bounded by the document.
func (w *Detector) Retain(ids []uint32) {
	kept := make(map[uint32]*sign, len(ids))
	for _, id := range ids {
		kept[id] = w.sign(id)
	}
	w.servers = kept
}

func (w *Detector) count() (n int) {
	for _, s := range w.servers {
		if s.silent {
			n++
		}
	}
	return n
}
