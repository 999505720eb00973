// Package paths chooses the entry by which an agent answers a caller.
//
// Pattern: a feed is one-way. The caller says nothing until it gets something, so
// an agent that answers by an entry which died hears nothing to correct it, and its
// QUIC backs off exponentially: in a trial the last of 100 feeds ended 56 s late. A
// sign of life is therefore kept for each entry, not for each flow: any frame
// from it counts, and an entry in use that falls quiet is probed.
//
// An entry may also work in one direction only. If agent to entry is cut, the
// echo of a probe is missing, for a probe makes the round trip. If entry to
// caller is cut, echoes come but the caller stays silent; so a caller that owes an
// acknowledgement too long makes its flow alternate between entries until it is
// heard again. And a caller that goes on sending while its answers are lost, as in
// an upload, is no silent one; so whenever a caller speaks after a pause, its
// answers go by the entry that brought its word. QUIC pauses longer after each loss,
// and the fabric brings its next word by any entry that the caller can reach: under a
// partition that is one of its own side. Within a stream of datagrams the entry
// stays the same, for alternating would reorder them.
//
// An agent answers by a small active set of entries. With 800 entries each is
// heard too seldom for its own datagrams to be its sign of life, and probing even
// four of them for each of 6,800 agents five times a second would cost an entry
// 37 KB a second. So a caller's reaction counts too: who was silent, is sent a datagram
// by an entry, and speaks at once by any other, has got it. Entries are probed only
// while one that is in use lacks any such sign.
//
// It does no input or output; time is handed in.
//
// # Usage
//
//	b := paths.New(limit)
//	b.Heard(now, entry, caller, leaving) // a Forward frame
//	entry, ok := b.Choose(now, caller)
//	for _, e := range b.Probes(now) { ... } // every ProbeEvery
package paths

import (
	"net/netip"
	"slices"
	"time"
)

// Thresholds.
const (
	// ProbeEvery is how often Probes is to be called.
	ProbeEvery = 100 * time.Millisecond
	// quietAfter is how long an entry in use may be quiet before it is probed.
	quietAfter = 150 * time.Millisecond
	// FailAfter is how long an entry may be quiet before flows leave it: a quiet
	// time, then two probes and a round trip of some milliseconds.
	FailAfter = 400 * time.Millisecond
	// activeSize is how many entries an agent answers by: enough that two may die
	// at once and a caller's datagrams alternate between two others.
	activeSize = 4
	// owedAfter is how long a caller may leave datagrams without a word. QUIC
	// acknowledges within 25 ms and a round trip of 2 to 8 ms; three times that
	// is no accident.
	owedAfter = 100 * time.Millisecond
	// pauseAfter is how long a caller must have said nothing for its next datagram to
	// change the entry it is answered by. Over the time of an acknowledgement, so
	// that a stream never changes; under the second retransmission, so that an
	// upload has six or more tries before an idle timeout of 5 s.
	pauseAfter = 50 * time.Millisecond
	// usedFor is how long after a datagram was sent by it an entry counts as in use.
	usedFor = time.Second
	// reactAfter is how long a caller must have been silent before a datagram for
	// its next word to be a reaction. Callers that stream, as in an upload, speak
	// all the time and prove nothing.
	reactAfter = 10 * time.Millisecond
	// owedCount is how many datagrams must be owed, so that a last datagram that
	// needs no acknowledgement starts nothing.
	owedCount = 2
	// forgetAfter is how long an entry or caller without any traffic is kept in
	// mind. QUIC's idle timeout, by our settings, is shorter.
	forgetAfter = 2 * time.Minute
	// maxEntries bounds the entries kept in mind: the size to design for has 800.
	maxEntries = 2048
)

// Selector is what one agent knows of entries and callers. It is not safe for
// concurrent use.
type Selector struct {
	limit   int // of callers
	entries map[netip.AddrPort]*entry
	callers map[netip.AddrPort]*caller
	active  []netip.AddrPort // at most activeSize keys of entries
	turn    int              // alternates through active
}

type entry struct {
	heard   time.Time
	used    time.Time // when a datagram was last sent by it
	leaving bool
}

type caller struct {
	heard time.Time
	owed  time.Time      // first datagram sent since heard
	count int            // datagrams sent since heard
	place int            // where in the active set its datagrams go
	by    netip.AddrPort // the entry of all datagrams sent since heard; not valid if there were several
	// via brought the caller's first word after its last pause, and is answered by
	// while it lives. Not valid while the caller owes an acknowledgement.
	via netip.AddrPort
}

// New returns an empty Book that keeps at most limit callers in mind.
func New(limit int) *Selector {
	return &Selector{
		limit:   limit,
		entries: make(map[netip.AddrPort]*entry),
		callers: make(map[netip.AddrPort]*caller),
	}
}

// Received notes a datagram of a caller that came by an entry. Leaving says that the
// entry stops soon.
func (b *Selector) Received(now time.Time, via, from netip.AddrPort, leaving bool) {
	b.MarkAlive(now, via, leaving)
	c := b.callers[from]
	if c == nil {
		if len(b.callers) >= b.limit {
			return // its answers go by any active entry
		}
		b.turn++
		c = &caller{place: b.turn}
		b.callers[from] = c
	}
	if c.reacts(now) {
		if e := b.entries[c.by]; e != nil {
			e.heard = now
		}
	}
	if now.Sub(c.heard) > pauseAfter {
		b.follow(now, c, via)
	}
	c.heard = now
	c.count = 0
}

// reacts says whether a caller that speaks now reacts to what it was sent.
func (c *caller) reacts(now time.Time) bool {
	return c.count > 0 && c.owed.Sub(c.heard) > reactAfter && now.Sub(c.owed) < owedAfter
}

