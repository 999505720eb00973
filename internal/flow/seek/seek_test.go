package seek

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

// compareAddr compares addresses, whose fields aren't exported.
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

// one is the answer to a single question.
func one(v msgs.Verdict) []msgs.Verdict { return []msgs.Verdict{v} }

func TestFlowIsNobodysWhenAllAgentsHaveSaidSo(t *testing.T) {
	s := New(0)
	there := agents(3)
	assert.Assert(t, s.Add(agent(9), question(1)))
	asks := s.Next(start, there)
	assert.Equal(t, len(asks), 1)
	assert.DeepEqual(t, asks[0].Questions, []msgs.Question{question(1)})
	assert.Equal(t, len(asks[0].To), 3)
	for i := range 2 {
		assert.Equal(t, len(s.Answer(agent(i), asks[0].Round, one(msgs.NotHeld), there)), 0)
	}
	results := s.Answer(agent(2), asks[0].Round, one(msgs.NotHeld), there)
	assert.Equal(t, len(results), 1)
	assert.Assert(t, !results[0].Owner.IsValid() && len(results[0].Unsure) == 0)
	assert.DeepEqual(t, results[0].Requesters, []netip.Addr{agent(9)}, compareAddr)
}

// One answer of three is lost. Asked all anew, the search would have had to hear everybody again, and in a fleet of hundreds would hardly
// ever have ended; only who hasn't answered is asked.
func TestOnlyAgentsThatHaveNotAnsweredAreAskedAgain(t *testing.T) {
	s := New(0)
	there := agents(3)
	s.Add(agent(9), question(1))
	round := s.Next(start, there)[0].Round
	s.Answer(agent(0), round, one(msgs.NotHeld), there)
	s.Answer(agent(2), round, one(msgs.NotHeld), there)
	assert.Equal(t, len(s.Next(start.Add(askAgain/2), there)), 0)
	asks := s.Next(start.Add(askAgain), there)
	assert.Equal(t, len(asks), 1)
	assert.DeepEqual(t, asks[0].To, []netip.Addr{agent(1)}, compareAddr)
	assert.Equal(t, len(s.Answer(agent(1), round, one(msgs.NotHeld), there)), 1)
}

// A server has joined while a round runs, and the flow is its. Left out, it would not have been asked, and a flow that lives
// would have been reset.
func TestAgentThatJoinsIsAskedBeforeARoundEnds(t *testing.T) {
	s := New(0)
	s.Add(agent(9), question(1))
	round := s.Next(start, agents(1))[0].Round
	assert.Equal(t, len(s.Answer(agent(0), round, one(msgs.NotHeld), agents(2))), 0)
	asks := s.Next(start.Add(time.Millisecond), agents(2))
	assert.DeepEqual(t, asks[0].To, []netip.Addr{agent(1)}, compareAddr)
	results := s.Answer(agent(1), round, one(msgs.Held), agents(2))
	assert.Equal(t, results[0].Owner, agent(1))
}

// A flow's packet comes while a round runs that has had answers already. What they said of other flows says nothing of it: it
// waits for the next round.
func TestFlowThatComesLateWaitsForTheNextRound(t *testing.T) {
	s := New(0)
	there := agents(2)
	s.Add(agent(9), question(1))
	first := s.Next(start, there)[0].Round
	s.Answer(agent(0), first, one(msgs.NotHeld), there)
	s.Add(agent(9), question(2))
	results := s.Answer(agent(1), first, one(msgs.NotHeld), there)
	assert.Equal(t, len(results), 1)
	assert.Equal(t, results[0].Flow, question(1).Flow)
	asks := s.Next(start.Add(time.Second), there)
	assert.Assert(t, asks[0].Round != first)
	assert.DeepEqual(t, asks[0].Questions, []msgs.Question{question(2)})
	assert.Equal(t, len(asks[0].To), 2)
}

// An instance is gone for good and its agent owes an answer. The round ends as soon as the platform says that it is gone.
func TestAgentThatIsGoneOwesNoAnswer(t *testing.T) {
	s := New(0)
	s.Add(agent(9), question(1))
	round := s.Next(start, agents(2))[0].Round
	s.Answer(agent(0), round, one(msgs.NotHeld), agents(2))
	results, unheard := s.Expire(start.Add(time.Second), agents(1))
	assert.Equal(t, len(results), 1)
	assert.Equal(t, len(unheard), 0)
}

// One agent never answers. What another one may hold is known meanwhile, and its server can be tried; nothing is said to be nobody's.
func TestSilentAgentLeavesARoundWithoutResult(t *testing.T) {
	s := New(0)
	there := agents(2)
	s.Add(agent(9), question(1))
	s.Add(agent(9), question(2))
	round := s.Next(start, there)[0].Round
	s.Answer(agent(0), round, []msgs.Verdict{msgs.Unsure, msgs.NotHeld}, there)
	sofar := s.PartialResults(round)
	assert.Equal(t, len(sofar), 1)
	assert.Assert(t, sofar[0].Partial && sofar[0].Flow == question(1).Flow)
	results, unheard := s.Expire(start.Add(giveUp+time.Millisecond), there)
	assert.Equal(t, len(results), 0)
	assert.Equal(t, len(unheard), 1)
	assert.DeepEqual(t, unheard[0].Unresponsive, []netip.Addr{agent(1)}, compareAddr)
	assert.Equal(t, len(s.wanted), 0)
}

