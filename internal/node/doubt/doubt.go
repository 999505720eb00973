// Package doubt watches the agents that have left something unanswered, and says which are lost.
//
// An agent in doubt is asked whether it is alive, directly and by way of other agents, by the bounds of a failure detector
// (package detect) of its own. Entries and agents both need that: an entry tells callers whose agent is lost, and an agent that looks for
// a flow's owner doesn't wait for one that is lost.
//
// What looks alike and is not a loss:
//   - Only the way between the observer and the agent is broken: the helpers reach it.
//   - What the observer sends or gets is lost, or comes late behind a queue on its own link: others don't answer in time either.
//   - The observer was frozen: its time doesn't count (package detect).
//   - The agent is stopped as planned: it has said so, and is never lost. It is killed and starts again: it is back before the bound.
//
// The package sends nothing by itself and says nothing of what follows from a loss. It is not safe for concurrent use.
//
// # Usage
//
//	w := doubt.New(self, voucher, rand)
//	w.Doubt(now, agent)
//	w.Heard(agent)
//	w.Answered(now, agent, round) // a question that the voucher asked
//	lost := w.Tick(now, agents, leaving)
package doubt

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/load/detect"
)

var asks = metrics.NewCounter(`mangowinch_doubt_rounds_total`)

// lostAfter is when an agent is lost: 0.95 s after the first unanswered packet. Killed ones are back after 0.65 s.
var lostAfter = detect.Config{SuspectAfter: 150 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond, Probes: 4}

// mostAsks bounds how many agents in doubt are asked in a tick. When a failure domain goes, an observer may doubt a thousand at once;
// the others' turn comes with the next ticks.
const mostAsks = 64

// lately is for how long an agent that was heard needs no question.
const lately = time.Second

// Prober asks whether a process is alive, directly and by way of helpers.
type Prober interface {
	Probe(target netip.Addr, helpers []netip.Addr, round uint32)
}

// Monitor is one observer's doubts.
type Monitor struct {
	self     netip.Addr
	voucher  Prober
	agents   map[netip.Addr]*agent
	told     map[netip.Addr]time.Time // lost by another's word, as of when
	heard    map[netip.Addr]time.Time
	informed map[netip.Addr]time.Time // processes that were told who is lost
	rounds   *rounds
}

// agent is one in doubt.
type agent struct {
	*detect.Detector
	round *round // of the last question
}

// New returns the watch of the process at an address, without doubts.
func New(self netip.Addr, v Prober, r *rand.Rand) *Monitor {
	return &Monitor{
		self:     self,
		voucher:  v,
		agents:   map[netip.Addr]*agent{},
		told:     map[netip.Addr]time.Time{},
		heard:    map[netip.Addr]time.Time{},
		informed: map[netip.Addr]time.Time{},
		rounds:   newRounds(r),
	}
}

// Suspect notes that an agent has left something unanswered.
func (w *Monitor) Suspect(now time.Time, a netip.Addr) {
	d := w.agents[a]
	if d == nil {
		d = &agent{Detector: detect.New(lostAfter)}
		d.Tick(now, detect.Open)
		w.agents[a] = d
	}
	d.Sent(now)
}

// SuspectUnlessSeen is Doubt for an agent that hasn't been heard lately, for who sends something without an answer to itself.
func (w *Monitor) SuspectUnlessSeen(now time.Time, a netip.Addr) {
	if now.Sub(w.heard[a]) > lately {
		w.Suspect(now, a)
	}
}

// Failed says whether an agent is lost.
func (w *Monitor) Failed(a netip.Addr) bool {
	d := w.agents[a]
	if d != nil && d.Failed() {
		return true
	}
	_, told := w.told[a]
	return told
}

// Suspected says whether an agent is in doubt or lost.
func (w *Monitor) Suspected(a netip.Addr) bool { return w.agents[a] != nil || w.Failed(a) }

// AllHealthy says whether nobody is in doubt or lost.
func (w *Monitor) AllHealthy() bool { return len(w.agents)+len(w.told) == 0 }

// MarkAlive ends all doubt about an agent. It says whether it was lost.
func (w *Monitor) MarkAlive(now time.Time, a netip.Addr) (back bool) {
	back = w.Failed(a)
	delete(w.agents, a)
	delete(w.told, a)
	w.heard[a] = now
	return back
}

// Acked notes that an agent has answered a question of a round.
func (w *Monitor) Acked(now time.Time, a netip.Addr, round uint32) {
	w.rounds.answered(now, a, round)
}

// Tick asks the agents in doubt and returns those that are lost as of now. Agents are all that there are; one for which exempt
// says so is in no doubt.
func (w *Monitor) Tick(now time.Time, agents []netip.Addr, exempt func(netip.Addr) bool) (lost []netip.Addr) {
	w.forget(now, agents)
	var current *round // of this tick
	asked := 0
	for a, d := range w.agents { // in any order, so that nobody is always the last
		if !isOne(agents, a) || exempt(a) {
			delete(w.agents, a)
			continue
		}
		if asked == mostAsks {
			break
		}
		switch d.Tick(now, d.round.way()) {
		case detect.Probe:
			if current == nil {
				current = w.begin(now, agents)
			}
			asked++
			w.ask(a, d, current, agents)
		case detect.Failed:
			lost = append(lost, a)
		case detect.None:
		}
	}
	return lost
}

// begin begins a round of questions, for all agents whose turn it is.
func (w *Monitor) begin(now time.Time, agents []netip.Addr) *round {
	r := w.rounds.begin(now, w.witnesses(agents))
	for _, o := range r.witnesses {
		w.voucher.Probe(o, nil, r.number)
	}
	return r
}

// ask asks an agent, from the second time on by way of others too: most who are asked answer the first question.
func (w *Monitor) ask(a netip.Addr, d *agent, r *round, agents []netip.Addr) {
	asks.Inc()
	var helpers []netip.Addr
	if d.round != nil {
		helpers = w.some(agents, a)
	}
	d.round = r
	w.voucher.Probe(a, helpers, r.number)
}

// forget drops what is old, and who is no longer there.
func (w *Monitor) forget(now time.Time, agents []netip.Addr) {
	w.rounds.forget(now)
	dropOld(now, w.told, toldFor)
	dropOld(now, w.heard, lately)
	dropOld(now, w.informed, informEvery)
	maps.DeleteFunc(w.told, func(a netip.Addr, _ time.Time) bool { return !isOne(agents, a) })
}

// dropOld drops what lies back longer than keep.
func dropOld(now time.Time, times map[netip.Addr]time.Time, keep time.Duration) {
	maps.DeleteFunc(times, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) > keep })
}

func isOne(agents []netip.Addr, a netip.Addr) bool {
	_, there := slices.BinarySearchFunc(agents, a, netip.Addr.Compare)
	return there
}
