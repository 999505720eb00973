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

// run sends a datagram each step and lets live entries echo probes; answers says
// whether the caller's acknowledgements come, by an entry that brings them. It
// returns how many datagrams went to each entry.
func run(b *Selector, now time.Time, steps int, echoes func(netip.AddrPort) bool, heardBy func(sent netip.AddrPort) (netip.AddrPort, bool)) (sent map[netip.AddrPort]int, end time.Time) {
	sent = make(map[netip.AddrPort]int)
	const step = 20 * time.Millisecond
	for i := range steps {
		now = now.Add(step)
		if i%5 == 0 {
			for _, e := range b.Probes(now) {
				if echoes(e) {
					b.MarkAlive(now, e, false)
				}
			}
		}
		via, ok := b.Choose(now, feed)
		if !ok {
			continue
		}
		sent[via]++
		if by, ok := heardBy(via); ok {
			b.Received(now, by, feed, false)
		}
	}
	return sent, now
}

func book(now time.Time, entries int) *Selector {
	b := New(100)
	for i := range entries {
		b.Received(now, entryAt(i+1), feed, false)
	}
	return b
}

func always(netip.AddrPort) bool { return true }

// A caseworker has a feed open and says nothing. The balancer that the agent
// answers by dies. The feed must go on by another within half a second, although
// nobody tells the agent.
func TestOneWayFeedLeavesDeadEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	b := book(now, 4)
	first, _ := b.Choose(now, feed)
	alive := func(e netip.AddrPort) bool { return e != first }
	acked := func(e netip.AddrPort) (netip.AddrPort, bool) { return entryAt(1), false }
	_, now = run(b, now, 25, alive, acked)
	sent, _ := run(b, now, 50, alive, acked)
	assert.Equal(t, sent[first], 0)
	total := 0
	for _, n := range sent {
		total += n
	}
	assert.Equal(t, total, 50)
}

// A balancer works towards agents but no longer towards callers: probes are echoed,
// and nothing arrives. Half of the datagrams or fewer may be lost to it while the
// caller is silent, so that the connection recovers within a retransmission or two.
func TestHalfDeadEntryIsLeftByAlternating(t *testing.T) {
	now := time.Unix(1000, 0)
	b := book(now, 4)
	dead, _ := b.Choose(now, feed)
	sent, _ := run(b, now, 100, always, func(via netip.AddrPort) (netip.AddrPort, bool) {
		return dead, false // nothing is ever heard
	})
	assert.Assert(t, sent[dead] <= 40, "%d of 100 by the half dead entry", sent[dead])
	assert.Assert(t, len(sent) == 4)
}

// A balancer says that it stops. No datagram goes by it from then on, before it is gone.
func TestLeavingEntryIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	b := book(now, 3)
	b.MarkAlive(now, entryAt(1), true)
	sent, _ := run(b, now, 60, func(e netip.AddrPort) bool { return e != entryAt(1) }, func(via netip.AddrPort) (netip.AddrPort, bool) { return entryAt(2), true })
	assert.Equal(t, sent[entryAt(1)], 0)
}

// An agent is paused for a minute and wakes. Every balancer looks lost to it. It
// must go on sending, and find the live ones by its probes.
func TestPauseLosesNobody(t *testing.T) {
	now := time.Unix(1000, 0)
	b := book(now, 4)
	now = now.Add(time.Minute)
	via, ok := b.Choose(now, feed)
	assert.Assert(t, ok && via.IsValid())
	assert.Equal(t, len(b.Probes(now)), 4)
	b.MarkAlive(now, entryAt(3), false)
	via, _ = b.Choose(now, feed)
	assert.Equal(t, via, entryAt(3))
}

// With 800 entries heard, only a few may be probed, or 6,800 agents would drown them.
func TestProbesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(100)
	for i := range 800 {
		e := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i % 250)}), 7000)
		b.Received(now, e, feed, false)
	}
	now = now.Add(FailAfter)
	b.Choose(now, feed)
	assert.Equal(t, len(b.Probes(now.Add(quietAfter))), activeSize)
}

// 6,800 agents answer feeds that have a line each half second, by 800 entries. Probing
// the quiet ones all the time cost an entry 37 KB a second, twice its budget. Callers
// that acknowledge each line must be sign enough, and an idle agent must probe nobody.
func TestReactionsSpareProbes(t *testing.T) {
	now := time.Unix(1000, 0)
	b := book(now, 4)
	probes := 0
	for range 20 {
		for range 5 {
			now = now.Add(ProbeEvery)
			probes += len(b.Probes(now))
		}
		b.Choose(now, feed)
		now = now.Add(30 * time.Millisecond)
		b.Received(now, entryAt(2), feed, false) // whichever entry brings the acknowledgement
	}
	assert.Equal(t, probes, 0)
}

