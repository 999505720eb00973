package locate

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

var start = time.Unix(1_700_000_000, 0)

// compareAddr compares addresses, whose fields are not exported.
var compareAddr = cmpopts.EquateComparable(netip.Addr{})

func agent(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}) }

func agents(n int) (list []netip.Addr) {
	for i := range n {
		list = append(list, agent(i))
	}
	return list
}

func question(i int) msgs.Question {
	return msgs.Question{Flow: segs.Flow{Caller: [4]byte{100, 64, 0, byte(i)}, CallerPort: 1025}, Ack: uint32(i)}
}

// one returns the answer to a single question.
func one(v msgs.Verdict) []msgs.Verdict { return []msgs.Verdict{v} }

func TestFlowHasNoOwnerOnceAllAgentsHaveAnswered(t *testing.T) {
	s := New(0)
	present := agents(3)
	assert.Assert(t, s.Add(agent(9), question(1)))
	queries := s.Next(start, present)
	assert.Equal(t, len(queries), 1)
	assert.DeepEqual(t, queries[0].Questions, []msgs.Question{question(1)})
	assert.Equal(t, len(queries[0].To), 3)
	for i := range 2 {
		assert.Equal(t, len(s.Answer(agent(i), queries[0].Round, one(msgs.NotHeld), present)), 0)
	}
	results := s.Answer(agent(2), queries[0].Round, one(msgs.NotHeld), present)
	assert.Equal(t, len(results), 1)
	assert.Assert(t, !results[0].Owner.IsValid() && len(results[0].Unsure) == 0)
	assert.DeepEqual(t, results[0].Requesters, []netip.Addr{agent(9)}, compareAddr)
}

// One answer of three is lost. If all agents were queried again, all would have to answer again, and in a
// fleet of hundreds a lookup would hardly ever end.
func TestOnlyAgentsThatHaveNotAnsweredAreAskedAgain(t *testing.T) {
	s := New(0)
	present := agents(3)
	s.Add(agent(9), question(1))
	round := s.Next(start, present)[0].Round
	s.Answer(agent(0), round, one(msgs.NotHeld), present)
	s.Answer(agent(2), round, one(msgs.NotHeld), present)
	assert.Equal(t, len(s.Next(start.Add(retryDelay/2), present)), 0)
	queries := s.Next(start.Add(retryDelay), present)
	assert.Equal(t, len(queries), 1)
	assert.DeepEqual(t, queries[0].To, []netip.Addr{agent(1)}, compareAddr)
	assert.Equal(t, len(s.Answer(agent(1), round, one(msgs.NotHeld), present)), 1)
}

// A server that joins while a round runs holds the flow. If its agent were not queried, the open flow would
// be reset.
func TestAgentThatJoinsIsAskedBeforeARoundEnds(t *testing.T) {
	s := New(0)
	s.Add(agent(9), question(1))
	round := s.Next(start, agents(1))[0].Round
	assert.Equal(t, len(s.Answer(agent(0), round, one(msgs.NotHeld), agents(2))), 0)
	queries := s.Next(start.Add(time.Millisecond), agents(2))
	assert.DeepEqual(t, queries[0].To, []netip.Addr{agent(1)}, compareAddr)
	results := s.Answer(agent(1), round, one(msgs.Held), agents(2))
	assert.Equal(t, results[0].Owner, agent(1))
}

// A flow's packet arrives while a round runs that already has answers. They do not cover this flow, so it has
// to wait for the next round.
func TestLateFlowWaitsForTheNextRound(t *testing.T) {
	s := New(0)
	present := agents(2)
	s.Add(agent(9), question(1))
	first := s.Next(start, present)[0].Round
	s.Answer(agent(0), first, one(msgs.NotHeld), present)
	s.Add(agent(9), question(2))
	results := s.Answer(agent(1), first, one(msgs.NotHeld), present)
	assert.Equal(t, len(results), 1)
	assert.Equal(t, results[0].Flow, question(1).Flow)
	queries := s.Next(start.Add(time.Second), present)
	assert.Assert(t, queries[0].Round != first)
	assert.DeepEqual(t, queries[0].Questions, []msgs.Question{question(2)})
	assert.Equal(t, len(queries[0].To), 2)
}

