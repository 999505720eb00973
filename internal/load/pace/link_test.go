package pace

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const freeRTT = 2 * time.Millisecond

func agentOf(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

// linkSim simulates a link of some rate with a queue that grows while the entry sends more than the link carries.
type linkSim struct {
	link  *Link
	now   time.Time
	queue float64 // bytes in front of the link

	origin string        // of the answers
	slow   time.Duration // by which they take longer for other reasons
	least  float64       // least rate since the test reset it
}

// run sends at the learned rate for a time over a link that carries the given rate.
func (w *linkSim) run(d time.Duration, carried float64, busy bool) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		if busy {
			w.link.MarkBusy(w.now)
			w.queue += w.link.SendRate() * ratePercent / 100 * 0.01
		}
		w.queue = min(max(0, w.queue-carried*0.01), 2*16*1300) // two windows of callers
		rtt := freeRTT + w.slow + time.Duration(w.queue/carried*float64(time.Second))
		w.link.Answered(w.now, w.origin, w.now.Add(-rtt))
		w.link.Adjust(w.now)
		w.least = min(w.least, w.link.SendRate())
	}
}

// Guards against a rate that falls because the agents that answer are farther away than those before.
func TestAnswersOfAnotherDomainKeepTheRate(t *testing.T) {
	w := &linkSim{link: NewLink(linkRate), now: start, origin: "near"}
	w.run(5*time.Second, linkRate, true)
	w.origin, w.slow, w.least = "far", 20*time.Millisecond, linkRate
	w.run(10*time.Second, linkRate, true)
	assert.Equal(t, w.least, linkRate)
	w.run(3*time.Second, 0.3*linkRate, true)
	assert.Assert(t, w.link.Rate() <= 1.3*0.3*linkRate, "a narrowed link is still found: %.2f", w.link.Rate()/linkRate)
}

// Guards against a narrowed link that isn't noticed because agents of another domain begin to answer meanwhile.
func TestAnswersOfAnotherDomainKeepTheDelay(t *testing.T) {
	w := &linkSim{link: NewLink(linkRate), now: start, origin: "near"}
	w.run(5*time.Second, linkRate, true)
	w.run(500*time.Millisecond, 0.3*linkRate, true)
	w.origin = "far"
	w.run(3*time.Second, 0.3*linkRate, true)
	assert.Assert(t, w.link.Rate() <= 1.3*0.3*linkRate, "rate %.2f", w.link.Rate()/linkRate)
}

// Guards against a rate that stays low because all servers have become slow to accept.
func TestDelayThatIsNotTheLinksKeepsTheRate(t *testing.T) {
	for _, slow := range []time.Duration{15 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		w := &linkSim{link: NewLink(linkRate), now: start}
		w.run(5*time.Second, linkRate, true)
		w.slow = slow
		w.run(4*time.Second, linkRate, true)
		w.least = linkRate
		w.run(time.Minute, linkRate, true)
		assert.Equal(t, w.least, linkRate, "%v", slow)
		w.run(3*time.Second, 0.3*linkRate, true)
		assert.Assert(t, w.link.Rate() <= 1.3*0.3*linkRate, "%v: a narrowed link is still found: %.2f", slow, w.link.Rate()/linkRate)
	}
}

// Guards against a link that is narrower than stated, in front of which uploads queue for as long as it is, and
// against a rate that stays low afterwards.
func TestRateFollowsANarrowedLink(t *testing.T) {
	for _, part := range []float64{0.8, 0.5, 0.3} {
		w := &linkSim{link: NewLink(linkRate), now: start}
		w.run(5*time.Second, linkRate, true)
		assert.Equal(t, w.link.Rate(), linkRate)
		w.run(3*time.Second, part*linkRate, true)
		assert.Assert(t, w.link.Rate() <= 1.3*part*linkRate, "part %.1f: rate %.2f", part, w.link.Rate()/linkRate)
		assert.Assert(t, w.link.Delay() <= 3*targetDelay, "part %.1f: %v", part, w.link.Delay())
		w.run(20*time.Second, part*linkRate, true)
		assert.Assert(t, w.link.Rate() >= 0.7*part*linkRate, "part %.1f: rate %.2f", part, w.link.Rate()/linkRate)
		w.run(10*time.Second, linkRate, true)
		assert.Equal(t, w.link.Rate(), linkRate, "part %.1f", part)
	}
}

