package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// FromPeer takes a message about flows from an agent. It says whether the message was one.
func (e *Entry) FromPeer(now time.Time, from netip.Addr, h msgs.Header, rest []byte) bool {
	var err error
	e.mu.Lock()
	defer e.mu.Unlock()
	switch h.Kind {
	case msgs.KindOpened:
		err = msgs.Handle(h, rest, msgs.ReadOpened, func(m msgs.Opened) { e.opened(now, from, m) })
	case msgs.KindRefused:
		err = msgs.Handle(h, rest, msgs.ReadRefused, func(m msgs.Refused) { e.returned(now, from, m) })
	case msgs.KindOwner:
		err = msgs.Handle(h, rest, msgs.ReadOwner, func(m msgs.Owner) { e.told(now, from, m) })
	default:
		return false
	}
	if err != nil {
		dropped("malformed")
		return true
	}
	e.answered(from)
	return true
}

// opened notes that a server accepted a flow.
func (e *Entry) opened(now time.Time, from netip.Addr, m msgs.Opened) {
	e.chooser.Accepted(from)
	e.chooser.Report(now, from, m.Load)
	if p := e.flows.Get(m.Flow); p != nil {
		p.MarkAccepted(from, m.Seq)
	}
}

// returned places an opening packet elsewhere that an agent handed back.
func (e *Entry) returned(now time.Time, from netip.Addr, m msgs.Refused) {
	s, err := e.Codec.Decode(m.Packet, segs.CallerEnd)
	if err != nil {
		dropped("malformed")
		return
	}
	turnedBack(m.Reason.String())
	e.Events.Flow(event.Failure, "turned-back", s.Flow).Stringer("agent", from).Stringer("why", m.Reason).
		Uint16("busy", m.Load.Busy).Uint16("flows", m.Load.Flows).Stringer("revision", m.Revision).Send()
	e.chooser.Refused(now, from)
	p := e.flows.Get(s.Flow)
	if p == nil {
		if p = e.flows.Add(now, s.Flow); p == nil {
			e.refuse(now, &s, "full")
			return
		}
	}
	if m.Reason == msgs.ReasonBusy {
		e.refuse(now, &s, "busy") // several agents were asked, and none can serve it in time
		return
	}
	p.MarkReturned(from)
	if p.Claimed || opened(p) {
		return // another server has taken it meanwhile
	}
	v := e.Log.View()
	e.noteEvacuated(v, from, &m)
	route := v.Route(s.Flow.ServiceAddr())
	if route == nil {
		e.unrouted(now, v, &s)
		return
	}
	p.Returned = true
	tried := append(p.Tried(), from)
	p.Remove(from)
	e.place(now, v, route, p, &s, tried, m.Packet)
}

func opened(p *owner.EntryFlow) bool {
	last := p.Last()
	return last != nil && last.Accepted
}

// told takes the owner's word for where a flow is.
func (e *Entry) told(now time.Time, from netip.Addr, m msgs.Owner) {
	if m.NoOwner {
		e.flows.Delete(m.Flow)
		return
	}
	p := e.flows.Add(now, m.Flow)
	if p == nil {
		return
	}
	p.Claimed = true
	if m.Open {
		p.Owner = from
	}
	p.Candidates = append(p.Candidates[:0], owner.Candidate{Agent: from})
	e.Events.Flow(event.Ordinary, "told", m.Flow).Stringer("agent", from).Stringer("revision", m.Revision).Send()
}
