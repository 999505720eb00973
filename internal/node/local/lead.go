package local

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/locate"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// The lead of owner lookups: the agent that asks all agents about the flows whose owners are looked up by homes
// (package locate). Any agent can be a lead, and any agent answers a lead's questions.

// enqueueQuestion adds a home's question to the next round.
func (a *Agent) enqueueQuestion(now time.Time, home netip.Addr, q msgs.Question) {
	if !a.rounds.Add(home, q) {
		countDropped("searches")
		return
	}
	a.sendQuestions(now)
}

// sendQuestions sends the questions that are due.
func (a *Agent) sendQuestions(now time.Time) {
	for _, query := range a.rounds.Next(now, a.expectedAgents()) {
		message := msgs.Query{Header: a.head(), Round: query.Round, Questions: query.Questions}
		a.buf = message.AppendTo(a.buf[:0])
		for _, to := range query.To {
			if to != a.Self {
				a.Wire.ToPeer(to, a.buf)
			}
		}
		questions.Add(len(query.To))
		if query.Repeats == 0 {
			rounds.Inc()
		}
		if query.Repeats >= locate.SlowRepeats {
			a.suspectAll(now, query.To)
		}
		if query.Repeats == locate.SlowRepeats {
			a.logUnresponsive(query)
			a.sendResults(now, a.rounds.PartialResults(query.Round))
		}
		if slices.Contains(query.To, a.Self) {
			a.handleAnswer(now, a.Self, msgs.QueryAnswer{Round: query.Round, Verdicts: a.verdicts(now, query.Questions)})
		}
	}
}

// logUnresponsive logs why lookups take long: some agents have not answered a repeated question either.
func (a *Agent) logUnresponsive(query locate.Query) {
	for _, q := range query.Questions {
		a.Events.Flow(event.Failure, "unheard", q.Flow).Int("agents", len(query.To)).Stringer("agent", query.To[0]).
			Stringer("revision", a.Log.Revision()).Send()
	}
}

// verdict returns what the agent knows of a flow from its own table.
func (a *Agent) verdict(now time.Time, f segs.Flow, ack uint32) msgs.Verdict {
	if o := a.flows.Get(f); o != nil && o.Fits(ack) {
		return msgs.Held
	}
	if a.complete(now) {
		return msgs.NotHeld
	}
	// The flow's current route doesn't matter: a flow stays at the service that it was routed to when it was
	// opened.
	return msgs.Unsure
}

func (a *Agent) verdicts(now time.Time, questions []msgs.Question) (list []msgs.Verdict) {
	for _, q := range questions {
		list = append(list, a.verdict(now, q.Flow, q.Ack))
	}
	return list
}

// complete reports whether the agent has seen all flows that its server can hold: it has run since before the
// server started, or for longer than any flow lasts.
func (a *Agent) complete(now time.Time) bool { return a.server.newer || now.Sub(a.Started) > a.MaxLife }

// answerQuestions answers a lead's questions.
func (a *Agent) answerQuestions(now time.Time, from netip.Addr, m msgs.Query) {
	answer := msgs.QueryAnswer{Header: a.head(), Round: m.Round, Verdicts: a.verdicts(now, m.Questions)}
	a.buf = answer.AppendTo(a.buf[:0])
	a.Wire.ToPeer(from, a.buf)
}

// handleAnswer records an agent's answer to a round of this lead.
func (a *Agent) handleAnswer(now time.Time, from netip.Addr, m msgs.QueryAnswer) {
	a.sendResults(now, a.rounds.Answer(from, m.Round, m.Verdicts, a.expectedAgents()))
}

// sendResults sends the results of rounds to the homes that asked.
func (a *Agent) sendResults(now time.Time, results []locate.Result) {
	for _, r := range results {
		m := msgs.LookupResult{Header: a.head(), Flow: r.Flow, Owner: r.Owner, Unsure: r.Unsure, Partial: r.Partial}
		if len(m.Unsure) > msgs.MaxUnsure {
			m.Unsure, m.AllUnsure = nil, true
		}
		for _, home := range r.Requesters {
			if home == a.Self {
				a.handleResult(now, m)
				continue
			}
			a.buf = m.AppendTo(a.buf[:0])
			a.Wire.ToPeer(home, a.buf)
			a.sendFailed(now, home)
		}
	}
}

// tickRounds repeats unanswered questions, starts new rounds, and ends those that wait for no more answers.
func (a *Agent) tickRounds(now time.Time) {
	results, unanswered := a.rounds.Expire(now, a.expectedAgents())
	a.sendResults(now, results)
	for _, u := range unanswered {
		for _, f := range u.Flows {
			a.Events.Flow(event.Failure, "unfound", f).Str("why", "no answer").Int("agents", len(u.Unresponsive)).Send()
		}
	}
	a.sendQuestions(now)
}
