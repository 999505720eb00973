package local

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/seek"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// The lead of searches: it asks all agents about the flows that homes look for (package seek), and any agent answers a lead.

// want takes a home's question.
func (a *Agent) want(now time.Time, home netip.Addr, q msgs.Question) {
	if !a.rounds.Add(home, q) {
		dropped("searches")
		return
	}
	a.askAll(now)
}

// askAll sends the questions that are due.
func (a *Agent) askAll(now time.Time) {
	for _, ask := range a.rounds.Next(now, a.present()) {
		find := msgs.Query{Header: a.head(), Round: ask.Round, Questions: ask.Questions}
		a.buf = find.AppendTo(a.buf[:0])
		for _, to := range ask.To {
			if to != a.Self {
				a.Wire.ToPeer(to, a.buf)
			}
		}
		questions.Add(len(ask.To))
		if ask.Repeats == 0 {
			rounds.Inc()
		}
		if ask.Repeats >= seek.SlowRepeats {
			a.doubtAll(now, ask.To)
		}
		if ask.Repeats == seek.SlowRepeats {
			a.sayUnheard(ask)
			a.tellHomes(now, a.rounds.PartialResults(ask.Round))
		}
		if slices.Contains(ask.To, a.Self) {
			a.found(now, a.Self, msgs.QueryAnswer{Round: ask.Round, Verdicts: a.verdicts(now, ask.Questions)})
		}
	}
}

// sayUnheard writes why searches take long: some agents have missed a repeated question too.
func (a *Agent) sayUnheard(ask seek.Query) {
	for _, q := range ask.Questions {
		a.Events.Flow(event.Failure, "unheard", q.Flow).Int("agents", len(ask.To)).Stringer("agent", ask.To[0]).
			Stringer("revision", a.Log.Revision()).Send()
	}
}

// verdict is what the agent knows of a flow from its own table.
func (a *Agent) verdict(now time.Time, f segs.Flow, ack uint32) msgs.Verdict {
	if o := a.flows.Get(f); o != nil && o.Fits(ack) {
		return msgs.Held
	}
	if a.complete(now) {
		return msgs.NotHeld
	}
	// Whatever the flow's route says now: flows stay at the service to which it sent them when they were opened.
	return msgs.Unsure
}

func (a *Agent) verdicts(now time.Time, questions []msgs.Question) (list []msgs.Verdict) {
	for _, q := range questions {
		list = append(list, a.verdict(now, q.Flow, q.Ack))
	}
	return list
}

// complete says whether the agent has seen all flows that its server can hold: it has
// run since before the server started, or longer than any flow lives.
func (a *Agent) complete(now time.Time) bool {
	return a.server.whole || now.Sub(a.Started) > a.MaxLife
}

// find answers a lead.
func (a *Agent) find(now time.Time, from netip.Addr, m msgs.Query) {
	answer := msgs.QueryAnswer{Header: a.head(), Round: m.Round, Verdicts: a.verdicts(now, m.Questions)}
	a.buf = answer.AppendTo(a.buf[:0])
	a.Wire.ToPeer(from, a.buf)
}

// found takes an agent's answer in.
func (a *Agent) found(now time.Time, from netip.Addr, m msgs.QueryAnswer) {
	a.tellHomes(now, a.rounds.Answer(from, m.Round, m.Verdicts, a.present()))
}

// tellHomes tells homes what rounds have shown.
func (a *Agent) tellHomes(now time.Time, results []seek.Result) {
	for _, r := range results {
		m := msgs.LookupResult{Header: a.head(), Flow: r.Flow, Owner: r.Owner, Unsure: r.Unsure, Partial: r.Partial}
		if len(m.Unsure) > msgs.MaxUnsure {
			m.Unsure, m.AllUnsure = nil, true
		}
		for _, home := range r.Requesters {
			if home == a.Self {
				a.sought(now, m)
				continue
			}
			a.buf = m.AppendTo(a.buf[:0])
			a.Wire.ToPeer(home, a.buf)
			a.tellLost(now, home)
		}
	}
}

// tickRounds asks again whoever hasn't answered, begins rounds, and ends those that wait for nobody.
func (a *Agent) tickRounds(now time.Time) {
	results, unheard := a.rounds.Expire(now, a.present())
	a.tellHomes(now, results)
	for _, u := range unheard {
		for _, f := range u.Flows {
			a.Events.Flow(event.Failure, "unfound", f).Str("why", "no answer").Int("agents", len(u.Unresponsive)).Send()
		}
	}
	a.askAll(now)
}