// An instance is removed while its agent's answer is awaited. The round ends as soon as the platform no
// longer lists it.
func TestRemovedAgentIsNotAwaited(t *testing.T) {
	s := New(0)
	s.Add(agent(9), question(1))
	round := s.Next(start, agents(2))[0].Round
	s.Answer(agent(0), round, one(msgs.NotHeld), agents(2))
	results, incomplete := s.Expire(start.Add(time.Second), agents(1))
	assert.Equal(t, len(results), 1)
	assert.Equal(t, len(incomplete), 0)
}

// One agent never answers. Partial results name flows that another agent may hold, so that its server can be
// probed. No flow is reported to have no owner.
func TestUnresponsiveAgentLeavesARoundIncomplete(t *testing.T) {
	s := New(0)
	present := agents(2)
	s.Add(agent(9), question(1))
	s.Add(agent(9), question(2))
	round := s.Next(start, present)[0].Round
	s.Answer(agent(0), round, []msgs.Verdict{msgs.Unsure, msgs.NotHeld}, present)
	partial := s.PartialResults(round)
	assert.Equal(t, len(partial), 1)
	assert.Assert(t, partial[0].Partial && partial[0].Flow == question(1).Flow)
	results, incomplete := s.Expire(start.Add(roundTimeout+time.Millisecond), present)
	assert.Equal(t, len(results), 0)
	assert.Equal(t, len(incomplete), 1)
	assert.DeepEqual(t, incomplete[0].Unresponsive, []netip.Addr{agent(1)}, compareAddr)
	assert.Equal(t, len(s.requesters), 0)
}

// An agent repeats an answer, names an unknown round, sends too few verdicts, or was not queried at all.
func TestUnexpectedAnswersAreIgnored(t *testing.T) {
	s := New(0)
	present := agents(2)
	s.Add(agent(9), question(1))
	round := s.Next(start, present)[0].Round
	for range 2 {
		assert.Equal(t, len(s.Answer(agent(0), round, one(msgs.NotHeld), present)), 0)
	}
	assert.Equal(t, len(s.Answer(agent(1), round+1, one(msgs.NotHeld), present)), 0)
	assert.Equal(t, len(s.Answer(agent(1), round, nil, present)), 0)
	assert.Equal(t, len(s.Answer(agent(7), round, one(msgs.NotHeld), present)), 0)
	assert.Equal(t, len(s.Answer(agent(1), round, one(msgs.NotHeld), present)), 1)
}

// A hundred flows are queued within 50 ms in a fleet of a hundred agents. They have to share a few rounds.
func TestRoundsAreSpacedByTheirCost(t *testing.T) {
	s := New(0)
	present := agents(100)
	asked := 0
	for i := range 100 {
		s.Add(agent(9), question(i))
		for _, a := range s.Next(start.Add(time.Duration(i)*500*time.Microsecond), present) {
			if a.Repeats == 0 {
				asked += len(a.To)
			}
		}
	}
	assert.Assert(t, asked <= 400, "%d questions", asked)
}

// model is a fleet in which flows are opened, servers restart, agents join and leave, and messages are lost,
// duplicated and delayed.
type model struct {
	now     time.Time
	rounds  *Rounds
	present []netip.Addr // agents
	known   []netip.Addr // agents that the lead knows of
	next    int
	holds   map[segs.Flow]netip.Addr // flow -> agent beside the server that holds it
	network []any                    // queryTo or answerFrom
	flows   int
}

type queryTo struct {
	to    netip.Addr
	query Query
}

type answerFrom struct {
	from     netip.Addr
	round    uint32
	verdicts []msgs.Verdict
}

