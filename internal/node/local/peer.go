package local

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// FromPeer takes a message about flows. It says whether the message was one.
func (a *Agent) FromPeer(now time.Time, from netip.Addr, h msgs.Head, rest []byte) bool {
	var err error
	a.mu.Lock()
	defer a.mu.Unlock()
	switch h.Kind {
	case msgs.KindCarry:
		err = msgs.Take(h, rest, msgs.ReadCarry, func(m msgs.Carry) { a.carried(now, from, m) })
	case msgs.KindOffer:
		err = msgs.Take(h, rest, msgs.ReadOffer, func(m msgs.Offer) { a.offerCame(now, m) })
	case msgs.KindRegister:
		err = msgs.Take(h, rest, msgs.ReadRegister, func(m msgs.Register) { a.registers(now, from, m) })
	case msgs.KindSeek:
		err = msgs.Take(h, rest, msgs.ReadSeek, func(m msgs.Seek) { a.want(now, from, m.Question) })
	case msgs.KindSought:
		err = msgs.Take(h, rest, msgs.ReadSought, func(m msgs.Sought) { a.sought(now, m) })
	case msgs.KindTried:
		err = msgs.Take(h, rest, msgs.ReadTried, func(m msgs.Tried) { a.triedAt(now, from, m) })
	case msgs.KindFind:
		err = msgs.Take(h, rest, msgs.ReadFind, func(m msgs.Find) { a.find(now, from, m) })
	case msgs.KindFound:
		err = msgs.Take(h, rest, msgs.ReadFound, func(m msgs.Found) { a.found(now, from, m) })
	case msgs.KindLost:
		err = msgs.Take(h, rest, msgs.ReadLost, func(m msgs.Lost) { a.doubted.LearnFailed(now, m.Agents) })
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
	for _, p := range m.Places {
		a.home.Register(now, from, p)
		if q := a.searches[p.Flow]; q != nil && q.ended.IsZero() {
			a.foundAt(now, from, q)
		}
	}
}
