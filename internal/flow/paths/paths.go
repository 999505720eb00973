// Package paths chooses the entry through which an agent sends datagrams to a caller.
//
// A feed sends in one direction: its caller sends nothing until it receives something. If the entry that an
// agent answers through has failed, the agent thus receives nothing that would show the failure, and QUIC
// backs off exponentially: the last of 100 feeds ended 56 s late. The agent therefore tracks when it last
// received a frame, of any flow, from each entry, and probes an entry in use from which it receives none.
//
// An entry may also work in one direction only. If the path from agent to entry is cut, the echo of a probe
// is missing, because a probe makes the round trip. If the path from entry to caller is cut, echoes arrive
// but the caller sends nothing. As soon as an acknowledgement of the caller is overdue, datagrams to this
// caller alternate between entries until the caller sends again. A caller that goes on sending although its
// answers are lost, as in an upload, is not detected in this way. Whenever a caller sends after a pause, its
// answers therefore go through the entry that forwarded its datagram. QUIC pauses longer after each loss, and
// the fabric delivers the caller's next datagram through any entry that the caller can reach: during a
// network partition, one on its own side. Within a stream of datagrams the entry stays the same, because
// alternating would reorder them.
//
// An agent answers through a small active set of entries. With 800 entries, an agent receives too few
// datagrams from each of them to detect failures from those alone, and if each of 6,800 agents probed only
// four entries five times a second, an entry would receive 37 KB a second. A caller's reaction is therefore
// a liveness signal as well: if a caller that has sent nothing is sent a datagram through an entry and sends
// one at once through any other entry, the first entry has delivered the datagram. Entries are probed only
// while one in use lacks liveness signals of both kinds.
//
// The package does no input or output. The current time is a parameter.
//
// # Usage
//
//	s := paths.New(limit)
//	s.Received(now, entry, caller, leaving) // for each Forward frame
//	entry, ok := s.Choose(now, caller)
//	for _, e := range s.Probes(now) { ... } // every ProbeEvery
package paths

import (
	"net/netip"
	"slices"
	"time"
)

// Thresholds.
const (
	// ProbeEvery is the interval at which Probes is to be called.
	ProbeEvery = 100 * time.Millisecond
	// probeAfter is the time without a liveness signal, which is a frame from the entry or a caller's
	// reaction, after which an entry in use is probed.
	probeAfter = 150 * time.Millisecond
	// FailAfter is the time without a liveness signal after which an entry counts as failed and flows leave
	// it: time for probeAfter, two probes and a round trip of some milliseconds.
	FailAfter = 400 * time.Millisecond
	// maxActive is the number of entries in the active set. With four, two may fail at once and a caller's
	// datagrams can still alternate between two others.
	maxActive = 4
	// unackedTimeout is how long a caller may leave datagrams without an acknowledgement. QUIC acknowledges
	// within 25 ms and a round trip of 2 to 8 ms; three times as long indicates a loss.
	unackedTimeout = 100 * time.Millisecond
	// minPause is how long a caller must have sent nothing for its next datagram to change the entry that it
	// is answered through. It is longer than the delay of an acknowledgement, so that the entry never changes
	// within a stream, and shorter than the time to the second retransmission, so that an upload has six or
	// more attempts before an idle timeout of 5 s.
	minPause = 50 * time.Millisecond
	// inUseFor is how long an entry counts as in use after a datagram was sent through it.
	inUseFor = time.Second
	// minSilence is how long a caller must have sent nothing before it is sent a datagram, for its next
	// datagram to count as a reaction. Callers that stream, as in an upload, send all the time, which proves
	// nothing.
	minSilence = 10 * time.Millisecond
	// minUnacked is the number of unacknowledged datagrams above which an acknowledgement can be overdue, so
	// that a last datagram that needs no acknowledgement does not change the entry.
	minUnacked = 2
	// retention is how long an entry or a caller without traffic is kept. The idle timeout of QUIC in this
	// project's settings is shorter.
	retention = 2 * time.Minute
	// maxEntries bounds the number of entries kept. The largest deployment that the design covers has 800.
	maxEntries = 2048
)

