package local

import (
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// FromServer takes a datagram that the own server sent.
func (a *Agent) FromServer(now time.Time, datagram []byte) {
	s, err := a.Codec.Decode(datagram, segs.ServerEnd)
	if err != nil {
		dropped("malformed")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heardServer(now)
	if s.Has(segs.Returned) {
		a.Codec.Restore(datagram)
		s.Flags &^= segs.Returned
		a.returned(now, &s, datagram)
		return
	}
	if !s.FromServer {
		dropped("malformed")
		return
	}
	a.sent(now, &s)
	a.Wire.ToCaller(s.Flow.Caller, datagram)
	sent.Inc()
}

// sent notes a packet of the server.
func (a *Agent) sent(now time.Time, s *segs.Segment) {
	o := a.flows.Get(s.Flow)
	if o == nil {
		if s.Flags&(segs.Fin|segs.Rst) != 0 {
			return // the end of a flow is nothing to learn
		}
		if o = a.flows.Add(now, s.Flow); o == nil {
			return // found by asking all, as long as the server answers
		}
		learned.Inc()
		if p, tried := a.probes[s.Flow]; tried {
			delete(a.probes, s.Flow)
			a.tellTried(now, p.home, msgs.ProbeResult{Flow: s.Flow, Held: true})
		}
		a.Events.Flow(event.Ordinary, "learned", s.Flow).Stringer("revision", a.Log.Revision()).Send()
	}
	first := !o.Accepted
	if first {
		a.accept(now, o, s)
	}
	if s.Has(segs.Rst) && o.Busy() {
		a.brokeOff(now)
	}
	if took := a.flows.FromServer(now, o, s); took > 0 {
		a.answered()
		a.judge(now, s.Flow, took)
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
		a.flows.Learn(o, s.Seq-learnedBack) // in its middle, after the agent's own restart
		return
	}
	a.flows.Accept(now, o, s.Seq)
	openTime.Update(now.Sub(o.Created).Seconds())
}

// announce tells the flow's home, and the entry, that the agent owns it.
func (a *Agent) announce(now time.Time, o *owner.Flow, s *segs.Segment) {
	a.registerOne(now, o, s.Flow)
	if !o.Origin.IsValid() {
		return
	}
	m := msgs.Opened{Header: a.head(), Flow: s.Flow, Seq: o.Seq, Load: a.flows.Load(now)}
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(o.Origin, a.buf)
	a.Events.Flow(event.Ordinary, "opened", s.Flow).Stringer("entry", o.Origin).Uint16("busy", m.Load.Busy).
		Uint16("flows", m.Load.Flows).Dur("took", now.Sub(o.Created)).Send()
}

// returned takes a caller's packet that the server handed back. The datagram is again what
// the caller wrote.
func (a *Agent) returned(now time.Time, s *segs.Segment, datagram []byte) {
	o := a.flows.Get(s.Flow)
	switch {
	case s.Opening():
		if o != nil && !o.Accepted {
			a.flows.Delete(s.Flow)
			a.handBack(now, o.Origin, s, datagram, msgs.ReasonServer)
		}
	case a.probed(now, s):
	case o != nil && o.Closed():
		dropped("over")
	case o != nil && !o.Established:
		// The server accepted the flow and so did another one, which the caller chose.
		a.flows.Delete(s.Flow)
		a.passOn(now, msgs.Forward{Origin: o.Origin, Packet: datagram}, s)
	case o != nil:
		// The server held the flow and doesn't any more: it was started anew, or has
		// let go of an old flow. Nobody else can hold it, so the caller waits for nothing.
		a.end(now, o, s, "forgotten")
	default:
		dropped("returned")
	}
}

// end forgets a flow that nobody holds and tells the caller, who may try again at once.
func (a *Agent) end(now time.Time, o *owner.Flow, s *segs.Segment, why string) {
	a.flows.Delete(s.Flow)
	a.home.Delete(s.Flow, a.Self)
	a.reset(now, s, why)
	if o.Origin.IsValid() {
		a.tellOwner(o.Origin, msgs.Owner{Flow: s.Flow, NoOwner: true})
	}
}

func (a *Agent) reset(now time.Time, s *segs.Segment, why string) {
	a.packet = a.Codec.Reset(a.packet[:0], *s)
	a.Wire.ToCaller(s.Flow.Caller, a.packet)
	resets(why)
	age, _ := a.Control.Age(now)
	a.Events.Flow(event.Failure, "reset", s.Flow).Str("why", why).Stringer("revision", a.Log.Revision()).Dur("age", age).Send()
}
