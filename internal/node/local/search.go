package local

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// The search for a flow that its home doesn't know.
//
// It is needed after agents have restarted, with flows that their servers still hold. The home asks
// all agents. One that has seen every flow of its server answers from its table;
// one that has not says that it is unsure, and gets the packet itself to try its server: whoever
// doesn't hold the flow returns the packet. Such tries go one after the other, since a packet of
// an open flow that keeps reaching other servers but not its own is a broken flow.
//
// If all agents answer that they don't hold it, nobody does: the flow is over, and the
// caller is told by a reset, so that it doesn't wait for its deadline. If one agent doesn't answer,
// the flow may be its server's, and nothing is said.

const (
	// answerWithin is how long agents have for an answer; between domains it takes 2 ms.
	answerWithin = 150 * time.Millisecond
	// askAgain is when agents that haven't answered are asked once more: a datagram was lost.
	askAgain = 40 * time.Millisecond
	// searchAgain is how long a search that found nothing certain is not repeated.
	searchAgain = 250 * time.Millisecond
	// searchesPerSecond bounds the searches that one home begins. Each costs a datagram to every agent;
	// after all agents restart, a home has its share of the open flows to look for.
	searchesPerSecond = 400
	// mostSearches bounds memory: each keeps one packet of 1.2 KB.
	mostSearches = 1024
	// probeFor is how long a try at the own server is remembered.
	probeFor = time.Second
)

// search is one search under way, or the memory of one that ended without certainty.
type search struct {
	began   time.Time
	carry   msgs.Carry // the newest packet
	packet  []byte
	waiting []netip.Addr // asked, not answered
	unsure  []netip.Addr // to be tried with the packet
	absent  int          // agents that didn't answer
	again   bool         // those that hadn't answered were asked once more, or all have answered
	ack     uint32       // of the packet that began the search
	ended   time.Time
}

// probe is a packet that the own server was tried with.
type probe struct {
	home netip.Addr
	at   time.Time
}

// budget counts the searches of one second.
type budget struct {
	second int64
	spent  int
}

func (b *budget) take(now time.Time) bool {
	if s := now.Unix(); s != b.second {
		b.second, b.spent = s, 0
	}
	b.spent++
	return b.spent <= searchesPerSecond
}

// searchFor asks all agents for the owner of a flow.
func (a *Agent) searchFor(now time.Time, m msgs.Carry, s *segs.Segment) {
	if a.Off.Search {
		dropped("searches")
		return
	}
	q := a.searches[s.Flow]
	if q != nil && now.Sub(q.began) < searchAgain {
		q.keep(m)
		return
	}
	if len(a.searches) >= mostSearches || !a.budget.take(now) {
		dropped("searches")
		return
	}
	q = &search{began: now, ack: s.Ack}
	q.keep(m)
	a.searches[s.Flow] = q
	searched.Inc()
	agents := a.Log.View().Homes.Agents()
	a.Events.Flow(event.Failure, "search", s.Flow).Int("agents", len(agents)).Uint64("revision", a.Log.Revision()).Send()
	for _, to := range agents {
		if to != a.Self {
			q.waiting = append(q.waiting, to)
		}
	}
	a.ask(s.Flow, q)
	switch a.verdict(now, s.Flow, s.Ack) {
	case msgs.Unsure:
		q.unsure = append(q.unsure, a.Self)
	case msgs.Held, msgs.NotHeld:
	}
	a.next(now, s.Flow, q)
}

// ask asks the agents that a search waits for.
func (a *Agent) ask(f segs.Flow, q *search) {
	find := msgs.Find{Head: a.head(), Flow: f, Ack: q.ack}
	a.buf = find.AppendTo(a.buf[:0])
	for _, to := range q.waiting {
		a.Wire.ToPeer(to, a.buf)
	}
}

func (q *search) keep(m msgs.Carry) {
	q.packet = append(q.packet[:0], m.Packet...)
	q.carry = m
	q.carry.Packet = nil
}

// verdict is what the agent knows of a flow from its own table.
func (a *Agent) verdict(now time.Time, f segs.Flow, ack uint32) msgs.Verdict {
	if o := a.flows.Get(f); o != nil && o.Fits(ack) {
		return msgs.Held
	}
	if a.complete(now) {
		return msgs.NotHeld
	}
	return msgs.Unsure
}

// complete says whether the agent has seen all flows that its server can hold: it has
// run since before the server started, or longer than any flow lives.
func (a *Agent) complete(now time.Time) bool { return a.server.whole || now.Sub(a.Started) > a.Life }

// find answers a search.
func (a *Agent) find(now time.Time, from netip.Addr, m msgs.Find) {
	verdict := a.verdict(now, m.Flow, m.Ack)
	// A service whose weight has become 0 still holds the flows that it opened before.
	if verdict == msgs.Unsure && a.Log.View().Excludes(m.Flow.Called(), a.Service) {
		verdict = msgs.NotHeld
	}
	a.answer(from, m.Flow, verdict)
}

