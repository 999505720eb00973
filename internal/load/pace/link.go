package pace

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// adjustInterval is the time between two adjustments of the learned rate.
	adjustInterval = 200 * time.Millisecond
	// maxInterval is how long answers are collected for an adjustment if there are few.
	maxInterval = time.Second
	// minSamples is the number of answers in such an interval from which a delay is derived. The least of
	// them counts, since a single answer may be late for other reasons.
	minSamples = 3
	// targetDelay is the delay beyond the least one known at which the rate is kept: what an opening packet may
	// wait behind long flows.
	targetDelay = 10 * time.Millisecond
	// gain is the largest part of the rate that one adjustment takes away, and maxRise the largest that it
	// adds.
	gain    = 0.25
	maxRise = 0.05
	// idleRise is the part that it adds without enough answers, so that the rate learned from a link that was
	// narrow for some time is forgotten: within a minute while no flow can fill the link.
	idleRise = 0.01
	// busyTime is how long after a packet of such flows an answer still tells about them.
	busyTime = 50 * time.Millisecond
	// minRatePart is the least part of the stated rate to which the learned one falls.
	minRatePart = 1.0 / 16
	// basePeriod and basePeriods give the time over which the least delay is remembered. It is forgotten
	// because the paths between instances change.
	basePeriod  = 10 * time.Second
	basePeriods = 6
	// answerTime is how long an agent takes to answer an opening packet at most, on a free link.
	answerTime = 50 * time.Millisecond
	// minWitnesses is the number of other agents whose answers must be missing too before an answer counts
	// as late because of the link.
	minWitnesses = 3
	// witnessTime is how much earlier than the packet in question their packets may have been sent.
	witnessTime = 100 * time.Millisecond
	// maxLate is how late an answer may be because of the link. It lies between a caller's first copy of an
	// opening packet, after maxAge, and the second one, which goes to another agent.
	maxLate = 2 * maxAge
	// maxSent bounds the opening packets that are remembered.
	maxSent = 64
)

// Link observes the link of one entry by the answers of agents to opening packets. It learns the rate that
// the link carries from their delay, as LEDBAT (RFC 6817) does: if answers take longer than the least time
// known while flows that can fill it use it, the link is narrower than stated. The rate returns to the stated one
// when the delay is gone. The zero value is not usable.
type Link struct {
	stated     float64 // bytes per second
	rate       float64
	bases      []time.Duration // least delays of the latest periods, the current one last
	baseAt     time.Time       // when the current period began
	least      time.Duration   // least delay of the current interval
	samples    int             // in the current interval
	busyAt     time.Time       // when flows that can fill the link last used it
	excess     time.Duration   // delay in the last interval with enough answers
	adjustedAt time.Time
	sent       []sentPacket // the latest opening packets, oldest first
	answeredTo time.Time    // when the latest opening packet that has been answered was sent
}

// sentPacket is an opening packet that was sent to an agent.
type sentPacket struct {
	at       time.Time
	agent    netip.Addr
	answered bool
}

// NewLink returns the observer of a link with the stated rate in bytes per second.
func NewLink(rate float64) *Link { return &Link{stated: rate, rate: rate} }

// Rate returns the learned rate in bytes per second.
func (l *Link) Rate() float64 { return l.rate }

// Delay returns by how much answers took longer than the least time known when this was last measured.
func (l *Link) Delay() time.Duration { return l.excess }

// Sent records that an opening packet was sent to an agent.
func (l *Link) Sent(now time.Time, agent netip.Addr) {
	if len(l.sent) == maxSent {
		l.sent = slices.Delete(l.sent, 0, 1)
	}
	l.sent = append(l.sent, sentPacket{at: now, agent: agent})
}

// Answered records the answer to an opening packet that was sent at a time.
func (l *Link) Answered(now, sentAt time.Time) {
	if sentAt.IsZero() || now.Before(sentAt) {
		return
	}
	if sentAt.After(l.answeredTo) {
		l.answeredTo = sentAt
	}
	for i := range l.sent {
		l.sent[i].answered = l.sent[i].answered || l.sent[i].at.Equal(sentAt)
	}
	d := now.Sub(sentAt)
	l.learnBase(now, d)
	if now.Sub(l.busyAt) > busyTime {
		return // says nothing about the link while long flows use it
	}
	if l.samples == 0 || d < l.least {
		l.least = d
	}
	l.samples++
}

// learnBase learns the least delay.
func (l *Link) learnBase(now time.Time, d time.Duration) {
	if len(l.bases) == 0 || now.Sub(l.baseAt) >= basePeriod {
		l.bases = append(l.bases, d)
		l.baseAt = now
		if len(l.bases) > basePeriods {
			l.bases = slices.Delete(l.bases, 0, 1)
		}
		return
	}
	last := len(l.bases) - 1
	l.bases[last] = min(l.bases[last], d)
}

// MarkBusy records that flows use the link that can fill it.
func (l *Link) MarkBusy(now time.Time) { l.busyAt = now }

// Adjust adjusts the learned rate if an interval is over, and reports whether it has changed.
func (l *Link) Adjust(now time.Time) (changed bool) {
	if now.Sub(l.adjustedAt) < adjustInterval {
		return false
	}
	before, busy := l.rate, now.Sub(l.busyAt) <= adjustInterval
	if busy && l.samples < minSamples && now.Sub(l.adjustedAt) < maxInterval {
		return false
	}
	switch {
	case l.samples >= minSamples:
		l.excess = l.least - slices.Min(l.bases)
		change := gain * (1 - float64(l.excess)/float64(targetDelay))
		l.scale(min(max(change, -gain), maxRise))
	default: // too few answers, so nothing shows that the link is still narrow
		if !busy {
			l.excess = 0
		}
		l.scale(idleRise)
	}
	l.adjustedAt, l.samples, l.least = now, 0, 0
	return l.rate != before
}

// scale changes the rate by a part of it.
func (l *Link) scale(change float64) {
	l.rate = min(max(l.rate*(1+change), minRatePart*l.stated), l.stated)
}

// Late reports whether the missing answer of an agent to an opening packet that was sent at a time is
// explained by the link: flows that can fill it used it, opening packets that were sent to several other agents
// about then or later are unanswered too, and none that was sent later has been answered. On a link without
// such flows, several silent agents have failed together.
func (l *Link) Late(now time.Time, agent netip.Addr, sentAt time.Time) bool {
	if sentAt.IsZero() || now.Sub(sentAt) > maxLate || l.answeredTo.After(sentAt) || sentAt.Sub(l.busyAt) > maxAge {
		return false
	}
	witnesses := map[netip.Addr]bool{}
	for _, p := range l.sent {
		recent := sentAt.Sub(p.at) <= witnessTime && now.Sub(p.at) >= answerTime
		if recent && p.agent != agent && !p.answered {
			witnesses[p.agent] = true
		}
	}
	return len(witnesses) >= minWitnesses
}