// Whatever happens to messages and agents, a flow that a server holds is never reported to have no owner. An
// agent answers from the flows that its server holds when the question arrives, or answers that it is unsure.
// The lead learns later that an agent has joined; it does not query the agent until then, so the flows that
// this agent holds do not count.
func TestHeldFlowIsNeverReportedUnheld(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{now: start, rounds: New(0), present: agents(3), known: agents(3), next: 3, holds: map[segs.Flow]netip.Addr{}}
		r.Repeat(map[string]func(*rapid.T){
			"open":    m.open,
			"want":    m.add,
			"restart": m.restart,
			"join":    func(*rapid.T) { m.present = append(m.present, agent(m.next)); m.next++ },
			"learn":   func(*rapid.T) { m.known = slices.Clone(m.present) },
			"leave":   m.leave,
			"tick":    m.tick,
			"deliver": m.deliver,
			"lose":    func(r *rapid.T) { m.pick(r) },
		})
	})
}

func (m *model) open(r *rapid.T) {
	if m.flows == 200 {
		r.Skip("enough flows")
	}
	m.flows++
	m.holds[question(m.flows).Flow] = rapid.SampledFrom(m.present).Draw(r, "owner")
}

// add queues a question about an open flow or one that has ended.
func (m *model) add(r *rapid.T) {
	if m.flows == 0 {
		r.Skip("no flow")
	}
	m.rounds.Add(agent(99), question(rapid.IntRange(1, m.flows).Draw(r, "flow")))
	m.send()
}

// restart makes a server lose all its flows.
func (m *model) restart(r *rapid.T) {
	restarted := rapid.SampledFrom(m.present).Draw(r, "server")
	for f, a := range m.holds {
		if a == restarted {
			delete(m.holds, f)
		}
	}
}

// leave removes an agent and its server.
func (m *model) leave(r *rapid.T) {
	if len(m.present) == 1 {
		r.Skip("only one agent is left")
	}
	m.restart(r)
	i := rapid.IntRange(0, len(m.present)-1).Draw(r, "agent")
	for f, a := range m.holds {
		if a == m.present[i] {
			delete(m.holds, f)
		}
	}
	m.present = slices.Delete(slices.Clone(m.present), i, i+1)
	m.known = slices.DeleteFunc(slices.Clone(m.known), func(a netip.Addr) bool { return !slices.Contains(m.present, a) })
}

func (m *model) tick(r *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(r, "ms")) * time.Millisecond)
	results, _ := m.rounds.Expire(m.now, m.known)
	m.check(r, results)
	m.send()
}

func (m *model) send() {
	for _, a := range m.rounds.Next(m.now, m.known) {
		for _, to := range a.To {
			m.network = append(m.network, queryTo{to, a})
		}
	}
}

// pick removes a random message from the network.
func (m *model) pick(r *rapid.T) any {
	if len(m.network) == 0 {
		r.Skip("no message in the network")
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(r, "message")
	message := m.network[i]
	m.network = slices.Delete(m.network, i, i+1)
	return message
}

// deliver delivers a random message and sometimes leaves a copy of it in the network.
func (m *model) deliver(r *rapid.T) {
	message := m.pick(r)
	if rapid.IntRange(0, 9).Draw(r, "copy") == 0 {
		m.network = append(m.network, message)
	}
	switch x := message.(type) {
	case queryTo:
		if slices.Contains(m.present, x.to) {
			m.network = append(m.network, m.answer(r, x))
		}
	case answerFrom:
		m.check(r, m.rounds.Answer(x.from, x.round, x.verdicts, m.known))
	}
}

func (m *model) answer(r *rapid.T, x queryTo) answerFrom {
	unsure := rapid.Bool().Draw(r, "unsure")
	a := answerFrom{from: x.to, round: x.query.Round}
	for _, q := range x.query.Questions {
		switch {
		case m.holds[q.Flow] == x.to && !unsure:
			a.verdicts = append(a.verdicts, msgs.Held)
		case unsure:
			a.verdicts = append(a.verdicts, msgs.Unsure)
		default:
			a.verdicts = append(a.verdicts, msgs.NotHeld)
		}
	}
	return a
}

func (m *model) check(r *rapid.T, results []Result) {
	for _, x := range results {
		holder, held := m.holds[x.Flow]
		if held && slices.Contains(m.known, holder) && !x.Owner.IsValid() && !slices.Contains(x.Unsure, holder) {
			r.Fatalf("flow %v is held by %v but reported to have no owner", x.Flow, holder)
		}
	}
}
