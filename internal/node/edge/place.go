package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/steer"
	"mangowinch/internal/oper/event"
)

// open places a new flow, or a copy of an opening packet.
func (e *Entry) open(now time.Time, v *belief.View, route *belief.Route, s *segs.Segment, datagram []byte) {
	if e.agents.Failed() {
		e.refuse(now, s, "cut-off")
		return
	}
	p := e.flows.Get(s.Flow)
	if p == nil {
		if !e.mayBegin(now, v, s, datagram) {
			return
		}
		if p = e.flows.Add(now, s.Flow); p == nil {
			e.refuse(now, s, "full")
			return
		}
	} else if last := p.Last(); last != nil && !e.again(now, p, last, s) {
		p.LastUsed = now
		e.carry(v, last.Agent, datagram)
		return
	}
	p.LastUsed = now
	e.place(now, v, route, p, s, p.Tried(), datagram)
}

// again says whether a copy of an opening packet goes to another agent than the
// last one, because nothing answered. The one that did not answer gets no new flows for a while.
func (e *Entry) again(now time.Time, p *owner.EntryFlow, last *owner.Candidate, s *segs.Segment) bool {
	if last.Accepted || p.Claimed {
		return false // the answer was lost, or is on its way
	}
	e.chooser.NoReply(now, last.Agent)
	e.doubt(now, last.Agent)
	silent.Inc()
	e.Events.Flow(event.Failure, "unanswered", s.Flow).Stringer("agent", last.Agent).Uint32("copy", s.Ack).Send()
	return p.Attempts < maxTries
}

// place sends an opening packet to the agent that is best now, none of those tried.
func (e *Entry) place(now time.Time, v *belief.View, route *belief.Route, p *owner.EntryFlow, s *segs.Segment, tried []netip.Addr, datagram []byte) {
	candidates := e.candidates(now, v, route, s.Flow)
	agent, ok := e.chooser.Choose(now, candidates, tried)
	if !ok || p.Attempts >= maxTries {
		e.unplaceable(now, v, route, p, s, datagram, len(candidates))
		return
	}
	p.Candidates = append(p.Candidates, owner.Candidate{Agent: agent})
	p.Attempts++
	e.chooser.Placed(agent)
	if !e.Off.Reach {
		e.agents.Sent(now)
	}
	placed.Inc()
	class := event.Ordinary
	if p.Attempts > 1 {
		class = event.Failure
	}
	e.Events.Flow(class, "placed", s.Flow).Stringer("agent", agent).Int("try", p.Attempts).
		Int64("version", v.Version()).Stringer("revision", v.Revision).Send()
	e.send(v, agent, msgs.Forward{LastResort: p.Returned, Packet: datagram})
}

// unplaceable ends the search for a server for a new flow. While an agent may still answer, the
// caller's next copy goes there again; otherwise the flow is refused.
func (e *Entry) unplaceable(now time.Time, v *belief.View, route *belief.Route, p *owner.EntryFlow, s *segs.Segment, datagram []byte, servers int) {
	if last := p.Last(); last != nil {
		e.carry(v, last.Agent, datagram)
		return
	}
	if servers == 0 {
		e.refuse(now, s, e.unservedWhy(v, pick(route.Shares, s.Flow)))
		return
	}
	e.refuse(now, s, "untaken")
}

// candidates lists the servers to which the route sends this flow. Of several services the
// flow's hash picks one, so that copies by other entries go to the same.
func (e *Entry) candidates(now time.Time, v *belief.View, route *belief.Route, f segs.Flow) (list []steer.Candidate) {
	for _, s := range v.Servers(pick(route.Shares, f)) {
		if s.State == belief.Unknown || e.evacuated(v, s.Domain) {
			continue
		}
		list = append(list, steer.Candidate{
			Agent:    s.Addr.Addr(),
			Domain:   s.Domain,
			Slots:    s.Slots,
			Draining: s.State == belief.Draining || e.Ctrl.Leaving(s.Addr.Addr()),
			Cold:     now.Before(e.cold[s.ID].until),
			Failed:   e.doubted.Failed(s.Addr.Addr()),
		})
	}
	return list
}

// pick chooses one of the shares in proportion to their weights.
func pick(shares []belief.Share, f segs.Flow) (service string) {
	total := 0
	for _, s := range shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(f.Hash() % uint64(total))
	for _, s := range shares {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return ""
}
