// Package seek finds out which agents may hold flows that no home knows, for many flows at once.
//
// The failure it answers: after a loss of power or a restart of all, homes remember nothing, and each packet of an
// older flow has to be looked for. Asked flow by flow, every agent gets a message for every flow, and one lost answer of a
// hundred leaves a search without a result, so that callers wait for their deadlines although nobody holds their flows.
//
// So homes hand their questions to a few agents (package homes: Leads), and such a lead asks in rounds. A round
// puts all flows that wait for one to every agent that there is. Agents that don't answer are asked again, and no others. A
// budget of questions spaces rounds: with more agents a round costs more, and more flows wait for the next one.
//
// Why a result can be trusted: a flow is part of a round only if its packet was seen before the round began, so it was open
// before each of the answers. "Nobody" means that each agent has answered since then that it doesn't hold the flow. An agent that became known while
// the round ran is asked too before the round ends; one that is no longer there owes no answer.
//
// The package sends nothing and has no clock: it says whom to ask, and takes answers in. It doesn't try servers and tells no
// caller (package local). It is not safe for concurrent use.
//
// # Usage
//
//	s := seek.New()
//	s.Want(now, home, question)
//	for _, ask := range s.Next(now, agents) {
//		send(ask.To, ask.Round, ask.Questions)
//	}
//	for _, r := range s.Answer(from, round, verdicts, agents) {
//		tell(r.Homes, r)
//	}
package seek

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

const (
	// asksPerSecond bounds the questions of one lead. With a hundred agents that is a round every 25 ms, well within
	// the 200 ms after which a caller repeats a packet.
	asksPerSecond = 4000
	// burst is how many questions may be sent at once. A small fleet's rounds need no spacing; a large one is left
	// two at once.
	burst = 100
	// askAgain is when agents that haven't answered are asked once more: a datagram was lost. Between domains an
	// answer takes 2 ms, and an agent that is busy needs some 10.
	askAgain = 30 * time.Millisecond
	// askLater is the pause after later repeats: who misses two questions in a row is slow, or not there.
	askLater = 100 * time.Millisecond
	// giveUp ends a round in which an agent stays silent. Callers' next packets begin another one.
	giveUp = 3 * time.Second
	// mostWanted bounds the flows that wait or are asked about; each takes some 100 bytes.
	mostWanted = 8192
)

// Query is a message that is to go to some agents.
type Query struct {
	Round     uint32
	To        []netip.Addr
	Questions []msgs.Question
	Repeats   int // how often those that haven't answered have been asked before
}

// SlowRepeats is the repeat from which agents without an answer are taken for slow or away.
const SlowRepeats = 2

// Result is what a round has shown of one flow. Owner holds it; if there is none, Unsure may; if there are none
// either, nobody holds it. Partial says that some agents haven't answered yet, so any of them may hold it too.
type Result struct {
	Flow       segs.Flow
	Owner      netip.Addr
	Unsure     []netip.Addr
	Partial    bool
	Requesters []netip.Addr // who wants to know
}

// Rounds are the rounds of one lead.
type Rounds struct {
	wanted map[segs.Flow][]netip.Addr // homes that want to know of a flow
	fresh  []msgs.Question            // wanted, in no round yet
	rounds map[uint32]*round
	number uint32
	budget float64 // questions that may be sent
	filled time.Time
}

// round asks all agents about some flows.
type round struct {
	questions []msgs.Question
	unsure    [][]netip.Addr // by question
	owned     []bool         // by question
	asked     map[netip.Addr]bool
	waiting   []netip.Addr
	began     time.Time
	sent      time.Time // zero: agents wait to be asked for the first time
	repeats   int
}

// New returns no rounds. First is the number of the first one: it differs between starts of a process, so that an answer to
// its predecessor is none to it.
func New(first uint32) *Rounds {
	return &Rounds{wanted: map[segs.Flow][]netip.Addr{}, rounds: map[uint32]*round{}, number: first}
}

// Add says that a home has a packet of a flow that it doesn't know. It returns false if too much is wanted already.
func (s *Rounds) Add(home netip.Addr, q msgs.Question) bool {
	homes, known := s.wanted[q.Flow]
	if known {
		if !slices.Contains(homes, home) {
			s.wanted[q.Flow] = append(homes, home)
		}
		return true
	}
	if len(s.wanted) >= mostWanted {
		return false
	}
	s.wanted[q.Flow] = []netip.Addr{home}
	s.fresh = append(s.fresh, q)
	return true
}

// Next returns what is to be sent now: the next round if there is budget for it, and questions that had no answer. Agents are all that
// there are.
func (s *Rounds) Next(now time.Time, agents []netip.Addr) (asks []Query) {
	s.refill(now, len(agents))
	for len(s.fresh) > 0 && s.budget >= float64(len(agents)) && len(agents) > 0 {
		s.budget -= float64(len(agents))
		s.begin(now, agents)
	}
	for number, r := range s.rounds {
		if r.due(now) {
			r.sent = now
			asks = append(asks, Query{Round: number, To: slices.Clone(r.waiting), Questions: r.questions, Repeats: r.repeats})
		}
	}
	return asks
}

