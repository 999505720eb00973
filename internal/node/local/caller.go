package local

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/hold"
	"mangowinch/internal/load/share"
	"mangowinch/internal/oper/event"
)

// handleForward processes a caller's packet that was sent by an entry or another agent.
func (a *Agent) handleForward(now time.Time, from netip.Addr, m msgs.Forward) {
	s, err := a.Codec.Decode(m.Packet, segs.CallerEnd)
	if err != nil || s.Has(segs.Returned) {
		countDropped("malformed")
		return
	}
	received.Inc()
	if s.Opening() {
		a.handleOpening(now, m, &s)
		return
	}
	o := a.flows.Get(s.Flow)
	switch {
	case o != nil && o.Fits(s.Ack):
		if !o.Open {
			o.Open = true
		}
		o.Origin = m.Origin
		a.flows.FromCaller(now, o, &s)
		a.Wire.ToServer(m.Packet)
		if m.Hops > 0 {
			a.sendOwner(m.Origin, msgs.Owner{Flow: s.Flow, Open: true})
		}
		if m.Hops > 1 {
			a.registerOne(now, o, s.Flow) // the home has no record of the owner, or an outdated one
		}
	case m.Probe:
		a.probe(now, from, s.Flow, m.Packet)
	default:
		a.routePacket(now, m, &s)
	}
}

// handleOpening processes an opening packet that an entry has placed at this agent.
func (a *Agent) handleOpening(now time.Time, m msgs.Forward, s *segs.Segment) {
	a.placeOpening(now, msgs.Offer{Header: m.Header, Origin: m.Origin, Final: m.ToOwner, LastResort: m.LastResort, Packet: m.Packet, Usage: m.Hops}, s)
}

// placeOpening gives an opening packet to the local server, offers it to a less busy one, or returns it to the
// entry.
func (a *Agent) placeOpening(now time.Time, m msgs.Offer, s *segs.Segment) {
	if o := a.flows.Get(s.Flow); o != nil {
		a.placeKnown(now, o, m, s)
		return
	}
	if a.waiting.Heard(now, s.Flow, int(s.Ack)) {
		return // a retransmission: the flow must wait at one agent only, or two servers would open it
	}
	if reason := a.refusalReason(now, m, s); reason != 0 {
		a.returnOpening(now, m.Origin, s, m.Packet, reason)
		return
	}
	servers := a.peers()
	if a.Off.Offers {
		m.Final = true
	}
	next := share.Next(share.Server{Agent: a.Self, Utilization: a.utilization(now)}, m.Visited, m.Final, servers, a.Rand.IntN)
	if next.Agent != a.Self {
		a.offer(m, next, s)
		return
	}
	a.enqueue(now, m, s)
}

// placeKnown gives the server an opening packet of a flow that the agent knows. It is a copy, as the server's answer was
// lost or is on its way, or it opens a new flow on a port that the caller uses again.
func (a *Agent) placeKnown(now time.Time, o *owner.Flow, m msgs.Offer, s *segs.Segment) {
	reason := msgs.Reason(0)
	switch {
	case o.Ack != 0: // the caller has used the flow, so this is hardly a copy
		reason = a.refusalReason(now, m, s)
	case !a.servesOpening(now, m.Service):
		reason = msgs.ReasonService
	}
	if reason != 0 {
		a.returnOpening(now, m.Origin, s, m.Packet, reason)
		return
	}
	o.LastUsed = now
	a.Wire.ToServer(m.Packet)
}

// enqueue adds a flow that this server is to serve to the waiting queue, and admits it at once if a slot is
// free.
func (a *Agent) enqueue(now time.Time, m msgs.Offer, s *segs.Segment) {
	w := &hold.QueuedFlow{
		Flow:      s.Flow,
		Origin:    m.Origin,
		FirstSent: now.Add(-a.Callers.Age(s.Ack)),
		Copies:    int(s.Ack),
		Usage:     m.Usage,
		Packet:    slices.Clone(m.Packet),
	}
	if a.Off.Shares {
		w.Usage = 0
	}
	if r := a.Log.View().Route(s.Flow.ServiceAddr()); r != nil {
		w.Priority, w.Target, w.Timeout = r.Priority, r.Target, r.Timeout
	}
	if evicted := a.waiting.Add(now, w, a.waitingLimit(now)); evicted != nil {
		a.returnWaitingFlow(now, evicted, msgs.ReasonBusy)
		if evicted == w {
			return
		}
	}
	a.admit(now)
	if a.waiting.Contains(s.Flow) {
		queued.Inc()
		a.Events.Flow(event.Ordinary, "waits", s.Flow).Int("waiting", a.waiting.Len()).Uint16("work", a.utilization(now)).
			Int("priority", w.Priority).Dur("expected", a.expectedWait(now, w.Priority)).Stringer("revision", a.Log.Revision()).Send()
		a.sendOwner(m.Origin, msgs.Owner{Flow: s.Flow, Estimate: a.estimate(now)}) // otherwise the entry would place a retransmission elsewhere
	}
}

