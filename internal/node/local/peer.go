package local

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// FromPeer takes a message about flows. It says whether the message was one.
func (a *Agent) FromPeer(now time.Time, from netip.Addr, h msgs.Header, rest []byte) bool {
	var err error
	a.mu.Lock()
	defer a.mu.Unlock()
	switch h.Kind {
	case msgs.KindForward:
		err = msgs.Handle(h, rest, msgs.ReadForward, func(m msgs.Forward) { a.carried(now, from, m) })
	case msgs.KindOffer:
		err = msgs.Handle(h, rest, msgs.ReadOffer, func(m msgs.Offer) { a.offerCame(now, m) })
	case msgs.KindRegister:
		err = msgs.Handle(h, rest, msgs.ReadRegister, func(m msgs.Register) { a.registers(now, from, m) })
	case msgs.KindLookup:
		err = msgs.Handle(h, rest, msgs.ReadLookup, func(m msgs.Lookup) { a.want(now, from, m.Question) })
	case msgs.KindLookupResult:
		err = msgs.Handle(h, rest, msgs.ReadLookupResult, func(m msgs.LookupResult) { a.sought(now, m) })
	case msgs.KindProbeResult:
		err = msgs.Handle(h, rest, msgs.ReadProbeResult, func(m msgs.ProbeResult) { a.triedAt(now, from, m) })
	case msgs.KindQuery:
		err = msgs.Handle(h, rest, msgs.ReadQuery, func(m msgs.Query) { a.find(now, from, m) })
	case msgs.KindQueryAnswer:
		err = msgs.Handle(h, rest, msgs.ReadQueryAnswer, func(m msgs.QueryAnswer) { a.found(now, from, m) })
	case msgs.KindFailed:
		err = msgs.Handle(h, rest, msgs.ReadFailed, func(m msgs.Failed) { a.doubted.LearnFailed(now, m.Agents) })
	default:
		return false
	}
	if err != nil {
		dropped("malformed")
	}
	return true
}

// offerCame takes an opening packet that another agent has passed on.
func (a *Agent) offerCame(now time.Time, m msgs.Offer) {
	s, err := a.Codec.Decode(m.Packet, segs.CallerEnd)
	if err != nil || !s.Opening() {
		dropped("malformed")
		return
	}
	received.Inc()
	a.offered(now, m, &s)
}

// registers remembers which flows another agent owns.
func (a *Agent) registers(now time.Time, from netip.Addr, m msgs.Register) {
	for _, p := range m.Locations {
		a.home.Register(now, from, p)
		if q := a.searches[p.Flow]; q != nil && q.ended.IsZero() {
			a.foundAt(now, from, q)
		}
	}
}