// follow lets a caller that spoke after a pause be answered by the entry that
// brought its word. If that entry was sent the last answers too, and they have
// been owed for as long as a pause, they may be lost for good: another is tried.
func (b *Selector) follow(now time.Time, c *caller, via netip.AddrPort) {
	owing := c.count > 0 && now.Sub(c.owed) > pauseAfter
	if !owing || c.via != via {
		c.via = via
		return
	}
	c.via = netip.AddrPort{}
	for range b.active {
		c.place++
		if b.from(now, c.place) != via {
			return
		}
	}
}

// MarkAlive notes a sign of life of an entry.
func (b *Selector) MarkAlive(now time.Time, via netip.AddrPort, leaving bool) {
	e := b.entries[via]
	if e == nil {
		if len(b.entries) >= maxEntries {
			return
		}
		e = &entry{}
		b.entries[via] = e
	}
	e.heard = now
	e.leaving = leaving
	if !leaving && len(b.active) < activeSize && !slices.Contains(b.active, via) {
		b.active = append(b.active, via)
	}
}

// Choose names the entry by which a datagram goes to a caller, and notes the
// sending. It reports false when no entry is known at all.
func (b *Selector) Choose(now time.Time, to netip.AddrPort) (via netip.AddrPort, ok bool) {
	if len(b.active) == 0 {
		return b.any()
	}
	c := b.callers[to]
	if c == nil {
		b.turn++
		via = b.from(now, b.turn)
	} else {
		via = b.forCaller(now, c)
	}
	b.entries[via].used = now
	return via, true
}

// forCaller names the entry for a datagram to a caller, and notes the sending.
func (b *Selector) forCaller(now time.Time, c *caller) (via netip.AddrPort) {
	if c.count == 0 {
		c.owed = now
	}
	c.count++
	if c.count > owedCount && now.Sub(c.owed) > owedAfter {
		c.via = netip.AddrPort{}
		c.place++
	}
	via = c.via
	if e := b.entries[via]; e == nil || !e.live(now) {
		via = b.from(now, c.place)
	}
	if c.count == 1 {
		c.by = via
	} else if c.by != via {
		c.by = netip.AddrPort{}
	}
	return via
}

// from names the first live entry of the active set from a place on. With none
// live it keeps to the place: a datagram lost costs less than one not sent, and
// the next call of Probes mends the set.
func (b *Selector) from(now time.Time, place int) netip.AddrPort {
	n := len(b.active)
	for i := range n {
		a := b.active[(place+i)%n]
		if b.entries[a].live(now) {
			return a
		}
	}
	return b.active[place%n]
}

// any is for the moment when no entry is active: all known ones are leaving.
func (b *Selector) any() (via netip.AddrPort, ok bool) {
	for a := range b.entries {
		return a, true
	}
	return netip.AddrPort{}, false
}

func (e *entry) live(now time.Time) bool {
	return !e.leaving && now.Sub(e.heard) < FailAfter
}

// Probes mends the active set and names the entries to be probed now: once one of
// those in use is quiet, all active ones that are, so that a live one is known before
// the quiet one is given up. It also forgets what has had no traffic for long.
func (b *Selector) Probes(now time.Time) (quiet []netip.AddrPort) {
	doubt := false
	for _, a := range b.active {
		e := b.entries[a]
		silent := now.Sub(e.heard) > quietAfter
		doubt = doubt || silent && e.used.After(e.heard) && now.Sub(e.used) < usedFor
	}
	b.forget(now)
	b.mend(now)
	if !doubt {
		return nil
	}
	for _, a := range b.active {
		if now.Sub(b.entries[a].heard) > quietAfter {
			quiet = append(quiet, a)
		}
	}
	return quiet
}

// mend replaces active entries that are lost or leaving by live ones heard most
// lately. A lost one without a successor stays, and goes on being probed: after an
// agent was paused, or cut off from all entries, every entry looks lost.
func (b *Selector) mend(now time.Time) {
	var spare []netip.AddrPort
	for a, e := range b.entries {
		if e.live(now) && !slices.Contains(b.active, a) {
			spare = append(spare, a)
		}
	}
	slices.SortFunc(spare, func(x, y netip.AddrPort) int {
		return b.entries[y].heard.Compare(b.entries[x].heard)
	})
	for i, a := range b.active {
		if len(spare) == 0 {
			return
		}
		if !b.entries[a].live(now) {
			b.active[i] = spare[0]
			spare = spare[1:]
		}
	}
	room := min(activeSize-len(b.active), len(spare))
	b.active = append(b.active, spare[:max(room, 0)]...)
}

func (b *Selector) forget(now time.Time) {
	for a, e := range b.entries {
		if now.Sub(e.heard) > forgetAfter {
			delete(b.entries, a)
		}
	}
	b.active = slices.DeleteFunc(b.active, func(a netip.AddrPort) bool {
		return b.entries[a] == nil
	})
	for a, c := range b.callers {
		if now.Sub(c.heard) > forgetAfter {
			delete(b.callers, a)
		}
	}
}

// Status is one entry as an operator sees it.
type Status struct {
	Entry   netip.AddrPort
	Quiet   time.Duration // since its last sign of life
	Live    bool
	Leaving bool
	Active  bool // answers go by it
}

// Status lists the entries known.
func (b *Selector) Status(now time.Time) (list []Status) {
	for a, e := range b.entries {
		list = append(list, Status{
			Entry:   a,
			Quiet:   now.Sub(e.heard),
			Live:    e.live(now),
			Leaving: e.leaving,
			Active:  slices.Contains(b.active, a),
		})
	}
	slices.SortFunc(list, func(x, y Status) int { return x.Entry.Compare(y.Entry) })
	return list
}
