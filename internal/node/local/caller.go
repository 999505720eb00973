package local

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/hold"
	"mangowinch/internal/load/share"
	"mangowinch/internal/oper/event"
)

// carried takes a caller's packet that an entry or another agent sent.
func (a *Agent) carried(now time.Time, from netip.Addr, m msgs.Forward) {
	s, err := a.Codec.Decode(m.Packet, segs.CallerEnd)
	if err != nil || s.Has(segs.Returned) {
		dropped("malformed")
		return
	}
	received.Inc()
	if s.Opening() {
		a.open(now, m, &s)
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
			a.tellOwner(m.Origin, msgs.Owner{Flow: s.Flow, Open: true})
		}
		if m.Hops > 1 {
			a.registerOne(now, o, s.Flow) // the home didn't know, or knew another
		}
	case m.Probe:
		a.probe(now, from, s.Flow, m.Packet)
	default:
		a.passOn(now, m, &s)
	}
}

// open takes an opening packet that an entry has placed here.
func (a *Agent) open(now time.Time, m msgs.Forward, s *segs.Segment) {
	a.offered(now, msgs.Offer{Header: m.Header, Origin: m.Origin, LastResort: m.LastResort, Packet: m.Packet}, s)
}

// offered gives an opening packet to the server, to a less busy one, or back to the entry.
func (a *Agent) offered(now time.Time, m msgs.Offer, s *segs.Segment) {
	if o := a.flows.Get(s.Flow); o != nil {
		o.LastUsed = now
		a.Wire.ToServer(m.Packet) // a copy: the server's answer was lost or is on its way
		return
	}
	if a.waiting.Contains(s.Flow) {
		return // a copy: it waits in one place only, or two servers would open it
	}
	if why := a.closed(now, m, s); why != 0 {
		a.handBack(now, m.Origin, s, m.Packet, why)
		return
	}
	servers := a.others()
	if a.Off.Offers {
		m.Final = true
	}
	next := share.Next(share.Server{Agent: a.Self, Work: a.work(now)}, m.Visited, m.Final, servers, a.Rand.IntN)
	if next.Agent != a.Self {
		a.offer(m, next, s)
		return
	}
	a.take(now, m, s)
}

// take lets a flow that is to be this server's wait for its turn, which may come at once.
func (a *Agent) take(now time.Time, m msgs.Offer, s *segs.Segment) {
	w := &hold.QueuedFlow{
		Flow:      s.Flow,
		Origin:    m.Origin,
		FirstSent: now.Add(-a.Callers.Age(s.Ack)),
		Packet:    slices.Clone(m.Packet),
	}
	if r := a.Log.View().Route(s.Flow.ServiceAddr()); r != nil {
		w.Priority, w.Target = r.Priority, r.Target
	}
	if last := a.waiting.Add(now, w, a.waitingLimit(now)); last != nil {
		a.handBackWaiting(now, last, msgs.ReasonBusy)
		if last == w {
			return
		}
	}
	a.admit(now)
	if a.waiting.Contains(s.Flow) {
		held.Inc()
		a.Events.Flow(event.Ordinary, "waits", s.Flow).Int("waiting", a.waiting.Len()).Uint16("work", a.work(now)).
			Int("priority", w.Priority).Stringer("revision", a.Log.Revision()).Send()
		a.tellOwner(m.Origin, msgs.Owner{Flow: s.Flow}) // or the entry would place the caller's copy elsewhere
	}
}

// waitingPerSlot bounds the flows that wait for each slot of the server: so many requests of 40 ms are served before their callers give
// up. A caller that is refused comes again at once and looks new, so that too few cost more than too many.
const waitingPerSlot = 30

// waitingLimit is how many flows may wait: no more than the server can be given before their callers give up.
func (a *Agent) waitingLimit(now time.Time) int {
	limit := a.slots() * waitingPerSlot
	rate := a.Log.View().WarmUp(a.Service).Rate
	if rate <= 0 || !a.warmth.Cold(now) {
		return limit
	}
	return min(limit, max(1, int(rate*a.Callers.OpenWindow().Seconds())))
}

// admit gives the server the flows that it has room for.
func (a *Agent) admit(now time.Time) {
	for a.waiting.Len() > 0 && a.mayOpen(now) {
		expected := a.flows.Expected(now)
		if a.Off.Waiting {
			expected = 0
		}
		w := a.waiting.Next(now, expected, a.slots(), a.Log.View().LowestPriority)
		if w == nil {
			return
		}
		o := a.flows.Add(now, w.Flow)
		if o == nil {
			a.handBackWaiting(now, w, msgs.ReasonTable)
			continue
		}
		o.Origin = w.Origin
		a.warmth.Record(now)
		if a.unheard.IsZero() {
			a.unheard = now
		}
		a.Wire.ToServer(w.Packet)
	}
}

// returnWaiting hands all waiting flows back to their entries.
func (a *Agent) returnWaiting(now time.Time, why msgs.Reason) {
	for _, w := range a.waiting.Clear() {
		a.handBackWaiting(now, w, why)
	}
}