// Selector holds an agent's state of entries and callers. It is not safe for concurrent use.
type Selector struct {
	limit     int // number of callers
	entries   map[netip.AddrPort]*entry
	callers   map[netip.AddrPort]*caller
	active    []netip.AddrPort // at most maxActive keys of entries
	nextIndex int              // index of the next caller, to spread callers over active
}

type entry struct {
	lastReceived time.Time // last liveness signal: a frame from it, or a reaction to a datagram sent through it
	lastSent     time.Time // when a datagram was last sent through it
	leaving      bool
}

type caller struct {
	lastReceived time.Time
	unackedSince time.Time      // when the first datagram was sent since lastReceived
	unacked      int            // datagrams sent since lastReceived
	index        int            // position in the active set, modulo its size
	sentVia      netip.AddrPort // entry of all datagrams sent since lastReceived; not valid if there were several
	// via is the entry that forwarded the caller's first datagram after its last pause. The caller is
	// answered through this entry while the entry is live. via is not valid while an acknowledgement of the
	// caller is overdue.
	via netip.AddrPort
}

// New returns an empty Selector that keeps at most limit callers.
func New(limit int) *Selector {
	return &Selector{
		limit:   limit,
		entries: make(map[netip.AddrPort]*entry),
		callers: make(map[netip.AddrPort]*caller),
	}
}

// Received records a caller's datagram that arrived through the entry via. leaving reports whether the entry
// is about to stop.
func (s *Selector) Received(now time.Time, via, from netip.AddrPort, leaving bool) {
	s.MarkAlive(now, via, leaving)
	c := s.callers[from]
	if c == nil {
		if len(s.callers) >= s.limit {
			return // its answers go through any active entry
		}
		s.nextIndex++
		c = &caller{index: s.nextIndex}
		s.callers[from] = c
	}
	if c.isReaction(now) {
		if e := s.entries[c.sentVia]; e != nil {
			e.lastReceived = now
		}
	}
	if now.Sub(c.lastReceived) > minPause {
		s.updateVia(now, c, via)
	}
	c.lastReceived = now
	c.unacked = 0
}

// isReaction reports whether a datagram that the caller sends now is a reaction to the datagrams sent to it.
func (c *caller) isReaction(now time.Time) bool {
	return c.unacked > 0 && c.unackedSince.Sub(c.lastReceived) > minSilence && now.Sub(c.unackedSince) < unackedTimeout
}

// updateVia chooses the entry for the answers to a caller that has sent a datagram after a pause: the entry
// that forwarded the datagram. If the last answers went through this entry too and have been unacknowledged
// for longer than minPause, its path to the caller may be cut, and another entry is tried.
func (s *Selector) updateVia(now time.Time, c *caller, via netip.AddrPort) {
	overdue := c.unacked > 0 && now.Sub(c.unackedSince) > minPause
	if !overdue || c.via != via {
		c.via = via
		return
	}
	c.via = netip.AddrPort{}
	for range s.active {
		c.index++
		if s.liveFrom(now, c.index) != via {
			return
		}
	}
}

// MarkAlive records that a frame was received from an entry.
func (s *Selector) MarkAlive(now time.Time, via netip.AddrPort, leaving bool) {
	e := s.entries[via]
	if e == nil {
		if len(s.entries) >= maxEntries {
			return
		}
		e = &entry{}
		s.entries[via] = e
	}
	e.lastReceived = now
	e.leaving = leaving
	if !leaving && len(s.active) < maxActive && !slices.Contains(s.active, via) {
		s.active = append(s.active, via)
	}
}

// Choose returns the entry through which to send a datagram to a caller, and records that it is sent. ok is
// false if no entry is known.
func (s *Selector) Choose(now time.Time, to netip.AddrPort) (via netip.AddrPort, ok bool) {
	if len(s.active) == 0 {
		return s.any()
	}
	c := s.callers[to]
	if c == nil {
		s.nextIndex++
		via = s.liveFrom(now, s.nextIndex)
	} else {
		via = s.entryFor(now, c)
	}
	s.entries[via].lastSent = now
	return via, true
}