func (a *Agent) answer(to netip.Addr, f segs.Flow, verdict msgs.Verdict) {
	m := msgs.Found{Head: a.head(), Flow: f, Verdict: verdict}
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(to, a.buf)
}

// found takes an answer in.
func (a *Agent) found(now time.Time, from netip.Addr, m msgs.Found) {
	q := a.searches[m.Flow]
	if q == nil || !q.ended.IsZero() {
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w netip.Addr) bool { return w == from })
	switch m.Verdict {
	case msgs.Held:
		delete(a.searches, m.Flow)
		if from == a.Self {
			a.tellOwner(q.carry.Origin, msgs.Owner{Flow: m.Flow, Open: true})
			return
		}
		a.home.Register(now, from, msgs.Place{Flow: m.Flow})
		q.carry.Packet = q.packet
		q.carry.Named = true
		a.forward(from, q.carry)
		return
	case msgs.Unsure:
		q.unsure = append(q.unsure, from)
	case msgs.NotHeld:
	}
	a.next(now, m.Flow, q)
}

// next tries the next unsure agent once all that were asked have answered, or ends the search.
func (a *Agent) next(now time.Time, f segs.Flow, q *search) {
	if len(q.waiting) > 0 {
		return
	}
	if len(q.unsure) > 0 {
		q.again = true // a second question to the one that tries its server would count it twice
		to := q.unsure[0]
		q.unsure = q.unsure[1:]
		q.waiting = append(q.waiting, to)
		m := q.carry
		m.Probe = true
		m.Packet = q.packet
		if to == a.Self {
			s, err := a.Codec.Decode(q.packet, segs.CallerEnd)
			if err == nil {
				a.probe(now, a.Self, m, &s)
			}
			return
		}
		a.forward(to, m)
		return
	}
	a.conclude(now, f, q)
}

// conclude ends a search in which nobody held the flow.
func (a *Agent) conclude(now time.Time, f segs.Flow, q *search) {
	q.ended = now
	s, err := a.Codec.Decode(q.packet, segs.CallerEnd)
	if err != nil || q.absent > 0 {
		return
	}
	age, known := a.Ctrl.Age(now)
	if !known || age > a.Bound {
		a.Events.Flow(event.Failure, "unfound", f).Str("why", "belief too old").Dur("age", age).Send()
		return
	}
	delete(a.searches, f)
	a.reset(now, &s, "unheld")
	a.tellOwner(q.carry.Origin, msgs.Owner{Flow: f, Gone: true})
}

// probe tries the own server with a packet of a flow that the agent doesn't know. Whoever
// doesn't hold the flow returns the packet.
func (a *Agent) probe(now time.Time, home netip.Addr, m msgs.Carry, s *segs.Segment) {
	a.probes[s.Flow] = probe{home: home, at: now}
	a.Wire.ToServer(m.Packet)
	probes.Inc()
}

// probed takes a packet that the server returned. It says whether the packet was a try.
func (a *Agent) probed(now time.Time, s *segs.Segment, _ []byte) bool {
	p, ok := a.probes[s.Flow]
	if !ok {
		return false
	}
	delete(a.probes, s.Flow)
	if p.home == a.Self {
		a.found(now, a.Self, msgs.Found{Flow: s.Flow, Verdict: msgs.NotHeld})
		return true
	}
	a.answer(p.home, s.Flow, msgs.NotHeld)
	return true
}

// holds tells the home that searched for a flow that the try at the own server found it.
func (a *Agent) holds(now time.Time, home netip.Addr, f segs.Flow) {
	if home == a.Self {
		a.found(now, a.Self, msgs.Found{Flow: f, Verdict: msgs.Held})
		return
	}
	a.answer(home, f, msgs.Held)
}

func (a *Agent) expireProbes(now time.Time) {
	for f, p := range a.probes {
		if now.Sub(p.at) > probeFor {
			delete(a.probes, f)
		}
	}
}

// expireSearches gives up waiting for agents that don't answer.
func (a *Agent) expireSearches(now time.Time) {
	for f, q := range a.searches {
		switch {
		case !q.ended.IsZero() || now.Sub(q.began) > time.Second:
			if now.Sub(q.began) > searchAgain {
				delete(a.searches, f)
			}
		case len(q.waiting) > 0 && !q.again && now.Sub(q.began) > askAgain:
			q.again = true
			a.ask(f, q)
		case len(q.waiting) > 0 && now.Sub(q.began) > answerWithin:
			q.absent += len(q.waiting)
			a.Events.Flow(event.Failure, "unfound", f).Str("why", "no answer").Int("agents", len(q.waiting)).Send()
			q.waiting = nil
			a.next(now, f, q)
		}
	}
}