// waitingPerSlot bounds the flows that wait for each slot of the server. 30 requests of 40 ms can be served
// before their callers give up. A refused caller retries at once and looks like a new one, so too low a limit
// costs more than too high a limit.
const waitingPerSlot = 30

// waitingLimit returns how many flows may wait: no more than the server can take before their callers give up.
func (a *Agent) waitingLimit(now time.Time) int {
	limit := a.slots() * waitingPerSlot
	rate := a.Log.View().WarmUp(a.Service).Rate
	if rate <= 0 || !a.warmUp.Cold(now) {
		return limit
	}
	return min(limit, max(1, int(rate*a.Callers.OpenWindow().Seconds())))
}

// admit gives waiting flows to the server while it has free slots.
func (a *Agent) admit(now time.Time) {
	a.expireWaiting(now)
	if a.waiting.Len() > 0 && !a.confirmService(now) {
		a.returnAllWaiting(now, msgs.ReasonService)
	}
	for a.waiting.Len() > 0 && a.mayOpen(now) {
		w := a.waiting.Next(now, a.serverState(now))
		if w == nil {
			return
		}
		o := a.flows.Add(now, w.Flow)
		if o == nil {
			a.returnWaitingFlow(now, w, msgs.ReasonTable)
			continue
		}
		o.Origin = w.Origin
		a.warmUp.Record(now)
		if a.unansweredSince.IsZero() {
			a.unansweredSince = now
		}
		a.Wire.ToServer(w.Packet)
	}
}

// returnAllWaiting returns all waiting flows to their entries.
func (a *Agent) returnAllWaiting(now time.Time, reason msgs.Reason) {
	for _, w := range a.waiting.Clear() {
		a.returnWaitingFlow(now, w, reason)
	}
}

func (a *Agent) returnWaitingFlow(now time.Time, w *hold.QueuedFlow, reason msgs.Reason) {
	s := segs.Segment{Flow: w.Flow}
	a.returnOpening(now, w.Origin, &s, w.Packet, reason)
}

func (a *Agent) slots() int {
	if self, ok := a.self(a.Log.View()); ok {
		return max(1, self.Slots)
	}
	return 1
}

// utilization returns the load of the local server in hundredths of its slots. A server that is warming up and
// has used up its rate counts as full.
func (a *Agent) utilization(now time.Time) uint16 {
	requests := a.flows.Expected(now) + a.flows.Overdue(now)
	if !a.mayOpen(now) {
		requests = max(requests, a.slots())
	}
	return uint16(min((requests+a.waiting.Len())*100/a.slots(), 0xffff))
}

// peers returns the other agents of the service whose servers accept new flows.
func (a *Agent) peers() (agents []share.Server) {
	v := a.Log.View()
	self, _ := a.self(v)
	for _, s := range v.Servers(a.Service) {
		if s.State == belief.Ready && s.Addr.Addr() != a.Self && !v.Evacuated(s.Domain) {
			agents = append(agents, share.Server{Agent: s.Addr.Addr(), SameDomain: s.Domain == self.Domain})
		}
	}
	return agents
}

// offer sends an opening packet to another agent.
func (a *Agent) offer(m msgs.Offer, next share.Choice, s *segs.Segment) {
	m.Revision = a.Log.Revision()
	m.Service = a.hash
	m.Visited = next.Visited
	m.Final = next.Final
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(next.Agent, a.buf)
	offers.Inc()
	a.Events.Flow(event.Ordinary, "offered", s.Flow).Stringer("agent", next.Agent).Bool("final", next.Final).
		Int("visited", len(next.Visited)).Uint16("work", next.Visited[len(next.Visited)-1].Utilization).Stringer("revision", m.Revision).Send()
}

