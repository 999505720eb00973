package edge

import (
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/bulk"
	"mangowinch/internal/oper/event"
)

// Admission of flows that saturate the entry's link for long (package bulk).

// newGate returns the gate of an entry's link. A flow waits for at most half the time that its caller waits
// for it to open. The other half is left for an attempt by another entry, whose link may have room.
func newGate(c *Config) *bulk.Gate {
	rate := c.Rate
	if c.Off.Bulk {
		rate = 0
	}
	if !c.Off.Pace {
		return bulk.NewPaced(rate, c.Callers.OpenWindow()/2)
	}
	return bulk.New(rate, c.Callers.OpenWindow()/2)
}

// admit reports whether a new flow may be placed now. Otherwise the flow is queued, or it is refused.
func (e *Entry) admit(now time.Time, v *belief.View, route *belief.Route, s *segs.Segment, datagram []byte) bool {
	if e.bulk.Contains(s.Flow) {
		return false // a retransmission of an opening packet that is queued already
	}
	age := e.Callers.Age(s.Ack)
	if !e.Off.Pace && route.Timeout > 0 && !e.bulk.CanEnd(s.Flow, route.Timeout-age) {
		e.refuse(now, s, "link")
		return false
	}
	switch e.bulk.Admit(now, s.Flow, age, datagram) {
	case bulk.Hold:
		linkWaits.Inc()
		e.Events.Flow(event.Ordinary, "link-waits", s.Flow).Int("waiting", e.bulk.Len()).Stringer("revision", v.Revision).Send()
		return false
	case bulk.Refuse:
		e.refuse(now, s, "link")
		return false
	default:
		return true
	}
}

// trackBulk records what a caller has sent on an open flow.
func (e *Entry) trackBulk(now time.Time, s *segs.Segment, size int) {
	if s.Len > 0 {
		e.bulk.RecordSent(now, s.Flow, size)
	}
	if s.Flags&(segs.Fin|segs.Rst) != 0 {
		e.bulk.Close(s.Flow)
		e.placeWaiting(now)
	}
}

// placeWaiting refuses queued flows that have waited too long and places those that the link has room for.
func (e *Entry) placeWaiting(now time.Time) {
	for w, ok := e.bulk.NextExpired(now); ok; w, ok = e.bulk.NextExpired(now) {
		e.refuse(now, &segs.Segment{Flow: w.Flow, Flags: segs.Syn}, "link")
	}
	for w, ok := e.bulk.Next(now); ok; w, ok = e.bulk.Next(now) {
		e.placeOneWaiting(now, &w)
	}
}

// placeOneWaiting places one flow that was queued.
func (e *Entry) placeOneWaiting(now time.Time, w *bulk.QueuedFlow) {
	s, err := e.Codec.Decode(w.Packet, segs.CallerEnd)
	if err != nil {
		countDropped("malformed")
		return
	}
	v := e.Log.View()
	route := v.Route(w.Flow.ServiceAddr())
	if route == nil {
		e.unrouted(now, v, &s)
		return
	}
	var p *owner.EntryFlow
	if p = e.flows.Add(now, w.Flow); p == nil {
		e.refuse(now, &s, "full")
		return
	}
	o := newOpening(v, route, &s, w.Packet)
	if servers, ok := e.place(now, p, o); !ok {
		e.unplaceable(now, p, o, servers)
	}
}
