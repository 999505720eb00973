package paths

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var feed = netip.MustParseAddrPort("127.0.50.1:4000")

func entryAt(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.1.%d:7000", i))
}

// run sends a datagram each step and lets the entries that echoes selects answer probes. ackVia returns the
// entry through which the caller's acknowledgement arrives, if it does. run returns how many datagrams went
// through each entry.
func run(s *Selector, now time.Time, steps int, echoes func(netip.AddrPort) bool, ackVia func(sent netip.AddrPort) (netip.AddrPort, bool)) (sent map[netip.AddrPort]int, end time.Time) {
	sent = make(map[netip.AddrPort]int)
	const step = 20 * time.Millisecond
	for i := range steps {
		now = now.Add(step)
		if i%5 == 0 {
			for _, e := range s.Probes(now) {
				if echoes(e) {
					s.MarkAlive(now, e, false)
				}
			}
		}
		via, ok := s.Choose(now, feed)
		if !ok {
			continue
		}
		sent[via]++
		if by, ok := ackVia(via); ok {
			s.Received(now, by, feed, false)
		}
	}
	return sent, now
}

func selector(now time.Time, entries int) *Selector {
	s := New(100)
	for i := range entries {
		s.Received(now, entryAt(i+1), feed, false)
	}
	return s
}

func always(netip.AddrPort) bool { return true }

// A feed is open whose caller sends nothing, and the entry that the agent answers through fails. The feed
// must continue through another entry within half a second, although the agent is not notified.
func TestOneWayFeedLeavesDeadEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	s := selector(now, 4)
	first, _ := s.Choose(now, feed)
	alive := func(e netip.AddrPort) bool { return e != first }
	acked := func(e netip.AddrPort) (netip.AddrPort, bool) { return entryAt(1), false }
	_, now = run(s, now, 25, alive, acked)
	sent, _ := run(s, now, 50, alive, acked)
	assert.Equal(t, sent[first], 0)
	total := 0
	for _, n := range sent {
		total += n
	}
	assert.Equal(t, total, 50)
}

// An entry still works towards agents but no longer towards callers: probes are echoed, but no datagram
// arrives. At most half of the datagrams may go through it while the caller sends nothing, so that the
// connection recovers within a retransmission or two.
func TestHalfDeadEntryIsLeftByAlternating(t *testing.T) {
	now := time.Unix(1000, 0)
	s := selector(now, 4)
	dead, _ := s.Choose(now, feed)
	sent, _ := run(s, now, 100, always, func(via netip.AddrPort) (netip.AddrPort, bool) {
		return dead, false // no acknowledgement ever arrives
	})
	assert.Assert(t, sent[dead] <= 40, "%d of 100 datagrams through the entry that fails towards callers", sent[dead])
	assert.Assert(t, len(sent) == 4)
}

// An entry announces that it is stopping. No datagram may go through it from then on, even while it still
// runs.
func TestLeavingEntryIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	s := selector(now, 3)
	s.MarkAlive(now, entryAt(1), true)
	sent, _ := run(s, now, 60, func(e netip.AddrPort) bool { return e != entryAt(1) }, func(via netip.AddrPort) (netip.AddrPort, bool) { return entryAt(2), true })
	assert.Equal(t, sent[entryAt(1)], 0)
}

// An agent is paused for a minute. Afterwards every entry seems to have failed. The agent must go on sending
// and find the live entries by its probes.
func TestPauseLosesNobody(t *testing.T) {
	now := time.Unix(1000, 0)
	s := selector(now, 4)
	now = now.Add(time.Minute)
	via, ok := s.Choose(now, feed)
	assert.Assert(t, ok && via.IsValid())
	assert.Equal(t, len(s.Probes(now)), 4)
	s.MarkAlive(now, entryAt(3), false)
	via, _ = s.Choose(now, feed)
	assert.Equal(t, via, entryAt(3))
}

// With 800 known entries, only a few may be probed, or 6,800 agents would overload them.
func TestProbesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(100)
	for i := range 800 {
		e := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i % 250)}), 7000)
		s.Received(now, e, feed, false)
	}
	now = now.Add(FailAfter)
	s.Choose(now, feed)
	assert.Equal(t, len(s.Probes(now.Add(probeAfter))), maxActive)
}

// 6,800 agents answer feeds with a line each half second through 800 entries. If all entries without traffic
// were probed all the time, an entry would receive 37 KB a second, twice its budget. Acknowledgements of each
// line must suffice as liveness signals, and an idle agent must probe no entry.
func TestReactionsSpareProbes(t *testing.T) {
	now := time.Unix(1000, 0)
	s := selector(now, 4)
	probes := 0
	for range 20 {
		for range 5 {
			now = now.Add(ProbeEvery)
			probes += len(s.Probes(now))
		}
		s.Choose(now, feed)
		now = now.Add(30 * time.Millisecond)
		s.Received(now, entryAt(2), feed, false) // any entry may forward the acknowledgement
	}
	assert.Equal(t, probes, 0)
}

