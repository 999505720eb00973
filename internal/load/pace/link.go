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
	// targetDelay is the delay beyond the least one known at which the rate stays as it is: the time for which an
	// opening packet may wait behind long flows.
	targetDelay = 10 * time.Millisecond
	// gain is the largest part of the rate that one adjustment takes away, and maxRise the largest that it
	// adds.
	gain    = 0.25
	maxRise = 0.05
	// idleRise is the part that it adds without enough answers, so that the rate learned from a link that was
	// narrow for some time is forgotten: within a minute while no flow can fill the link.
	idleRise = 0.01
	// busyTime is how long after a packet of a flow that can fill the link the delay of an answer may be due to it.
	busyTime = 50 * time.Millisecond
	// minRatePart is the least part of the stated rate to which the learned one falls.
	minRatePart = 1.0 / 16
	// trialPart is a part of the rate at which a delay began: if the rate falls to it and the delay hasn't become
	// shorter, a trial begins. trialRatePart is the part of the stated rate that is sent during a trial: so little
	// that the queue in front of a link that carries minRatePart becomes shorter.
	trialPart     = 0.25
	trialRatePart = minRatePart / 4
	// settleDelays is how many times the delay a trial lasts at least: once until packets from before it are
	// answered, and once for the queue in front of the link to become shorter.
	settleDelays = 2
	// shorterPart is the part of a delay below which it has become shorter.
	shorterPart = 0.75
	// narrowPart and statedPart are the parts of the stated rate below and above which the link counts as
	// narrower than stated, and as carrying what is stated.
	narrowPart, statedPart = 0.7, 0.95
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
// known of their origin while flows that can fill it use it, the link is narrower than stated. The rate returns
// to the stated one when the delay is gone.
//
// Answers may take longer for another reason, such as slow servers. If the delay stays while the rate falls,
// almost nothing is sent for a moment, as a trial. If the delay stays then too, it is not the link's: it becomes
// the base with which further answers are compared, and the stated rate holds again. The zero value is not
// usable.
type Link struct {
	stated     float64 // bytes per second
	rate       float64
	narrow     bool
	origins    map[string]*origin // by failure domain
	busyAt     time.Time          // when flows that can fill the link last used it
	excess     time.Duration      // delay in the last interval with enough answers
	adjustedAt time.Time
	fallFrom   float64       // rate at which the delay last was short or became shorter
	fallDelay  time.Duration // longest delay since
	trialAt    time.Time     // when the trial under way began; zero: none is
	sent       []sentPacket  // the latest opening packets, oldest first
	answeredTo time.Time     // when the latest opening packet that has been answered was sent
}

// sentPacket is an opening packet that was sent to an agent.
type sentPacket struct {
	at       time.Time
	agent    netip.Addr
	answered bool
}

// NewLink returns the observer of a link with the stated rate in bytes per second.
func NewLink(rate float64) *Link {
	return &Link{stated: rate, rate: rate, fallFrom: rate, origins: map[string]*origin{}}
}

// Rate returns the learned rate in bytes per second.
func (l *Link) Rate() float64 { return l.rate }

// Narrow reports whether the link counts as narrower than stated.
func (l *Link) Narrow() bool { return l.narrow }

// SendRate returns the rate in bytes per second at which to send for now. It differs from Rate in a trial.
func (l *Link) SendRate() float64 {
	if l.trialAt.IsZero() {
		return l.rate
	}
	return trialRatePart * l.stated
}

// Delay returns by how much answers took longer than the least time known when this was last measured.
func (l *Link) Delay() time.Duration { return l.excess }

// Sent records that an opening packet was sent to an agent.
func (l *Link) Sent(now time.Time, agent netip.Addr) {
	if len(l.sent) == maxSent {
		l.sent = slices.Delete(l.sent, 0, 1)
	}
	l.sent = append(l.sent, sentPacket{at: now, agent: agent})
}

// Answered records the answer of an agent in a failure domain to an opening packet that was sent at a time.
func (l *Link) Answered(now time.Time, domain string, sentAt time.Time) {
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
	o := l.originOf(now, domain, d)
	if o == nil {
		return
	}
	o.learnBase(now, d)
	if now.Sub(l.busyAt) <= busyTime { // the other answers don't show how long flows delay packets
		o.sample(d)
	}
}

// MarkBusy records that flows use the link that can fill it.
func (l *Link) MarkBusy(now time.Time) { l.busyAt = now }

// Adjust adjusts the learned rate if an interval is over, and reports whether it has changed.
func (l *Link) Adjust(now time.Time) (changed bool) {
	if now.Sub(l.adjustedAt) < adjustInterval {
		return false
	}
	before, busy := l.SendRate(), now.Sub(l.busyAt) <= adjustInterval
	if busy && l.countSamples() < minSamples && now.Sub(l.adjustedAt) < maxInterval {
		return false
	}
	l.adjustedAt = now
	samples, excess := l.takeSamples()
	if samples >= minSamples {
		l.excess = excess
		l.follow(now)
	} else { // too few answers, so nothing shows that the link is still narrow
		l.endTrial()
		if !busy {
			l.excess = 0
		}
		l.scale(idleRise)
	}
	return l.SendRate() != before
}

// follow adjusts the rate by the delay.
func (l *Link) follow(now time.Time) {
	l.fallDelay = max(l.fallDelay, l.excess)
	if !l.trialAt.IsZero() && now.Sub(l.trialAt) < adjustInterval+settleDelays*l.fallDelay {
		return // the answers don't show the effect of the trial yet
	}
	stays := l.observeFall()
	tried := l.endTrial()
	switch {
	case stays && tried:
		l.rebase()
	case stays && l.rate <= max(trialPart*l.fallFrom, minRatePart*l.stated):
		l.trialAt = now
	default:
		change := gain * (1 - float64(l.excess)/float64(targetDelay))
		l.scale(min(max(change, -gain), maxRise))
	}
}

// observeFall reports whether the delay stays although the rate falls.
func (l *Link) observeFall() (stays bool) {
	if l.excess > targetDelay && float64(l.excess) >= shorterPart*float64(l.fallDelay) {
		return true
	}
	l.fallFrom, l.fallDelay = l.rate, l.excess
	return false
}

// endTrial ends a trial and reports whether one was under way.
func (l *Link) endTrial() (tried bool) {
	tried = !l.trialAt.IsZero()
	l.trialAt = time.Time{}
	return tried
}

// rebase takes the present delay as one that is not the link's.
func (l *Link) rebase() {
	for _, o := range l.origins {
		o.shift(l.excess)
	}
	l.excess, l.fallDelay = 0, 0
	l.setRate(l.stated)
	l.fallFrom = l.stated
}

// scale changes the rate by a part of it.
func (l *Link) scale(change float64) {
	l.setRate(min(max(l.rate*(1+change), minRatePart*l.stated), l.stated))
}

// setRate sets the rate and whether the link counts as narrow, with hysteresis.
func (l *Link) setRate(rate float64) {
	l.rate = rate
	l.narrow = rate < narrowPart*l.stated || l.narrow && rate < statedPart*l.stated
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
