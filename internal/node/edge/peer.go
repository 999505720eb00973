package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// FromPeer handles a message about flows from an agent. It reports whether the message is of such a kind.
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
		err = msgs.Handle(h, rest, msgs.ReadOwner, func(m msgs.Owner) { e.recordOwner(now, from, m) })
	default:
		return false
	}
	if err != nil {
		countDropped("malformed")
		return true
	}
	e.agentAnswered(from)
	return true
}

// opened records that a server accepted a flow.
func (e *Entry) opened(now time.Time, from netip.Addr, m msgs.Opened) {
	e.chooser.Accepted(from)
	e.chooser.Report(now, from, m.Load, m.Estimate)
	e.recordOpened(now, from, &m)
	if p := e.flows.Get(m.Flow); p != nil {
		e.chargeOpened(now, p, m.Flow)
		e.linkAnswered(now, from, p)
		p.MarkAccepted(from, m.Seq)
	}
}

// returned handles an opening packet that an agent has returned: it places the packet at another agent, or
// refuses the flow.
func (e *Entry) returned(now time.Time, from netip.Addr, m msgs.Refused) {
	s, err := e.Codec.Decode(m.Packet, segs.CallerEnd)
	if err != nil {
		countDropped("malformed")
		return
	}
	countReturned(m.Reason.String())
	e.Events.Flow(event.Failure, "turned-back", s.Flow).Stringer("agent", from).Stringer("why", m.Reason).
		Uint16("busy", m.Load.Busy).Uint16("flows", m.Load.Flows).Stringer("revision", m.Revision).Send()
	e.recordReturn(now, from, s.Flow, &m)
	p := e.flows.Get(s.Flow)
	if p == nil {
		if p = e.flows.Add(now, s.Flow); p == nil {
			e.refuse(now, &s, "full")
			return
		}
	}
	if !p.Claimed {
		e.linkAnswered(now, from, p) // otherwise the answer's delay is the flow's wait at the agent
	}
	if m.Reason == msgs.ReasonBusy {
		e.returnedBusy(now, from, p, &s)
		return
	}
	p.MarkReturned(from)
	if p.Claimed || lastOpened(p) {
		return // another server has accepted the flow meanwhile
	}
	v := e.Log.View()
	e.recordEvacuation(v, from, &m)
	route := v.Route(s.Flow.ServiceAddr())
	if route == nil {
		e.unrouted(now, v, &s)
		return
	}
	p.Returned = true
	p.EndAttempt(from)
	o := newOpening(v, route, &s, m.Packet)
	if servers, ok := e.place(now, p, o); !ok {
		e.placeFinally(now, p, o, servers)
	}
}

// placeFinally handles a returned opening packet for which no further server is available. An agent that has offered the
// packet to others, because its server is full, is asked to take the flow, each agent once for each packet that the caller
// sends. Without this request it would offer the packet again, which would be returned again, without end. If all have
// been asked, the flow is refused, unless one of them may still take it.
func (e *Entry) placeFinally(now time.Time, p *owner.EntryFlow, o *opening, servers int) {
	if c := p.LastToTake(); c != nil {
		c.Final = true
		e.Events.Flow(event.Failure, "final", o.segment.Flow).Stringer("agent", c.Agent).Str("to", o.service).
			Stringer("revision", o.view.Revision).Send()
		e.sendOpening(c.Agent, o, msgs.Forward{ToOwner: true, LastResort: true, Hops: p.Usage})
		return
	}
	if len(p.Candidates) == 0 {
		e.refuseUnplaced(now, o, servers)
	}
}

// returnedBusy handles an opening packet that was offered to several agents, none of which can serve it in time.
// The flow is refused, unless a copy of the packet went to another agent, whose server has accepted the flow or at
// which the flow waits.
func (e *Entry) returnedBusy(now time.Time, from netip.Addr, p *owner.EntryFlow, s *segs.Segment) {
	if p.Accepted() || waitsElsewhere(p, from) {
		p.Remove(from)
		return
	}
	e.refuse(now, s, "busy")
}

// waitsElsewhere reports whether an agent other than the given one has said that it has the flow.
func waitsElsewhere(p *owner.EntryFlow, agent netip.Addr) bool {
	last := p.Last()
	return p.Claimed && last != nil && last.Agent != agent
}

// recordReturn records that an agent has returned an opening packet. An agent that returns it because all agents that
// the flow was offered to are full is not avoided: it is the least busy of them. A cold server is avoided, because its
// load does not show the rate that limits it.
func (e *Entry) recordReturn(now time.Time, from netip.Addr, f segs.Flow, m *msgs.Refused) {
	s, _ := e.Log.View().Server(from)
	if m.Reason == msgs.ReasonBusy {
		e.recordBusy(now, from, f)
	}
	full := m.Reason == msgs.ReasonBusy && !now.Before(e.cold[s.ID].until)
	if full && !e.Off.Level {
		e.chooser.ReportLoad(now, from, m.Load)
	} else {
		e.chooser.Refused(now, from)
	}
}

// lastOpened reports whether the last agent that the flow was offered to has opened it.
func lastOpened(p *owner.EntryFlow) bool {
	last := p.Last()
	return last != nil && last.Accepted
}

// recordOwner records the location of a flow as its owner reports it.
func (e *Entry) recordOwner(now time.Time, from netip.Addr, m msgs.Owner) {
	if m.NoOwner {
		e.flows.Delete(m.Flow)
		return
	}
	p := e.flows.Add(now, m.Flow)
	if p == nil {
		return
	}
	if !p.Claimed && p.Ack == 0 {
		e.linkAnswered(now, from, p) // the flow waits at the agent
	}
	e.chooser.Expect(now, from, m.Estimate)
	p.Claimed = true
	if m.Open {
		p.Owner = from
	}
	p.Candidates = append(p.Candidates[:0], owner.Candidate{Agent: from})
	e.recordEstimate(now, from, m.Flow, m.Estimate)
	e.Events.Flow(event.Ordinary, "told", m.Flow).Stringer("agent", from).Stringer("revision", m.Revision).Send()
}
