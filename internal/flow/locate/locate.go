// Package locate looks up the owners of flows that their homes have no record of, for many flows at once. A
// flow's home is the agent that keeps its location record.
//
// After a power loss or a restart of all agents, homes have no records, and the owner of each older flow has
// to be looked up at all agents. With a lookup per flow, every agent would get a message for every flow, and
// one lost answer in a hundred would leave a lookup without a result. Callers would then wait for their
// deadlines although no agent holds their flows.
//
// Homes therefore pass their questions to a few agents, the leads (homes.List.Lead), and a lead queries
// agents in rounds. A round asks every known agent about all queued flows. Only agents that have not answered
// are queried again. A budget of questions spaces the rounds: the more agents there are, the more a round
// costs and the more flows share it.
//
// A result is reliable because a flow joins a round only if its packet arrived before the round began. It was
// thus open before each of the answers. A result without an owner means that every agent has answered since
// then that it does not hold the flow. Agents that become known during a round are queried before it ends;
// removed ones are no longer awaited.
//
// The package sends nothing and has no clock: it returns the queries to send and processes the answers.
// Probing servers and answering callers is up to package local. The package is not safe for concurrent use.
//
// # Usage
//
//	s := locate.New(first)
//	s.Add(home, question)
//	for _, query := range s.Next(now, agents) {
//		send(query.To, query.Round, query.Questions)
//	}
//	for _, r := range s.Answer(from, round, verdicts, agents) {
//		notify(r.Requesters, r)
//	}
package locate

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

const (
	// questionsPerSecond bounds the rate of a lead's questions. With a hundred agents it allows a round every
	// 25 ms, well within the 200 ms after which a caller retransmits a packet.
	questionsPerSecond = 4000
	// burst is the least number of questions that may be sent at once, so that rounds of a small fleet need
	// no spacing. A large fleet may always run two rounds at once.
	burst = 100
	// retryDelay is the time after which agents without an answer are queried again, because a datagram was
	// lost. An answer takes 2 ms between failure domains, and a busy agent needs about 10 ms.
	retryDelay = 30 * time.Millisecond
	// laterRetryDelay is the pause after later repeats. An agent that misses two queries in a row is slow or
	// unavailable.
	laterRetryDelay = 100 * time.Millisecond
	// roundTimeout ends a round in which an agent does not answer. The callers' next packets start another
	// round.
	roundTimeout = 3 * time.Second
	// maxFlows bounds the flows that are queued or part of a round. Each takes about 100 bytes.
	maxFlows = 8192
)

// Query is a message to be sent to some agents.
type Query struct {
	Round     uint32
	To        []netip.Addr
	Questions []msgs.Question
	Repeats   int // how often the agents in To have been queried again
}

// SlowRepeats is the number of repeats from which agents without an answer count as slow or unavailable.
const SlowRepeats = 2

// Result is the result of a round for one flow. Owner holds the flow. Without an owner, any agent in Unsure
// may hold it; if Unsure is empty too, no agent holds it. In a Partial result, some agents have not answered
// yet and may hold it too.
type Result struct {
	Flow       segs.Flow
	Owner      netip.Addr
	Unsure     []netip.Addr
	Partial    bool
	Requesters []netip.Addr // homes that asked for the owner
}

// Rounds holds the queue and the running rounds of one lead.
type Rounds struct {
	requesters map[segs.Flow][]netip.Addr // homes that asked for the owner of a flow
	queued     []msgs.Question            // not part of a round yet
	rounds     map[uint32]*round
	lastNumber uint32
	budget     float64 // questions that may be sent now
	lastRefill time.Time
}

// round is a query to all agents about some flows.
type round struct {
	questions []msgs.Question
	unsure    [][]netip.Addr // by question
	owned     []bool         // by question
	asked     map[netip.Addr]bool
	waiting   []netip.Addr
	started   time.Time
	lastSent  time.Time // zero: some agents have not been queried yet
	repeats   int
}

// New returns a Rounds without rounds. Rounds are numbered from after first, which must differ between
// process incarnations, so that an answer to a query of a previous incarnation is ignored.
func New(first uint32) *Rounds {
	return &Rounds{requesters: map[segs.Flow][]netip.Addr{}, rounds: map[uint32]*round{}, lastNumber: first}
}

// Add queues a home's question about a flow of which it has no record. It returns false if too many flows are
// queued or part of a round.
func (s *Rounds) Add(home netip.Addr, q msgs.Question) bool {
	homes, known := s.requesters[q.Flow]
	if known {
		if !slices.Contains(homes, home) {
			s.requesters[q.Flow] = append(homes, home)
		}
		return true
	}
	if len(s.requesters) >= maxFlows {
		return false
	}
	s.requesters[q.Flow] = []netip.Addr{home}
	s.queued = append(s.queued, q)
	return true
}

