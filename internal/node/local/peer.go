package local

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// FromPeer processes a message about flows from another process. It reports whether the message was of such a
// kind.
func (a *Agent) FromPeer(now time.Time, from netip.Addr, h msgs.Header, rest []byte) bool {
	var err error
	a.mu.Lock()
	defer a.mu.Unlock()
	switch h.Kind {
	case msgs.KindForward:
		err = msgs.Handle(h, rest, msgs.ReadForward, func(m msgs.Forward) { a.handleForward(now, from, m) })
	case msgs.KindOffer:
		err = msgs.Handle(h, rest, msgs.ReadOffer, func(m msgs.Offer) { a.handleOffer(now, m) })
	case msgs.KindRegister:
		err = msgs.Handle(h, rest, msgs.ReadRegister, func(m msgs.Register) { a.handleRegister(now, from, m) })
	case msgs.KindLookup:
		err = msgs.Handle(h, rest, msgs.ReadLookup, func(m msgs.Lookup) { a.enqueueQuestion(now, from, m.Question) })
	case msgs.KindLookupResult:
		err = msgs.Handle(h, rest, msgs.ReadLookupResult, func(m msgs.LookupResult) { a.handleResult(now, m) })
	case msgs.KindProbeResult:
		err = msgs.Handle(h, rest, msgs.ReadProbeResult, func(m msgs.ProbeResult) { a.handleProbeResult(now, from, m) })
	case msgs.KindQuery:
		err = msgs.Handle(h, rest, msgs.ReadQuery, func(m msgs.Query) { a.answerQuestions(now, from, m) })
	case msgs.KindQueryAnswer:
		err = msgs.Handle(h, rest, msgs.ReadQueryAnswer, func(m msgs.QueryAnswer) { a.handleAnswer(now, from, m) })
	case msgs.KindFailed:
		err = msgs.Handle(h, rest, msgs.ReadFailed, func(m msgs.Failed) { a.suspects.LearnFailed(now, m.Agents) })
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
	for _, p := range m.Locations {
		a.home.Register(now, from, p)
		if q := a.lookups[p.Flow]; q != nil && q.ended.IsZero() {
			a.ownerFound(now, from, q)
		}
	}
}