// entryFor returns the entry for a datagram to a caller, and records that it is sent.
func (s *Selector) entryFor(now time.Time, c *caller) (via netip.AddrPort) {
	if c.unacked == 0 {
		c.unackedSince = now
	}
	c.unacked++
	if c.unacked > minUnacked && now.Sub(c.unackedSince) > unackedTimeout {
		c.via = netip.AddrPort{}
		c.index++
	}
	via = c.via
	if e := s.entries[via]; e == nil || !e.live(now) {
		via = s.liveFrom(now, c.index)
	}
	if c.unacked == 1 {
		c.sentVia = via
	} else if c.sentVia != via {
		c.sentVia = netip.AddrPort{}
	}
	return via
}

// liveFrom returns the first live entry of the active set from an index on. If none is live, it returns the
// one at the index: a lost datagram costs less than one that is not sent, and the next call of Probes
// refreshes the set.
func (s *Selector) liveFrom(now time.Time, index int) netip.AddrPort {
	n := len(s.active)
	for i := range n {
		a := s.active[(index+i)%n]
		if s.entries[a].live(now) {
			return a
		}
	}
	return s.active[index%n]
}

// any returns any known entry. It serves when no entry is active because all known ones are leaving.
func (s *Selector) any() (via netip.AddrPort, ok bool) {
	for a := range s.entries {
		return a, true
	}
	return netip.AddrPort{}, false
}

func (e *entry) live(now time.Time) bool {
	return !e.leaving && now.Sub(e.lastReceived) < FailAfter
}

// Probes refreshes the active set and returns the entries to be probed now. As soon as an entry in use has
// given no liveness signal for probeAfter, these are all active entries without one for that long, so that a
// live entry is known before the one in use counts as failed. Probes also evicts entries and callers that have
// had no traffic for longer than retention.
func (s *Selector) Probes(now time.Time) (toProbe []netip.AddrPort) {
	suspect := false
	for _, a := range s.active {
		e := s.entries[a]
		idle := now.Sub(e.lastReceived) > probeAfter
		suspect = suspect || idle && e.lastSent.After(e.lastReceived) && now.Sub(e.lastSent) < inUseFor
	}
	s.evict(now)
	s.refreshActive(now)
	if !suspect {
		return nil
	}
	for _, a := range s.active {
		if now.Sub(s.entries[a].lastReceived) > probeAfter {
			toProbe = append(toProbe, a)
		}
	}
	return toProbe
}

// refreshActive replaces active entries that have failed or are leaving by the live ones that a frame was
// received from most recently. A failed entry without a replacement stays and continues to be probed: after
// an agent was paused, or cut off from all entries, every entry seems to have failed.
func (s *Selector) refreshActive(now time.Time) {
	var spare []netip.AddrPort
	for a, e := range s.entries {
		if e.live(now) && !slices.Contains(s.active, a) {
			spare = append(spare, a)
		}
	}
	slices.SortFunc(spare, func(x, y netip.AddrPort) int {
		return s.entries[y].lastReceived.Compare(s.entries[x].lastReceived)
	})
	for i, a := range s.active {
		if len(spare) == 0 {
			return
		}
		if !s.entries[a].live(now) {
			s.active[i] = spare[0]
			spare = spare[1:]
		}
	}
	free := min(maxActive-len(s.active), len(spare))
	s.active = append(s.active, spare[:max(free, 0)]...)
}

func (s *Selector) evict(now time.Time) {
	for a, e := range s.entries {
		if now.Sub(e.lastReceived) > retention {
			delete(s.entries, a)
		}
	}
	s.active = slices.DeleteFunc(s.active, func(a netip.AddrPort) bool {
		return s.entries[a] == nil
	})
	for a, c := range s.callers {
		if now.Sub(c.lastReceived) > retention {
			delete(s.callers, a)
		}
	}
}

// Status is the state of an entry for operators. It is encoded under the names of its fields.
type Status struct {
	Entry   netip.AddrPort
	Quiet   time.Duration // time since the last liveness signal
	Live    bool
	Leaving bool
	Active  bool // it is in the active set
}

// Status returns the state of all known entries.
func (s *Selector) Status(now time.Time) (list []Status) {
	for a, e := range s.entries {
		list = append(list, Status{
			Entry:   a,
			Quiet:   now.Sub(e.lastReceived),
			Live:    e.live(now),
			Leaving: e.leaving,
			Active:  slices.Contains(s.active, a),
		})
	}
	slices.SortFunc(list, func(x, y Status) int { return x.Entry.Compare(y.Entry) })
	return list
}