// A caller uploads without a pause while the entry that brings it acknowledgements is
// dead. What it goes on sending must not count as a reaction.
func TestUploadIsNoReaction(t *testing.T) {
	now := time.Unix(1000, 0)
	b := book(now, 4)
	by, _ := b.Choose(now, feed)
	other := entryAt(1)
	if by == other {
		other = entryAt(2)
	}
	for range 300 {
		now = now.Add(time.Millisecond)
		b.Received(now, other, feed, false)
		b.Choose(now, feed)
	}
	assert.Equal(t, b.entries[by].heard, time.Unix(1000, 0))
}

func TestBooksAreBounded(t *testing.T) {
	b := New(10)
	now := time.Unix(1000, 0)
	for i := range 1000 {
		b.Received(now, netip.AddrPortFrom(entryAt(1).Addr(), uint16(i)), netip.AddrPortFrom(feed.Addr(), uint16(i)), false)
	}
	assert.Equal(t, len(b.callers), 10)
	b.Probes(now.Add(forgetAfter + time.Second))
	assert.Equal(t, len(b.callers)+len(b.entries), 0)
}

// upload plays a caller that sends and sends again what is not acknowledged, each
// time after twice the pause, until it gives up after 5 s. Its datagrams come by
// one of the entries reach names, and answers arrive unless lost says otherwise.
// It reports whether 100 datagrams were acknowledged.
func upload(b *Selector, now time.Time, from netip.AddrPort, reach func() netip.AddrPort, lost func(netip.AddrPort) bool) bool {
	const roundTrip, giveUp = 25 * time.Millisecond, 5 * time.Second
	for range 100 {
		silent := time.Duration(0)
		for pause := roundTrip; ; pause *= 2 {
			b.Received(now, reach(), from, false)
			via, ok := b.Choose(now, from)
			if ok && !lost(via) {
				now = now.Add(roundTrip)
				break
			}
			if silent += pause; silent > giveUp {
				return false
			}
			now = now.Add(pause)
			for _, e := range b.Probes(now) {
				b.MarkAlive(now, e, false)
			}
		}
	}
	return true
}

// A network partition leaves some callers one entry only. An heir uploads a scan
// through it. The agent is heard by all entries and believed that any of them may
// answer, so its acknowledgements went to the other side; and since the heir went
// on sending, the rule for silent callers never looked for another way.
func TestPartedCallerIsAnsweredByEntriesThatHearIt(t *testing.T) {
	now := time.Unix(1000, 0)
	b := book(now, 3)
	for i := range 30 {
		from := netip.AddrPortFrom(feed.Addr(), uint16(5000+i))
		whole := upload(b, now, from,
			func() netip.AddrPort { return entryAt(1) },
			func(via netip.AddrPort) bool { return via != entryAt(1) })
		assert.Assert(t, whole, "upload %d", i)
	}
}

// The way from one of three entries to callers is cut, the way towards it is not.
// Uploads that were answered by it go on by the others: at worst one in a
// hundred meets the cut entry at each of the tries it has in 5 s.
func TestUploadLeavesEntryThatNoLongerAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	broken := 0
	for i := range 1000 {
		b := book(now, 3)
		from := netip.AddrPortFrom(feed.Addr(), uint16(5000+i))
		for range i % 3 {
			b.Received(now, entryAt(2), netip.AddrPortFrom(feed.Addr(), 1), false)
		}
		whole := upload(b, now, from,
			func() netip.AddrPort { return entryAt(1 + random.IntN(3)) },
			func(via netip.AddrPort) bool { return via == entryAt(1) })
		if !whole {
			broken++
		}
	}
	assert.Assert(t, broken <= 10, "%d of 1000 uploads cut", broken)
}

// One of three entries has stopped, and from one of the other two the way to callers
// is cut. An upload's next tries come by either at random; the one that had its
// chance is not taken twice running, so that none of 1000 is cut.
func TestUploadDoesNotTryTheSameEntryTwice(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	broken := 0
	for i := range 1000 {
		b := book(now, 2)
		from := netip.AddrPortFrom(feed.Addr(), uint16(5000+i))
		whole := upload(b, now, from,
			func() netip.AddrPort { return entryAt(1 + random.IntN(2)) },
			func(via netip.AddrPort) bool { return via == entryAt(1) })
		if !whole {
			broken++
		}
	}
	assert.Equal(t, broken, 0)
}