func (a *Agent) handBackWaiting(now time.Time, w *hold.QueuedFlow, why msgs.Reason) {
	s := segs.Segment{Flow: w.Flow}
	a.handBack(now, w.Origin, &s, w.Packet, why)
}

func (a *Agent) slots() int {
	if self, ok := a.self(a.Log.View()); ok {
		return max(1, self.Slots)
	}
	return 1
}

// work is how busy the own server is, in hundredths of its slots. One that is cold and has had its share counts as full.
func (a *Agent) work(now time.Time) uint16 {
	requests := a.flows.Expected(now) + a.flows.Overdue(now)
	if !a.mayOpen(now) {
		requests = max(requests, a.slots())
	}
	return uint16(min((requests+a.waiting.Len())*100/a.slots(), 0xffff))
}

// others lists the agents of the service whose servers take new flows.
func (a *Agent) others() (agents []share.Server) {
	v := a.Log.View()
	self, _ := a.self(v)
	for _, s := range v.Servers(a.Service) {
		if s.State == belief.Ready && s.Addr.Addr() != a.Self && !v.Evacuated(s.Domain) {
			agents = append(agents, share.Server{Agent: s.Addr.Addr(), SameDomain: s.Domain == self.Domain})
		}
	}
	return agents
}

// offer passes an opening packet on to an agent.
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

// closed says why no new flow may go to the server, or 0.
func (a *Agent) closed(now time.Time, m msgs.Offer, s *segs.Segment) msgs.Reason {
	v := a.Log.View()
	switch {
	case m.Service != 0 && m.Service != a.hash:
		// The address was another service's server's until a moment ago, and the entry
		// doesn't know yet. Without the check its flow would run on a foreign service.
		return msgs.ReasonService
	case v.Evacuated(a.Domain):
		return msgs.ReasonEvacuated
	case a.leaving:
		return msgs.ReasonLeaving
	case now.Sub(a.down) < downFor:
		return msgs.ReasonDown
	case a.mute(now):
		return msgs.ReasonUnresponsive
	case !m.LastResort && (!a.breaker.Allows(now) || !a.quick.Allows(now)):
		return msgs.ReasonFailing
	case v.Revision > m.Revision && v.Config != nil && !v.Allows(s.Flow.ServiceAddr(), a.Service):
		// The entry is behind, or was frozen and has just woken up with an old route.
		return msgs.ReasonRoute
	}
	if self, ok := a.self(v); ok && self.State == belief.Draining {
		return msgs.ReasonDraining
	}
	return 0
}

const (
	// muteAfter is how long a server may send nothing after an opening packet, which it answers within
	// a millisecond, before it counts as mute.
	muteAfter = 150 * time.Millisecond
	// muteTry is how often a mute server gets an opening packet all the same, to see whether it is back.
	muteTry = 400 * time.Millisecond
)

// mute says whether the server has stopped answering: its instance is up, its process hangs
// or is cut off. Without it every flow placed here would wait for its caller's first copy, 200 ms.
func (a *Agent) mute(now time.Time) bool {
	if a.Off.Mute || a.unheard.IsZero() || now.Sub(a.unheard) < muteAfter {
		return false
	}
	if now.Sub(a.tried) < muteTry {
		return true
	}
	a.tried = now
	return false
}

// handBack returns an opening packet that no server has taken to the entry.
func (a *Agent) handBack(now time.Time, origin netip.Addr, s *segs.Segment, packet []byte, why msgs.Reason) {
	m := msgs.Refused{Header: a.head(), Reason: why, Load: a.flows.Load(now), Packet: packet}
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(origin, a.buf)
	handedBack(why.String())
	a.Events.Flow(event.Failure, "handed-back", s.Flow).Stringer("why", why).Stringer("entry", origin).
		Uint16("busy", m.Load.Busy).Uint16("flows", m.Load.Flows).Stringer("revision", m.Revision).Send()
}

// passOn sends on a packet of a flow that the own server doesn't hold: to the owner if this
// agent is the flow's home, to the home otherwise.
func (a *Agent) passOn(now time.Time, m msgs.Forward, s *segs.Segment) {
	if m.Hops >= mostHops {
		dropped("hops")
		a.Events.Flow(event.Failure, "circled", s.Flow).Uint8("hops", m.Hops).Stringer("revision", a.Log.Revision()).Send()
		return
	}
	if m.ToOwner {
		// The home remembers this agent from before its restart, or the server has let the flow
		// go. Sent back to the home, the packet would come again, and be dropped in the end.
		a.searchFor(now, m, s)
		return
	}
	if owner, ok := a.home.Owner(s.Flow, s.Ack); ok && owner != a.Self {
		if a.doubted.Failed(owner) {
			a.searchFor(now, m, s)
			return
		}
		a.keepPassed(now, owner, m, s)
		m.ToOwner = true
		a.forward(owner, m)
		return
	}
	home, ok := a.Log.View().Homes.Of(s.Flow)
	if !ok || home == a.Self || m.AsHome || m.Hops >= mostHops-1 {
		a.searchFor(now, m, s)
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

// tellOwner tells an entry where a flow is.
func (a *Agent) tellOwner(entry netip.Addr, m msgs.Owner) {
	m.Header = a.head()
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(entry, a.buf)
}
