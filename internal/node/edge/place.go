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

// opening is a caller's opening packet, and what the entry believes of its flow.
type opening struct {
	view    *belief.View
	service string // that the flow's route selects
	segment *segs.Segment
	packet  []byte
}

func newOpening(v *belief.View, route *belief.Route, s *segs.Segment, packet []byte) *opening {
	return &opening{view: v, service: pickService(route.Shares, s.Flow), segment: s, packet: packet}
}

// open places a new flow, or handles a retransmission of its opening packet.
func (e *Entry) open(now time.Time, v *belief.View, route *belief.Route, s *segs.Segment, datagram []byte) {
	if e.reach.Failed() {
		e.refuse(now, s, "cut-off")
		return
	}
	o := newOpening(v, route, s, datagram)
	p := e.placedFlow(o)
	if p == nil {
		if !e.bulk.Contains(s.Flow) {
			e.countAsked(now, route, s)
			if !e.admitByLevel(now, v, route, s) {
				return
			}
		}
		if !e.admit(now, v, route, s, datagram) {
			return
		}
		if p = e.flows.Add(now, s.Flow); p == nil {
			e.refuse(now, s, "full")
			return
		}
	} else if last := p.Last(); last != nil && !e.retryElsewhere(now, p, last, s) {
		p.LastUsed = now
		p.Repeated()
		e.forwardOpening(last.Agent, p, o)
		return
	}
	p.LastUsed = now
	p.Repeated()
	if servers, ok := e.place(now, p, o); !ok {
		e.unplaceable(now, p, o, servers)
	}
}

// placedFlow returns the state of a flow whose opening packet was sent to an agent before, or nil for a new flow. It
// deletes the state of an earlier flow from the same port, and that of a flow that was sent to an agent at whose address
// the view has no server of the service any more: that server has ended, and the flow with it.
func (e *Entry) placedFlow(o *opening) *owner.EntryFlow {
	p := e.flows.Get(o.segment.Flow)
	if p == nil || p.Last() == nil {
		return p
	}
	portUsedAgain := p.Ack != 0 && o.segment.Seq != p.OpeningSeq
	if server, ok := o.view.Server(p.Last().Agent); portUsedAgain || !ok || server.Service != o.service {
		e.flows.Delete(o.segment.Flow)
		return nil
	}
	return p
}

// retryElsewhere reports whether a retransmitted opening packet goes to an agent other than the last one,
// because the last one has not answered. The agent that did not answer is probed, and gets no new flows for
// a while unless the entry's own link explains why its answer is missing.
func (e *Entry) retryElsewhere(now time.Time, p *owner.EntryFlow, last *owner.Candidate, s *segs.Segment) bool {
	if last.Accepted || p.Claimed {
		return false // the answer to the caller was lost or is still in transit
	}
	e.suspect(now, last.Agent)
	if e.isLateBehindLink(now, last, s) {
		return false
	}
	e.chooser.NoReply(now, last.Agent)
	unanswered.Inc()
	e.Events.Flow(event.Failure, "unanswered", s.Flow).Stringer("agent", last.Agent).Uint32("copy", s.Ack).Send()
	return p.Attempts < maxAttempts
}

// place sends an opening packet to the best agent that has neither been tried nor returned it. If there is none, it
// returns false with the number of servers that may get new flows.
func (e *Entry) place(now time.Time, p *owner.EntryFlow, o *opening) (servers int, ok bool) {
	candidates := e.candidates(now, o.view, o.service)
	agent, ok := e.chooser.Choose(now, candidates, append(p.Tried(), p.Refusers...))
	if !ok || p.Attempts >= maxAttempts {
		return len(candidates), false
	}
	if p.Attempts == 0 {
		p.OpeningSeq = o.segment.Seq
		p.Usage = e.shares.open(now, o.segment.Flow)
	}
	p.Candidates = append(p.Candidates, owner.Candidate{Agent: agent, SentAt: now})
	p.Attempts++
	e.chooser.Placed(agent)
	e.link.Sent(now, agent)
	if !e.Off.Reach {
		e.reach.Sent(now)
	}
	placed.Inc()
	class := event.Ordinary
	if p.Attempts > 1 {
		class = event.Failure
	}
	e.Events.Flow(class, "placed", o.segment.Flow).Stringer("agent", agent).Str("to", o.service).Int("try", p.Attempts).
		Str("by", string(e.chooser.Reason())).Dur("service", e.chooser.Service(agent)).Uint8("usage", p.Usage).
		Int64("version", o.view.Version()).Stringer("revision", o.view.Revision).Send()
	e.sendOpening(agent, o, msgs.Forward{LastResort: p.Returned, Hops: p.Usage})
	return len(candidates), true
}

// forwardOpening forwards a copy of an opening packet to the agent that the flow was offered to, with the level of
// its caller in Hops.
func (e *Entry) forwardOpening(agent netip.Addr, p *owner.EntryFlow, o *opening) {
	e.Events.Flow(event.Failure, "copied", o.segment.Flow).Stringer("agent", agent).Str("to", o.service).Uint32("copy", o.segment.Ack).
		Int64("version", o.view.Version()).Stringer("revision", o.view.Revision).Send()
	e.sendOpening(agent, o, msgs.Forward{Hops: p.Usage})
}

// sendOpening sends an agent an opening packet, with the service that its route selects. The agent compares it with its server's
// service, which may be another one than the view has at that address, or than it had when the flow was placed there.
func (e *Entry) sendOpening(agent netip.Addr, o *opening, m msgs.Forward) {
	m.Service, m.Packet = belief.ServiceHash(o.service), o.packet
	e.send(o.view, agent, m)
}

// unplaceable handles a caller's opening packet for which no further server is available. While an agent may still
// answer, the caller's retransmission is sent to that agent again. Otherwise the flow is refused.
func (e *Entry) unplaceable(now time.Time, p *owner.EntryFlow, o *opening, servers int) {
	if last := p.Last(); last != nil {
		e.forwardOpening(last.Agent, p, o)
		return
	}
	e.refuseUnplaced(now, o, servers)
}

// refuseUnplaced refuses a flow that none of a number of servers has taken.
func (e *Entry) refuseUnplaced(now time.Time, o *opening, servers int) {
	if servers == 0 {
		e.refuse(now, o.segment, e.unservedReason(o.view, o.service))
		return
	}
	e.refuse(now, o.segment, "untaken")
}

// candidates returns the servers of a service that may get a new flow.
func (e *Entry) candidates(now time.Time, v *belief.View, service string) (list []steer.Candidate) {
	for _, s := range v.Servers(service) {
		if s.State == belief.Unknown || e.evacuated(v, s.Domain) {
			continue
		}
		list = append(list, steer.Candidate{
			Agent:    s.Addr.Addr(),
			Domain:   s.Domain,
			Slots:    s.Slots,
			Draining: s.State == belief.Draining || e.Control.Leaving(s.Addr.Addr()),
			Cold:     now.Before(e.cold[s.ID].until),
			Failed:   e.suspects.Failed(s.Addr.Addr()),
		})
	}
	return list
}

// pickService selects one of the shares in proportion to their weights, by the flow's hash, so that copies of an opening
// packet that arrive by other entries go to the same service.
func pickService(shares []belief.Share, f segs.Flow) (service string) {
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
