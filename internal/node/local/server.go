package local

import (
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// FromServer processes a datagram that the local server sent.
func (a *Agent) FromServer(now time.Time, datagram []byte) {
	s, err := a.Codec.Decode(datagram, segs.ServerEnd)
	if err != nil {
		countDropped("malformed")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serverResponded(now)
	if s.Has(segs.Returned) {
		a.Codec.Restore(datagram)
		s.Flags &^= segs.Returned
		a.handleReturned(now, &s, datagram)
		return
	}
	if !s.FromServer {
		countDropped("malformed")
		return
	}
	a.recordSent(now, &s)
	a.Wire.ToCaller(s.Flow.Caller, datagram)
	sent.Inc()
}

// recordSent updates the flow of a packet that the server sent.
func (a *Agent) recordSent(now time.Time, s *segs.Segment) {
	o := a.flows.Get(s.Flow)
	if o == nil {
		if s.Flags&(segs.Fin|segs.Rst) != 0 {
			return // an ending flow need not be learned
		}
		if o = a.flows.Add(now, s.Flow); o == nil {
			return // the table is full; the flow can still be found by asking all agents while the server answers
		}
		learned.Inc()
		if p, tried := a.probes[s.Flow]; tried {
			delete(a.probes, s.Flow)
			a.sendProbeResult(now, p.home, msgs.ProbeResult{Flow: s.Flow, Held: true})
		}
		a.Events.Flow(event.Ordinary, "learned", s.Flow).Stringer("revision", a.Log.Revision()).Send()
	}
	first := !o.Accepted
	if first {
		a.accept(now, o, s)
	}
	if s.Has(segs.Rst) && o.Busy() {
		a.requestAborted(now)
	}
	if took := a.flows.FromServer(now, o, s); took > 0 {
		a.requestAnswered()
		a.recordService(now, s.Flow, o.Service, took)
		a.checkResponseTime(now, s.Flow, o, took)
		answerTime.Update(took.Seconds())
		defer a.admit(now)
	}
	if first {
		a.announce(now, o, s)
	}
}

// accept notes that the server holds a flow.
func (a *Agent) accept(now time.Time, o *owner.Flow, s *segs.Segment) {
	if !s.Accepting() {
		a.flows.Learn(o, s.Seq-learnedWindow) // in mid-flow, after a restart of the agent
		return
	}
	a.flows.Accept(now, o, s.Seq)
	openTime.Update(now.Sub(o.Created).Seconds())
}

// announce notifies the flow's home and the entry that the agent owns the flow.
func (a *Agent) announce(now time.Time, o *owner.Flow, s *segs.Segment) {
	a.registerOne(now, o, s.Flow)
	if !o.Origin.IsValid() {
		return
	}
	m := msgs.Opened{Header: a.head(), Flow: s.Flow, Seq: o.Seq, Load: a.flows.Load(now), Estimate: a.estimate(now)}
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(o.Origin, a.buf)
	a.Events.Flow(event.Ordinary, "opened", s.Flow).Stringer("entry", o.Origin).Str("to", a.Service).Uint16("busy", m.Load.Busy).
		Uint16("flows", m.Load.Flows).Dur("took", now.Sub(o.Created)).Stringer("revision", m.Revision).Send()
}

// handleReturned processes a caller's packet that the server returned. The datagram has been restored to what
// the caller sent.
func (a *Agent) handleReturned(now time.Time, s *segs.Segment, datagram []byte) {
	o := a.flows.Get(s.Flow)
	switch {
	case s.Opening():
		if o != nil && !o.Accepted {
			a.flows.Delete(s.Flow)
			a.returnOpening(now, o.Origin, s, datagram, msgs.ReasonServer)
		}
	case a.handleReturnedProbe(now, s):
	case o != nil && o.Closed():
		countDropped("over")
	case o != nil && !o.Established:
		// This server accepted the flow, and so did another one, which the caller has chosen.
		a.flows.Delete(s.Flow)
		a.routePacket(now, msgs.Forward{Origin: o.Origin, Packet: datagram}, s)
	case o != nil:
		// The server held the flow and no longer does: it was restarted, or has dropped an old flow. No other
		// server can hold it, so the caller would wait in vain.
		a.endFlow(now, o, s, "forgotten")
	default:
		countDropped("returned")
	}
}

// endFlow deletes a flow and resets it, so that its caller can retry at once. The flow is one that no server
// holds, or an idle flow of a server that aborts its requests.
func (a *Agent) endFlow(now time.Time, o *owner.Flow, s *segs.Segment, why string) {
	a.flows.Delete(s.Flow)
	a.home.Delete(s.Flow, a.Self)
	a.reset(now, s, why)
	if o.Origin.IsValid() {
		a.sendOwner(o.Origin, msgs.Owner{Flow: s.Flow, NoOwner: true})
	}
}

func (a *Agent) reset(now time.Time, s *segs.Segment, why string) {
	a.packet = a.Codec.Reset(a.packet[:0], *s)
	a.Wire.ToCaller(s.Flow.Caller, a.packet)
	countReset(why)
	age, _ := a.Control.Age(now)
	a.Events.Flow(event.Failure, "reset", s.Flow).Str("why", why).Stringer("revision", a.Log.Revision()).Dur("age", age).Send()
}