// Next returns the queries to send now: new rounds as far as the budget allows, and repeated queries to
// agents that have not answered. agents lists all known agents.
func (s *Rounds) Next(now time.Time, agents []netip.Addr) (queries []Query) {
	s.refill(now, len(agents))
	for len(s.queued) > 0 && s.budget >= float64(len(agents)) && len(agents) > 0 {
		s.budget -= float64(len(agents))
		s.begin(now, agents)
	}
	for number, r := range s.rounds {
		if r.due(now) {
			r.lastSent = now
			queries = append(queries, Query{Round: number, To: slices.Clone(r.waiting), Questions: r.questions, Repeats: r.repeats})
		}
	}
	return queries
}

// refill adds to the budget for the time since the last call, up to the cost of two rounds.
func (s *Rounds) refill(now time.Time, agents int) {
	limit := float64(max(burst, 2*agents))
	if s.lastRefill.IsZero() {
		s.budget = limit
	} else {
		s.budget = min(limit, s.budget+questionsPerSecond*now.Sub(s.lastRefill).Seconds())
	}
	s.lastRefill = now
}

// begin starts a round with as many queued questions as fit into a message.
func (s *Rounds) begin(now time.Time, agents []netip.Addr) {
	n := min(len(s.queued), msgs.MaxQuestions)
	s.lastNumber++
	s.rounds[s.lastNumber] = &round{
		questions: slices.Clone(s.queued[:n]),
		unsure:    make([][]netip.Addr, n),
		owned:     make([]bool, n),
		asked:     setOf(agents),
		waiting:   slices.Clone(agents),
		started:   now,
	}
	s.queued = slices.Delete(s.queued, 0, n)
}

// PartialResults returns the flows of a running round that an unsure agent may hold, so that these flows need
// not wait for an agent that is unavailable.
func (s *Rounds) PartialResults(number uint32) (results []Result) {
	r := s.rounds[number]
	if r == nil {
		return nil
	}
	for i, q := range r.questions {
		if !r.owned[i] && len(r.unsure[i]) > 0 {
			results = append(results, Result{Flow: q.Flow, Unsure: r.unsure[i], Partial: true, Requesters: s.requesters[q.Flow]})
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

// due reports whether the agents that have not answered are to be queried now, for the first time or again.
func (r *round) due(now time.Time) bool {
	if r.lastSent.IsZero() {
		return true
	}
	pause := retryDelay
	if r.repeats >= SlowRepeats {
		pause = laterRetryDelay
	}
	if now.Sub(r.lastSent) < pause {
		return false
	}
	r.repeats++
	return true
}

// Answer processes an agent's verdicts on a round's questions, in their order, and returns the results they
// lead to. agents lists all known agents.
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
	return append(results, s.finish(number, r, agents)...)
}

// finish ends a round if all agents have answered, and returns its results.
func (s *Rounds) finish(number uint32, r *round, agents []netip.Addr) (results []Result) {
	if len(r.waiting) > 0 || r.addAgents(agents) {
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

// addAgents adds agents that have become known since the round began. It reports whether the round waits for
// any agent.
func (r *round) addAgents(agents []netip.Addr) bool {
	for _, a := range agents {
		if !r.asked[a] {
			r.asked[a] = true
			r.waiting = append(r.waiting, a)
			r.lastSent = time.Time{}
		}
	}
	return len(r.waiting) > 0
}

func (s *Rounds) result(f segs.Flow, owner netip.Addr, unsure []netip.Addr) Result {
	r := Result{Flow: f, Owner: owner, Unsure: unsure, Requesters: s.requesters[f]}
	delete(s.requesters, f)
	return r
}

// Incomplete is a round that timed out before all agents answered.
type Incomplete struct {
	Flows        []segs.Flow
	Unresponsive []netip.Addr // agents that have not answered
}

// Expire stops waiting for agents that have been removed, which may complete rounds, and ends rounds that
// have timed out.
func (s *Rounds) Expire(now time.Time, agents []netip.Addr) (results []Result, incomplete []Incomplete) {
	if len(s.rounds) == 0 {
		return nil, nil
	}
	present := setOf(agents)
	for number, r := range s.rounds {
		r.waiting = slices.DeleteFunc(r.waiting, func(a netip.Addr) bool { return !present[a] })
		results = append(results, s.finish(number, r, agents)...)
		if len(r.waiting) > 0 && now.Sub(r.started) > roundTimeout {
			incomplete = append(incomplete, s.abandon(number, r))
		}
	}
	return results, incomplete
}

// abandon removes a round that timed out, and the requesters of its flows.
func (s *Rounds) abandon(number uint32, r *round) Incomplete {
	delete(s.rounds, number)
	u := Incomplete{Unresponsive: r.waiting}
	for i, q := range r.questions {
		if !r.owned[i] {
			delete(s.requesters, q.Flow)
			u.Flows = append(u.Flows, q.Flow)
		}
	}
	return u
}