// refusalReason returns why no new flow may go to the server, or 0 if it may.
func (a *Agent) refusalReason(now time.Time, m msgs.Offer, s *segs.Segment) msgs.Reason {
	v := a.Log.View()
	switch {
	case m.Service != a.hash && !a.servesOpening(now, m.Service):
		return msgs.ReasonService
	case v.Evacuated(a.Domain):
		return msgs.ReasonEvacuated
	case a.leaving:
		return msgs.ReasonLeaving
	case now.Sub(a.lastDown) < downFor:
		return msgs.ReasonDown
	case a.unresponsive(now):
		return msgs.ReasonUnresponsive
	case !m.LastResort && (!a.breaker.Allows(now) || !a.quick.Allows(now)):
		return msgs.ReasonFailing
	case v.Revision > m.Revision && v.Config != nil && !v.Allows(s.Flow.ServiceAddr(), a.Service):
		// The entry's configuration is outdated, for example because its process was frozen and has just
		// resumed with an old route.
		return msgs.ReasonRoute
	}
	if self, ok := a.self(v); ok && self.State == belief.Draining {
		return msgs.ReasonDraining
	}
	if !a.servesOpening(now, m.Service) { // last, because it may read the settings
		return msgs.ReasonService
	}
	return 0
}

const (
	// unresponsiveAfter is how long a server may send nothing after an opening packet, which it normally
	// answers within a millisecond, before it counts as unresponsive.
	unresponsiveAfter = 150 * time.Millisecond
	// unresponsiveRetry is the interval at which an unresponsive server still gets an opening packet, to detect
	// its recovery.
	unresponsiveRetry = 400 * time.Millisecond
)

// unresponsive reports whether the server has stopped answering: its instance is up, but its process hangs or
// is cut off. Without this check every flow placed here would wait 200 ms for its caller's first
// retransmission.
func (a *Agent) unresponsive(now time.Time) bool {
	if a.Off.Mute || a.unansweredSince.IsZero() || now.Sub(a.unansweredSince) < unresponsiveAfter {
		return false
	}
	if now.Sub(a.lastRetry) < unresponsiveRetry {
		return true
	}
	a.lastRetry = now
	return false
}

// returnOpening returns an opening packet that no server has taken to the entry.
func (a *Agent) returnOpening(now time.Time, origin netip.Addr, s *segs.Segment, packet []byte, reason msgs.Reason) {
	m := msgs.Refused{Header: a.head(), Reason: reason, Load: a.flows.Load(now), Packet: packet}
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(origin, a.buf)
	countReturned(reason.String())
	a.Events.Flow(event.Failure, "handed-back", s.Flow).Stringer("why", reason).Stringer("entry", origin).
		Uint16("busy", m.Load.Busy).Uint16("flows", m.Load.Flows).Stringer("revision", m.Revision).Send()
}

// routePacket forwards a packet of a flow that the local server does not hold: to the owner if this agent is
// the flow's home, to the home otherwise.
func (a *Agent) routePacket(now time.Time, m msgs.Forward, s *segs.Segment) {
	if m.Hops >= maxHops {
		countDropped("hops")
		a.Events.Flow(event.Failure, "circled", s.Flow).Uint8("hops", m.Hops).Stringer("revision", a.Log.Revision()).Send()
		return
	}
	if m.ToOwner {
		// Either the home's record is from before this agent's restart, or the server has closed the flow. The
		// home would only send the packet here again, until it is dropped.
		a.startLookup(now, m, s)
		return
	}
	if owner, ok := a.home.Owner(s.Flow, s.Ack); ok && owner != a.Self {
		if a.suspects.Failed(owner) {
			a.startLookup(now, m, s)
			return
		}
		a.keepForwarded(now, owner, m, s)
		m.ToOwner = true
		a.forward(owner, m)
		return
	}
	home, ok := a.Log.View().Homes.Of(s.Flow)
	if !ok || home == a.Self || m.AsHome || m.Hops >= maxHops-1 {
		a.startLookup(now, m, s)
		return
	}
	a.forward(home, m)
}

func (a *Agent) forward(to netip.Addr, m msgs.Forward) {
	m.Hops++
	m.AsHome = false
	m.Header = a.head()
	m.Service = 0
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(to, a.buf)
	forwarded.Inc()
}

// sendOwner sends an entry the location of a flow.
func (a *Agent) sendOwner(entry netip.Addr, m msgs.Owner) {
	m.Header = a.head()
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(entry, a.buf)
}