// An agent repeats an answer, answers another round than it was asked in, or with too few verdicts.
func TestForeignAnswersCountForNothing(t *testing.T) {
	s := New(0)
	there := agents(2)
	s.Add(agent(9), question(1))
	round := s.Next(start, there)[0].Round
	for range 2 {
		assert.Equal(t, len(s.Answer(agent(0), round, one(msgs.NotHeld), there)), 0)
	}
	assert.Equal(t, len(s.Answer(agent(1), round+1, one(msgs.NotHeld), there)), 0)
	assert.Equal(t, len(s.Answer(agent(1), round, nil, there)), 0)
	assert.Equal(t, len(s.Answer(agent(7), round, one(msgs.NotHeld), there)), 0)
	assert.Equal(t, len(s.Answer(agent(1), round, one(msgs.NotHeld), there)), 1)
}

// A hundred flows come within 50 ms in a fleet of a hundred agents: they share a few rounds.
func TestRoundsAreSpacedByWhatTheyCost(t *testing.T) {
	s := New(0)
	there := agents(100)
	asked := 0
	for i := range 100 {
		s.Add(agent(9), question(i))
		for _, a := range s.Next(start.Add(time.Duration(i)*500*time.Microsecond), there) {
			if a.Repeats == 0 {
				asked += len(a.To)
			}
		}
	}
	assert.Assert(t, asked <= 400, "%d questions", asked)
}

// model is a fleet in which flows are opened, servers restart, agents join and leave, and messages are lost, repeated and late.
type model struct {
	now   time.Time
	seek  *Rounds
	there []netip.Addr // agents
	known []netip.Addr // those that the lead knows of
	next  int
	holds map[segs.Flow]netip.Addr // flow -> agent beside the server that holds it
	wire  []any                    // Ask to one agent, or answer
	flows int
}

type questionTo struct {
	to  netip.Addr
	ask Query
}

type answerFrom struct {
	from     netip.Addr
	round    uint32
	verdicts []msgs.Verdict
}

// Whatever happens to messages and agents, a flow that somebody holds is never said to be nobody's. An agent answers from what its server holds
// when the question comes, as a complete one does, or says that it is unsure. The lead learns later that one has joined; until then nothing is
// asked of that one, so what it holds doesn't count.
func TestFlowThatIsHeldIsNeverNobodys(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{now: start, seek: New(0), there: agents(3), known: agents(3), next: 3, holds: map[segs.Flow]netip.Addr{}}
		r.Repeat(map[string]func(*rapid.T){
			"open":    m.open,
			"want":    m.want,
			"restart": m.restart,
			"join":    func(*rapid.T) { m.there = append(m.there, agent(m.next)); m.next++ },
			"learn":   func(*rapid.T) { m.known = slices.Clone(m.there) },
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
	m.holds[question(m.flows).Flow] = rapid.SampledFrom(m.there).Draw(r, "owner")
}

// want is a packet of an open flow, or of one that is over.
func (m *model) want(r *rapid.T) {
	if m.flows == 0 {
		r.Skip("no flow")
	}
	m.seek.Add(agent(99), question(rapid.IntRange(1, m.flows).Draw(r, "flow")))
	m.send()
}

// restart makes a server lose its flows.
func (m *model) restart(r *rapid.T) {
	lost := rapid.SampledFrom(m.there).Draw(r, "server")
	for f, a := range m.holds {
		if a == lost {
			delete(m.holds, f)
		}
	}
}

// leave takes an agent and its server away.
func (m *model) leave(r *rapid.T) {
	if len(m.there) == 1 {
		r.Skip("the last one")
	}
	m.restart(r)
	i := rapid.IntRange(0, len(m.there)-1).Draw(r, "agent")
	for f, a := range m.holds {
		if a == m.there[i] {
			delete(m.holds, f)
		}
	}
	m.there = slices.Delete(slices.Clone(m.there), i, i+1)
	m.known = slices.DeleteFunc(slices.Clone(m.known), func(a netip.Addr) bool { return !slices.Contains(m.there, a) })
}

func (m *model) tick(r *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(r, "ms")) * time.Millisecond)
	results, _ := m.seek.Expire(m.now, m.known)
	m.check(r, results)
	m.send()
}

func (m *model) send() {
	for _, a := range m.seek.Next(m.now, m.known) {
		for _, to := range a.To {
			m.wire = append(m.wire, questionTo{to, a})
		}
	}
}

// pick takes a message from the network.
func (m *model) pick(r *rapid.T) any {
	if len(m.wire) == 0 {
		r.Skip("nothing under way")
	}
	i := rapid.IntRange(0, len(m.wire)-1).Draw(r, "message")
	message := m.wire[i]
	m.wire = slices.Delete(m.wire, i, i+1)
	return message
}

// deliver delivers a message, and leaves a copy of it now and then.
func (m *model) deliver(r *rapid.T) {
	message := m.pick(r)
	if rapid.IntRange(0, 9).Draw(r, "copy") == 0 {
		m.wire = append(m.wire, message)
	}
	switch x := message.(type) {
	case questionTo:
		if slices.Contains(m.there, x.to) {
			m.wire = append(m.wire, m.answer(r, x))
		}
	case answerFrom:
		m.check(r, m.seek.Answer(x.from, x.round, x.verdicts, m.known))
	}
}

func (m *model) answer(r *rapid.T, x questionTo) answerFrom {
	unsure := rapid.Bool().Draw(r, "unsure")
	a := answerFrom{from: x.to, round: x.ask.Round}
	for _, q := range x.ask.Questions {
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
			r.Fatalf("%v is held by %v and said to be nobody's", x.Flow, holder)
		}
	}
}