// A caller uploads without a pause while the entry that its acknowledgements go through has failed. The
// datagrams that it goes on sending must not count as reactions.
func TestUploadIsNoReaction(t *testing.T) {
	now := time.Unix(1000, 0)
	s := selector(now, 4)
	by, _ := s.Choose(now, feed)
	other := entryAt(1)
	if by == other {
		other = entryAt(2)
	}
	for range 300 {
		now = now.Add(time.Millisecond)
		s.Received(now, other, feed, false)
		s.Choose(now, feed)
	}
	assert.Equal(t, s.entries[by].lastReceived, time.Unix(1000, 0))
}

func TestMemoryIsBounded(t *testing.T) {
	s := New(10)
	now := time.Unix(1000, 0)
	for i := range 1000 {
		s.Received(now, netip.AddrPortFrom(entryAt(1).Addr(), uint16(i)), netip.AddrPortFrom(feed.Addr(), uint16(i)), false)
	}
	assert.Equal(t, len(s.callers), 10)
	s.Probes(now.Add(retention + time.Second))
	assert.Equal(t, len(s.callers)+len(s.entries), 0)
}

// upload simulates a caller that retransmits each unacknowledged datagram, each time after twice the pause,
// until it gives up after 5 s. Its datagrams arrive through the entry that reach returns, and answers arrive
// unless they go through an entry that lost selects. upload reports whether 100 datagrams were acknowledged.
func upload(s *Selector, now time.Time, from netip.AddrPort, reach func() netip.AddrPort, lost func(netip.AddrPort) bool) bool {
	const roundTrip, giveUp = 25 * time.Millisecond, 5 * time.Second
	for range 100 {
		waited := time.Duration(0)
		for pause := roundTrip; ; pause *= 2 {
			s.Received(now, reach(), from, false)
			via, ok := s.Choose(now, from)
			if ok && !lost(via) {
				now = now.Add(roundTrip)
				break
			}
			if waited += pause; waited > giveUp {
				return false
			}
			now = now.Add(pause)
			for _, e := range s.Probes(now) {
				s.MarkAlive(now, e, false)
			}
		}
	}
	return true
}

// A network partition leaves a caller that uploads with one entry only, while the agent reaches all entries.
// If any of them could answer, acknowledgements would go to the other side of the partition; and since the
// caller goes on sending, they would never count as overdue.
func TestPartedCallerIsAnsweredByEntriesThatHearIt(t *testing.T) {
	now := time.Unix(1000, 0)
	s := selector(now, 3)
	for i := range 30 {
		from := netip.AddrPortFrom(feed.Addr(), uint16(5000+i))
		whole := upload(s, now, from,
			func() netip.AddrPort { return entryAt(1) },
			func(via netip.AddrPort) bool { return via != entryAt(1) })
		assert.Assert(t, whole, "upload %d", i)
	}
}

// The path from one of three entries to callers is cut, the path towards it is not. Uploads that were
// answered through this entry must continue through the others: at most one in a hundred may meet the entry
// at each of its attempts within 5 s.
func TestUploadLeavesEntryThatNoLongerAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	broken := 0
	for i := range 1000 {
		s := selector(now, 3)
		from := netip.AddrPortFrom(feed.Addr(), uint16(5000+i))
		for range i % 3 {
			s.Received(now, entryAt(2), netip.AddrPortFrom(feed.Addr(), 1), false)
		}
		whole := upload(s, now, from,
			func() netip.AddrPort { return entryAt(1 + random.IntN(3)) },
			func(via netip.AddrPort) bool { return via == entryAt(1) })
		if !whole {
			broken++
		}
	}
	assert.Assert(t, broken <= 10, "%d of 1000 uploads interrupted", broken)
}

// One of three entries has stopped, and the path from one of the other two to callers is cut. An upload's
// next attempts arrive through either of the two at random. The entry that was just tried must not be used
// twice in a row, so that none of 1000 uploads is interrupted.
func TestUploadDoesNotTryTheSameEntryTwice(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	broken := 0
	for i := range 1000 {
		s := selector(now, 2)
		from := netip.AddrPortFrom(feed.Addr(), uint16(5000+i))
		whole := upload(s, now, from,
			func() netip.AddrPort { return entryAt(1 + random.IntN(2)) },
			func(via netip.AddrPort) bool { return via == entryAt(1) })
		if !whole {
			broken++
		}
	}
	assert.Equal(t, broken, 0)
}
