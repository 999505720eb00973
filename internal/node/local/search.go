package local

import (
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// The search for a flow that its home doesn't know.
//
// It is needed after agents have restarted, with flows that their servers still hold. The home hands the question to a lead (lead.go),
// which asks all agents. One that has seen every flow of its server answers from its table;
// one that has not says that it is unsure, and gets the packet itself to try its server: whoever
// doesn't hold the flow returns the packet. After a loss of power most agents are unsure, as their servers were up first. So
// several try at a time, and one that doesn't answer gets the packet again while others go on: given up, it would leave the whole
// search without a result. A packet of an open flow that keeps reaching other servers but not its own is a broken flow; no unsure
// agent is left out, so its own gets it too.
//
// If all agents answer that they don't hold it, nobody does: the flow is over, and the
// caller is told by a reset, so that it doesn't wait for its deadline. As long as one agent doesn't answer,
// the flow may be its server's, and nothing is said.

const (
	// leadWithin is when a lead that hasn't answered is asked again. A round takes 5 ms, and some 40 if a datagram is lost.
	leadWithin = 100 * time.Millisecond
	// triesOfLead is how often a lead is asked before the next one is, and leads is how many are asked in turn.
	triesOfLead = 2
	leads       = 3
	// tryWithin is how long an agent has for trying its server, and triesOfServer how often it gets the packet. Either datagram
	// may be lost, and with hundreds of agents three losses in a row are no rare thing.
	tryWithin     = 40 * time.Millisecond
	triesOfServer = 10
	// triesAtOnce is how many agents have the packet at a time.
	triesAtOnce = 16
	// farAfter is how long agents of other failure domains wait for those of the caller's to answer. Who holds the flow says so
	// when its server answers the request, after its work; all others say at once that they don't.
	farAfter = 60 * time.Millisecond
	// searchAgain is how long a search that ended without certainty is not repeated.
	searchAgain = 250 * time.Millisecond
	// searchMost ends a search; the caller's next packet begins another one.
	searchMost = 4 * time.Second
	// mostSearches bounds memory: each keeps one packet of 1.2 KB.
	mostSearches = 1024
)

// search is one search under way, or the memory of one that ended without certainty.
type search struct {
	began    time.Time
	ended    time.Time // zero: it is under way
	question msgs.Question
	carry    msgs.Forward // the newest packet
	packet   []byte
	asked    time.Time              // when a lead was asked last
	asks     int                    // how often leads were asked
	lead     netip.Addr             // asked last
	answered bool                   // a lead has heard all agents
	near     []netip.Addr           // unsure agents to be tried, of the failure domain by which the caller comes
	far      []netip.Addr           // others
	nearAt   time.Time              // when the last of the near ones got the packet
	tries    map[netip.Addr]attempt // of unsure agents that got the packet
	trying   int                    // agents that have it and haven't said what became of it
	absent   int                    // agents that never said so
}

// attempt is an agent's try of its server.
type attempt struct {
	sent  time.Time // when the agent got the packet last
	times int
	over  bool // it has said that its server doesn't hold the flow, or was given up
}

// searchFor begins a search for a flow's owner.
func (a *Agent) searchFor(now time.Time, m msgs.Forward, s *segs.Segment) {
	if a.Off.Search {
		dropped("searches")
		return
	}
	if q := a.searches[s.Flow]; q != nil {
		q.keep(m)
		return
	}
	if len(a.searches) >= mostSearches {
		dropped("searches")
		return
	}
	q := &search{began: now, question: msgs.Question{Flow: s.Flow, Ack: s.Ack}, tries: map[netip.Addr]attempt{}}
	q.keep(m)
	a.searches[s.Flow] = q
	searched.Inc()
	a.askLead(now, q)
}

func (q *search) keep(m msgs.Forward) {
	q.packet = append(q.packet[:0], m.Packet...)
	q.carry = m
	q.carry.Packet = nil
}

// askLead hands the question to a lead, each time to the next one after a few tries.
func (a *Agent) askLead(now time.Time, q *search) {
	rank := q.asks / triesOfLead % leads
	q.asks++
	q.asked = now
	lead, ok := a.Log.View().Homes.Lead(a.Self, rank)
	if !ok {
		return // no agent is known yet
	}
	if lead != q.lead {
		q.lead = lead
		a.Events.Flow(event.Failure, "search", q.question.Flow).Stringer("lead", lead).Stringer("revision", a.Log.Revision()).Send()
	}
	if lead == a.Self {
		a.want(now, a.Self, q.question)
		return
	}
	a.tellLost(now, lead)
	m := msgs.Lookup{Header: a.head(), Question: q.question}
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(lead, a.buf)
}

// sought takes a lead's answer in.
func (a *Agent) sought(now time.Time, m msgs.LookupResult) {
	q := a.searches[m.Flow]
	if q == nil || !q.ended.IsZero() || q.answered {
		return
	}
	if m.Owner.IsValid() {
		a.foundAt(now, m.Owner, q)
		return
	}
	q.answered = !m.Partial
	v := a.Log.View()
	if m.AllUnsure {
		m.Unsure = v.Homes.Agents()
	}
	q.near, q.far = split(v, m.Unsure, q.carry.Domain)
	a.tryNext(now, q)
}

// split tells agents of a failure domain from all others. A flow mostly lives in the domain of the entry by which its
// caller comes, as new flows are placed near; tried in any order, half of all agents get its packet in vain.
func split(v *belief.View, agents []netip.Addr, domain uint8) (near, far []netip.Addr) {
	for _, a := range agents {
		if s, ok := v.Server(a); ok && belief.DomainHash(s.Domain) == domain {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	return near, far
}

// foundAt ends a search: an agent has said that its server holds the flow.
func (a *Agent) foundAt(now time.Time, agent netip.Addr, q *search) {
	f := q.question.Flow
	delete(a.searches, f)
	if agent == a.Self {
		a.tellOwner(q.carry.Origin, msgs.Owner{Flow: f, Open: true})
		return
	}
	a.home.Register(now, agent, msgs.Location{Flow: f})
	if _, tried := q.tries[agent]; tried {
		return // it has the packet
	}
	m := q.carry
	m.Packet = q.packet
	m.ToOwner = true
	a.forward(agent, m)
}

// tryNext gives the packet to unsure agents that haven't had it, or ends the search.
func (a *Agent) tryNext(now time.Time, q *search) {
	for q.trying < triesAtOnce {
		agent, ok := q.next(now)
		if !ok {
			break
		}
		if _, tried := q.tries[agent]; !tried {
			q.trying++
			a.try(now, q, agent)
		}
	}
	if q.trying == 0 && q.answered {
		a.conclude(now, q)
	}
}

// next returns the agent that is to be tried next.
func (q *search) next(now time.Time) (agent netip.Addr, ok bool) {
	switch {
	case len(q.near) > 0:
		agent, q.near = q.near[0], q.near[1:]
		q.nearAt = now
		return agent, true
	case len(q.far) > 0 && (q.trying == 0 || now.Sub(q.nearAt) >= farAfter):
		agent, q.far = q.far[0], q.far[1:]
		return agent, true
	default:
		return netip.Addr{}, false
	}
}

// try gives the packet to an agent, which tries its server.
func (a *Agent) try(now time.Time, q *search, agent netip.Addr) {
	q.tries[agent] = attempt{sent: now, times: q.tries[agent].times + 1}
	if agent == a.Self {
		a.probe(now, a.Self, q.question.Flow, q.packet)
		return
	}
	m := q.carry
	m.Probe = true
	m.Packet = q.packet
	a.forward(agent, m)
}

// triedAt takes an agent's word on whether its server holds a flow.
func (a *Agent) triedAt(now time.Time, from netip.Addr, m msgs.ProbeResult) {
	q := a.searches[m.Flow]
	if q == nil || !q.ended.IsZero() {
		return
	}
	if m.Held {
		a.foundAt(now, from, q)
		return
	}
	if t, tried := q.tries[from]; tried && !t.over {
		q.tryOver(from)
		a.tryNext(now, q)
	}
}

// tryOver notes that an agent's try has ended.
func (q *search) tryOver(agent netip.Addr) {
	q.tries[agent] = attempt{over: true}
	q.trying--
}

// conclude ends a search in which nobody held the flow.
func (a *Agent) conclude(now time.Time, q *search) {
	q.ended = now
	f := q.question.Flow
	s, err := a.Codec.Decode(q.packet, segs.CallerEnd)
	if err != nil {
		return
	}
	if q.absent > 0 {
		a.Events.Flow(event.Failure, "unfound", f).Str("why", "no answer").Int("agents", q.absent).Send()
		return
	}
	age, known := a.Control.Age(now)
	if !known || age > a.PropagationBound {
		a.Events.Flow(event.Failure, "unfound", f).Str("why", "belief too old").Dur("age", age).Send()
		return
	}
	delete(a.searches, f)
	searchTime.Update(now.Sub(q.began).Seconds())
	a.reset(now, &s, "unheld")
	a.tellOwner(q.carry.Origin, msgs.Owner{Flow: f, NoOwner: true})
}

// tickSearches repeats what had no answer, and forgets what is over.
func (a *Agent) tickSearches(now time.Time) {
	for f, q := range a.searches {
		switch {
		case !q.ended.IsZero():
			if now.Sub(q.ended) > searchAgain {
				delete(a.searches, f)
			}
		case now.Sub(q.began) > searchMost:
			delete(a.searches, f)
			a.Events.Flow(event.Failure, "unfound", f).Str("why", "gave up").Bool("answered", q.answered).Send()
		default:
			if !q.answered && now.Sub(q.asked) > leadWithin {
				a.askLead(now, q)
			}
			a.tryAgain(now, q)
		}
	}
}

// tryAgain gives the packet once more to agents that didn't say what became of it, or goes on without them.
func (a *Agent) tryAgain(now time.Time, q *search) {
	for agent, t := range q.tries {
		switch {
		case t.over || now.Sub(t.sent) < tryWithin:
		case t.times < triesOfServer:
			a.try(now, q, agent)
		default:
			q.absent++
			q.tryOver(agent)
		}
	}
	a.tryNext(now, q)
}