// refill adds to the budget what time allows, up to what a few rounds cost.
func (s *Rounds) refill(now time.Time, agents int) {
	most := float64(max(burst, 2*agents))
	if s.filled.IsZero() {
		s.budget = most
	} else {
		s.budget = min(most, s.budget+asksPerSecond*now.Sub(s.filled).Seconds())
	}
	s.filled = now
}

// begin puts as many fresh questions as fit into a message to a new round.
func (s *Rounds) begin(now time.Time, agents []netip.Addr) {
	n := min(len(s.fresh), msgs.MaxQuestions)
	s.number++
	s.rounds[s.number] = &round{
		questions: slices.Clone(s.fresh[:n]),
		unsure:    make([][]netip.Addr, n),
		owned:     make([]bool, n),
		asked:     setOf(agents),
		waiting:   slices.Clone(agents),
		began:     now,
	}
	s.fresh = slices.Delete(s.fresh, 0, n)
}

// PartialResults returns what a round that still waits for agents has shown: flows that an unsure agent may hold are not to
// wait for one that is away.
func (s *Rounds) PartialResults(number uint32) (results []Result) {
	r := s.rounds[number]
	if r == nil {
		return nil
	}
	for i, q := range r.questions {
		if !r.owned[i] && len(r.unsure[i]) > 0 {
			results = append(results, Result{Flow: q.Flow, Unsure: r.unsure[i], Partial: true, Requesters: s.wanted[q.Flow]})
		}
	}
	return results
}

func setOf(list []netip.Addr) map[netip.Addr]bool {
	set := make(map[netip.Addr]bool, len(list))
	for _, a := range list {
		set[a] = true
	}
	return set
}

// due says whether the agents that owe an answer are to be asked now, for the first time or again.
func (r *round) due(now time.Time) bool {
	if r.sent.IsZero() {
		return true
	}
	pause := askAgain
	if r.repeats >= SlowRepeats {
		pause = askLater
	}
	if now.Sub(r.sent) < pause {
		return false
	}
	r.repeats++
	return true
}

// Answer takes an agent's answers to a round's questions, in their order, and returns what they decide. Agents are
// all that there are now.
func (s *Rounds) Answer(from netip.Addr, number uint32, verdicts []msgs.Verdict, agents []netip.Addr) (results []Result) {
	r := s.rounds[number]
	if r == nil || len(verdicts) != len(r.questions) {
		return nil
	}
	at := slices.Index(r.waiting, from)
	if at < 0 {
		return nil
	}
	r.waiting = slices.Delete(r.waiting, at, at+1)
	for i, v := range verdicts {
		switch {
		case v == msgs.Held && !r.owned[i]:
			r.owned[i] = true
			results = append(results, s.result(r.questions[i].Flow, from, nil))
		case v == msgs.Unsure:
			r.unsure[i] = append(r.unsure[i], from)
		}
	}
	return append(results, s.end(number, r, agents)...)
}

// end concludes a round that waits for nobody.
func (s *Rounds) end(number uint32, r *round, agents []netip.Addr) (results []Result) {
	if len(r.waiting) > 0 || r.join(agents) {
		return nil
	}
	delete(s.rounds, number)
	for i, q := range r.questions {
		if !r.owned[i] {
			results = append(results, s.result(q.Flow, netip.Addr{}, r.unsure[i]))
		}
	}
	return results
}

// join makes a round wait for agents that have become known since it began. It says whether there are any.
func (r *round) join(agents []netip.Addr) bool {
	for _, a := range agents {
		if !r.asked[a] {
			r.asked[a] = true
			r.waiting = append(r.waiting, a)
			r.sent = time.Time{}
		}
	}
	return len(r.waiting) > 0
}

func (s *Rounds) result(f segs.Flow, owner netip.Addr, unsure []netip.Addr) Result {
	r := Result{Flow: f, Owner: owner, Unsure: unsure, Requesters: s.wanted[f]}
	delete(s.wanted, f)
	return r
}

// Incomplete is a round that ended without all answers.
type Incomplete struct {
	Flows        []segs.Flow
	Unresponsive []netip.Addr // agents that haven't answered
}

// Expire drops agents that are gone from those that owe an answer, which may end rounds, and ends rounds that have waited too long.
func (s *Rounds) Expire(now time.Time, agents []netip.Addr) (results []Result, unheard []Incomplete) {
	if len(s.rounds) == 0 {
		return nil, nil
	}
	there := setOf(agents)
	for number, r := range s.rounds {
		r.waiting = slices.DeleteFunc(r.waiting, func(a netip.Addr) bool { return !there[a] })
		results = append(results, s.end(number, r, agents)...)
		if len(r.waiting) > 0 && now.Sub(r.began) > giveUp {
			unheard = append(unheard, s.abandon(number, r))
		}
	}
	return results, unheard
}

// abandon forgets a round and what its flows were wanted for.
func (s *Rounds) abandon(number uint32, r *round) Incomplete {
	delete(s.rounds, number)
	u := Incomplete{Unresponsive: r.waiting}
	for i, q := range r.questions {
		if !r.owned[i] {
			delete(s.wanted, q.Flow)
			u.Flows = append(u.Flows, q.Flow)
		}
	}
	return u
}
