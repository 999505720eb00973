package local

import (
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// Lookup of the owner of a flow that its home has no record of.
//
// The lookup is needed after agents have restarted, for flows that their servers still hold. The home sends the
// question to a lead (lead.go), which asks all agents. An agent that has seen every flow of its server answers
// from its table. Any other agent answers that it is unsure, and gets the packet itself to probe its server,
// which returns the packet if it does not hold the flow. After a loss of power most agents are unsure, as their
// servers were up first. So several agents probe at a time, and one that does not answer gets the packet again
// while others go on: to give up on it early would leave the whole lookup without a result. A flow whose
// packets keep reaching other servers but not its own is broken; as no unsure agent is left out, its own server
// gets the packet too.
//
// If all agents answer that they do not hold the flow, it is over, and the caller gets a reset, so that it does
// not wait for its deadline. As long as one agent has not answered, that agent's server may hold the flow, and
// no reset is sent.

const (
	// leadTimeout is when an unresponsive lead is asked again. A round takes 5 ms, and about 40 ms if a
	// datagram is lost.
	leadTimeout = 100 * time.Millisecond
	// leadAttempts is how often a lead is asked before the next one is, and maxLeads is how many are asked in
	// turn.
	leadAttempts = 2
	maxLeads     = 3
	// probeTimeout is how long an agent has to probe its server, and probeAttempts is how often it gets the
	// packet. Either datagram may be lost, and with hundreds of agents three losses in a row are not rare.
	probeTimeout  = 40 * time.Millisecond
	probeAttempts = 10
	// maxParallelProbes is how many agents may have the packet at a time.
	maxParallelProbes = 16
	// farDelay is how long the agents of the caller's failure domain have to answer before those of other
	// domains are probed. The owner reports the flow only when its server has processed the request and
	// answers; all others return the packet at once.
	farDelay = 60 * time.Millisecond
	// lookupRetryAfter is how long a lookup that ended without a definite result is not repeated.
	lookupRetryAfter = 250 * time.Millisecond
	// lookupTimeout ends a lookup; the caller's next packet starts another one.
	lookupTimeout = 4 * time.Second
	// maxLookups bounds memory: each lookup keeps one packet of up to 1.2 KB.
	maxLookups = 1024
)

// lookup is a lookup in progress, or the record of one that ended without a definite result.
type lookup struct {
	began        time.Time
	ended        time.Time // zero while the lookup is in progress
	question     msgs.Question
	message      msgs.Forward // the newest message, without its packet
	packet       []byte
	askedAt      time.Time              // when a lead was last asked
	leadRequests int                    // number of questions sent to leads
	lead         netip.Addr             // the lead that was last asked
	answered     bool                   // a lead has answers from all agents
	near         []netip.Addr           // unsure agents to be probed, of the failure domain of the caller's entry
	far          []netip.Addr           // unsure agents to be probed, of other failure domains
	lastNear     time.Time              // when the last near agent got the packet
	attempts     map[netip.Addr]attempt // by unsure agents that got the packet
	pending      int                    // agents that have the packet and have not answered
	unanswered   int                    // agents that were given up without an answer
}

// attempt is the state of an agent's probe of its server.
type attempt struct {
	sent  time.Time // when the agent last got the packet
	count int
	done  bool // the agent has answered that its server does not hold the flow, or was given up
}

// startLookup starts a lookup of a flow's owner.
func (a *Agent) startLookup(now time.Time, m msgs.Forward, s *segs.Segment) {
	if a.Off.Search {
		countDropped("searches")
		return
	}
	if q := a.lookups[s.Flow]; q != nil {
		q.keepPacket(m)
		return
	}
	if len(a.lookups) >= maxLookups {
		countDropped("searches")
		return
	}
	q := &lookup{began: now, question: msgs.Question{Flow: s.Flow, Ack: s.Ack}, attempts: map[netip.Addr]attempt{}}
	q.keepPacket(m)
	a.lookups[s.Flow] = q
	lookupsStarted.Inc()
	a.askLead(now, q)
}

func (q *lookup) keepPacket(m msgs.Forward) {
	q.packet = append(q.packet[:0], m.Packet...)
	q.message = m
	q.message.Packet = nil
}

// askLead sends the question to a lead, and moves on to the next lead after leadAttempts questions.
func (a *Agent) askLead(now time.Time, q *lookup) {
	rank := q.leadRequests / leadAttempts % maxLeads
	q.leadRequests++
	q.askedAt = now
	lead, ok := a.Log.View().Homes.Lead(a.Self, rank)
	if !ok {
		return // no agents are known yet
	}
	if lead != q.lead {
		q.lead = lead
		a.Events.Flow(event.Failure, "search", q.question.Flow).Stringer("lead", lead).Stringer("revision", a.Log.Revision()).Send()
	}
	if lead == a.Self {
		a.enqueueQuestion(now, a.Self, q.question)
		return
	}
	a.sendFailed(now, lead)
	m := msgs.Lookup{Header: a.head(), Question: q.question}
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(lead, a.buf)
}

// handleResult processes a lead's answer.
func (a *Agent) handleResult(now time.Time, m msgs.LookupResult) {
	q := a.lookups[m.Flow]
	if q == nil || !q.ended.IsZero() || q.answered {
		return
	}
	if m.Owner.IsValid() {
		a.ownerFound(now, m.Owner, q)
		return
	}
	q.answered = !m.Partial
	v := a.Log.View()
	if m.AllUnsure {
		m.Unsure = v.Homes.Agents()
	}
	q.near, q.far = splitByDomain(v, m.Unsure, q.message.Domain)
	a.probeNext(now, q)
}

// splitByDomain separates the agents of a failure domain from all others. A flow is mostly in the domain of the
// entry that its caller uses, as new flows are placed near. If agents were probed in any order, half of them
// would get the packet in vain.
func splitByDomain(v *belief.View, agents []netip.Addr, domain uint8) (near, far []netip.Addr) {
	for _, a := range agents {
		if s, ok := v.Server(a); ok && belief.DomainHash(s.Domain) == domain {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	return near, far
}

// ownerFound ends a lookup because an agent has reported that its server holds the flow.
func (a *Agent) ownerFound(now time.Time, agent netip.Addr, q *lookup) {
	f := q.question.Flow
	delete(a.lookups, f)
	if agent == a.Self {
		a.sendOwner(q.message.Origin, msgs.Owner{Flow: f, Open: true})
		return
	}
	a.home.Register(now, agent, msgs.Location{Flow: f})
	if _, tried := q.attempts[agent]; tried {
		return // the agent has the packet already
	}
	m := q.message
	m.Packet = q.packet
	m.ToOwner = true
	a.forward(agent, m)
}

// probeNext sends the packet to unsure agents that have not had it, or ends the lookup if none is left.
func (a *Agent) probeNext(now time.Time, q *lookup) {
	for q.pending < maxParallelProbes {
		agent, ok := q.next(now)
		if !ok {
			break
		}
		if _, tried := q.attempts[agent]; !tried {
			q.pending++
			a.probeAgent(now, q, agent)
		}
	}
	if q.pending == 0 && q.answered {
		a.conclude(now, q)
	}
}

// next returns the agent to be probed next.
func (q *lookup) next(now time.Time) (agent netip.Addr, ok bool) {
	switch {
	case len(q.near) > 0:
		agent, q.near = q.near[0], q.near[1:]
		q.lastNear = now
		return agent, true
	case len(q.far) > 0 && (q.pending == 0 || now.Sub(q.lastNear) >= farDelay):
		agent, q.far = q.far[0], q.far[1:]
		return agent, true
	default:
		return netip.Addr{}, false
	}
}

// probeAgent sends the packet to an agent, which probes its server with it.
func (a *Agent) probeAgent(now time.Time, q *lookup, agent netip.Addr) {
	q.attempts[agent] = attempt{sent: now, count: q.attempts[agent].count + 1}
	if agent == a.Self {
		a.probe(now, a.Self, q.question.Flow, q.packet)
		return
	}
	m := q.message
	m.Probe = true
	m.Packet = q.packet
	a.forward(agent, m)
}

// handleProbeResult processes an agent's report on whether its server holds a flow.
func (a *Agent) handleProbeResult(now time.Time, from netip.Addr, m msgs.ProbeResult) {
	q := a.lookups[m.Flow]
	if q == nil || !q.ended.IsZero() {
		return
	}
	if m.Held {
		a.ownerFound(now, from, q)
		return
	}
	if t, tried := q.attempts[from]; tried && !t.done {
		q.endAttempt(from)
		a.probeNext(now, q)
	}
}

// endAttempt notes that an agent's probe has ended.
func (q *lookup) endAttempt(agent netip.Addr) {
	q.attempts[agent] = attempt{done: true}
	q.pending--
}

// conclude ends a lookup in which no agent has reported the flow as held.
func (a *Agent) conclude(now time.Time, q *lookup) {
	q.ended = now
	f := q.question.Flow
	s, err := a.Codec.Decode(q.packet, segs.CallerEnd)
	if err != nil {
		return
	}
	if q.unanswered > 0 {
		a.Events.Flow(event.Failure, "unfound", f).Str("why", "no answer").Int("agents", q.unanswered).Send()
		return
	}
	age, known := a.Control.Age(now)
	if !known || age > a.PropagationBound {
		a.Events.Flow(event.Failure, "unfound", f).Str("why", "belief too old").Dur("age", age).Send()
		return
	}
	delete(a.lookups, f)
	lookupTime.Update(now.Sub(q.began).Seconds())
	a.reset(now, &s, "unheld")
	a.sendOwner(q.message.Origin, msgs.Owner{Flow: f, NoOwner: true})
}

// tickLookups repeats unanswered questions and probes, and deletes lookups that are over.
func (a *Agent) tickLookups(now time.Time) {
	for f, q := range a.lookups {
		switch {
		case !q.ended.IsZero():
			if now.Sub(q.ended) > lookupRetryAfter {
				delete(a.lookups, f)
			}
		case now.Sub(q.began) > lookupTimeout:
			delete(a.lookups, f)
			a.Events.Flow(event.Failure, "unfound", f).Str("why", "gave up").Bool("answered", q.answered).Send()
		default:
			if !q.answered && now.Sub(q.askedAt) > leadTimeout {
				a.askLead(now, q)
			}
			a.retryProbes(now, q)
		}
	}
}

// retryProbes sends the packet again to agents that have not answered, and gives up on an agent after
// probeAttempts.
func (a *Agent) retryProbes(now time.Time, q *lookup) {
	for agent, t := range q.attempts {
		switch {
		case t.done || now.Sub(t.sent) < probeTimeout:
		case t.count < probeAttempts:
			a.probeAgent(now, q, agent)
		default:
			q.unanswered++
			q.endAttempt(agent)
		}
	}
	a.probeNext(now, q)
}
