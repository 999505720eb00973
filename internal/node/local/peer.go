package local

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// FromPeer processes a message about flows from another process. It reports whether the message was of such a
// kind.
func (a *Agent) FromPeer(now time.Time, from netip.Addr, h msgs.Head, rest []byte) bool {
	var err error
	a.mu.Lock()
	defer a.mu.Unlock()
	switch h.Kind {
	case msgs.KindCarry:
		err = msgs.Take(h, rest, msgs.ReadCarry, func(m msgs.Carry) { a.handleCarry(now, from, m) })
	case msgs.KindOffer:
		err = msgs.Take(h, rest, msgs.ReadOffer, func(m msgs.Offer) { a.handleOffer(now, m) })
	case msgs.KindRegister:
		err = msgs.Take(h, rest, msgs.ReadRegister, func(m msgs.Register) { a.handleRegister(now, from, m) })
	case msgs.KindSeek:
		err = msgs.Take(h, rest, msgs.ReadSeek, func(m msgs.Seek) { a.enqueueQuestion(now, from, m.Question) })
	case msgs.KindSought:
		err = msgs.Take(h, rest, msgs.ReadSought, func(m msgs.Sought) { a.handleResult(now, m) })
	case msgs.KindTried:
		err = msgs.Take(h, rest, msgs.ReadTried, func(m msgs.Tried) { a.handleProbeResult(now, from, m) })
	case msgs.KindFind:
		err = msgs.Take(h, rest, msgs.ReadFind, func(m msgs.Find) { a.answerQuestions(now, from, m) })
	case msgs.KindFound:
		err = msgs.Take(h, rest, msgs.ReadFound, func(m msgs.Found) { a.handleAnswer(now, from, m) })
	case msgs.KindLost:
		err = msgs.Take(h, rest, msgs.ReadLost, func(m msgs.Lost) { a.suspects.LearnFailed(now, m.Agents) })
	default:
		return false
	}
	if err != nil {
		countDropped("malformed")
	}
	return true
}

// handleOffer processes an opening packet that another agent has offered.
func (a *Agent) handleOffer(now time.Time, m msgs.Offer) {
	s, err := a.Codec.Decode(m.Packet, segs.CallerEnd)
	if err != nil || !s.Opening() {
		countDropped("malformed")
		return
	}
	received.Inc()
	a.placeOpening(now, m, &s)
}

// handleRegister records which flows another agent owns.
func (a *Agent) handleRegister(now time.Time, from netip.Addr, m msgs.Register) {
	for _, p := range m.Places {
		a.home.Register(now, from, p)
		if q := a.lookups[p.Flow]; q != nil && q.ended.IsZero() {
			a.ownerFound(now, from, q)
		}
	}
}