// Guards against a rate that falls because agents answer late while the entry sends no long flows.
func TestDelayWithoutLongFlowsKeepsTheRate(t *testing.T) {
	w := &linkSim{link: NewLink(linkRate), now: start}
	w.run(time.Second, linkRate, false)
	for range 100 {
		w.link.Answered(w.now, w.origin, w.now.Add(-time.Second))
		w.now = w.now.Add(20 * time.Millisecond)
		w.link.Adjust(w.now)
	}
	assert.Equal(t, w.link.Rate(), linkRate)
}

// Guards against a rate that stays low for as long as uploads run, because too few flows are opened beside them.
func TestRateReturnsWithoutAnswers(t *testing.T) {
	w := &linkSim{link: NewLink(linkRate), now: start}
	w.run(time.Second, linkRate, true)
	w.run(5*time.Second, 0.3*linkRate, true)
	assert.Assert(t, w.link.Rate() < 0.5*linkRate)
	for end := w.now.Add(5 * time.Minute); w.now.Before(end); w.now = w.now.Add(20 * time.Millisecond) {
		w.link.MarkBusy(w.now)
		w.link.Adjust(w.now)
	}
	assert.Equal(t, w.link.Rate(), linkRate)
}

// Guards against a rate outside of its bounds, or one that never returns to the stated one, whatever the answers.
func TestRateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLink(linkRate)
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "busy") {
				l.MarkBusy(now)
			}
			l.Answered(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "origin"), now.Add(-time.Duration(rapid.IntRange(-5, 3000).Draw(t, "rtt"))*time.Millisecond))
			l.Adjust(now)
			assert.Assert(t, l.Rate() >= minRatePart*linkRate && l.Rate() <= linkRate)
		}
		for range 300 {
			now = now.Add(adjustInterval)
			l.Adjust(now)
		}
		assert.Equal(t, l.Rate(), linkRate)
	})
}

// Guards against a link that counts as narrow and as wide in turn, since its rate stays near one bound.
func TestNarrowLinkStaysNarrow(t *testing.T) {
	l := NewLink(linkRate)
	for _, c := range []struct {
		part   float64
		narrow bool
	}{{0.8, false}, {0.71, false}, {0.69, true}, {0.71, true}, {0.69, true}, {0.94, true}, {0.96, false}, {0.71, false}} {
		l.setRate(c.part * linkRate)
		assert.Equal(t, l.Narrow(), c.narrow, "%.2f", c.part)
	}
}

// Guards against an agent that is avoided because its answer is late behind the entry's own link, and against a
// silent agent that is taken for one whose answer is late.
func TestLateIsWhatIsLateForAll(t *testing.T) {
	const repeated = 200 * time.Millisecond
	sendTo := func(l *Link, n int) {
		l.MarkBusy(start)
		for i := range n {
			l.Sent(start.Add(time.Duration(i)*10*time.Millisecond), agentOf(i))
		}
	}
	l := NewLink(linkRate)
	sendTo(l, 1)
	assert.Assert(t, !l.Late(start.Add(repeated), agentOf(0), start), "nothing else was sent")

	l = NewLink(linkRate)
	sendTo(l, 1+minWitnesses)
	assert.Assert(t, l.Late(start.Add(repeated), agentOf(0), start))
	assert.Assert(t, !l.Late(start.Add(3*repeated), agentOf(0), start), "the caller's last copy is due")

	l.Answered(start.Add(repeated), "", start.Add(20*time.Millisecond))
	assert.Assert(t, !l.Late(start.Add(repeated), agentOf(0), start), "a later packet was answered")

	l = NewLink(linkRate)
	sendTo(l, 1+minWitnesses)
	l.busyAt = start.Add(-time.Second)
	assert.Assert(t, !l.Late(start.Add(repeated), agentOf(0), start), "nothing fills the link")

	l = NewLink(linkRate)
	l.MarkBusy(start)
	for range minWitnesses + 1 {
		l.Sent(start, agentOf(0))
	}
	assert.Assert(t, !l.Late(start.Add(repeated), agentOf(0), start), "only one agent is silent")
}
