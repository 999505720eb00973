// Package doubt watches the agents that have left something unanswered, and says which are lost.
//
// An agent in doubt is asked whether it is alive, directly and by way of other agents, by the bounds of a failure detector
// (package detect) of its own. Entries and agents both need that: an entry tells callers whose agent is lost, and an agent that looks for
// a flow's owner doesn't wait for one that is lost.
//
// What looks alike and is not a loss:
//   - Only the way between the observer and the agent is broken: the helpers reach it.
//   - What the observer sends is lost: nobody answers any of its questions.
//   - The observer was frozen: its time doesn't count (package detect).
//   - The agent is stopped as planned: it has said so, and is never lost. It is killed and starts again: it is back before the bound.
//
// The package sends nothing by itself and says nothing of what follows from a loss. It is not safe for concurrent use.
//
// # Usage
//
//	w := doubt.New(voucher, rand)
//	w.Doubt(now, agent)
//	w.Heard(agent)
//	lost := w.Tick(now, agents, leaving)
package doubt

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/detect"
)

var rounds = metrics.NewCounter(`mangowinch_doubt_rounds_total`)

// lostAfter is when an agent is lost: 0.95 s after the first unanswered packet. Killed ones are back after 0.65 s.
var lostAfter = detect.Bounds{Doubt: 150 * time.Millisecond, Wait: 200 * time.Millisecond, Checks: 4}

const (
	// helpers is how many other agents ask a doubted one too.
	helpers = 2
	// lately is for how long an agent that was heard needs no question.
	lately = time.Second
	// informEvery is how often a process is told who is lost.
	informEvery = 500 * time.Millisecond
	// toldFor is how long another's word counts that an agent is lost. Whoever says so goes on asking.
	toldFor = 2 * time.Second
)

// Voucher asks whether a process is alive, directly and by way of helpers.
type Voucher interface {
	Ask(target netip.Addr, helpers []netip.Addr)
}

// Watch is one observer's doubts.
type Watch struct {
	voucher Voucher
	rand    *rand.Rand
	agents  map[netip.Addr]*agent
	told    map[netip.Addr]time.Time // lost by another's word, as of when
	heard   map[netip.Addr]time.Time
	answers uint64 // of others, to anything that the observer sent

	informed map[netip.Addr]time.Time // processes that were told who is lost
}

// agent is one in doubt.
type agent struct {
	*detect.Detector
	answers uint64 // to the observer when the doubt began
	checks  int    // questions asked
}

// New returns a watch without doubts.
func New(v Voucher, r *rand.Rand) *Watch {
	return &Watch{voucher: v, rand: r, agents: map[netip.Addr]*agent{}, told: map[netip.Addr]time.Time{}, heard: map[netip.Addr]time.Time{}, informed: map[netip.Addr]time.Time{}}
}

// Doubt notes that an agent has left something unanswered.
func (w *Watch) Doubt(now time.Time, a netip.Addr) {
	d := w.agents[a]
	if d == nil {
		d = &agent{Detector: detect.New(lostAfter), answers: w.answers}
		d.Tick(now)
		w.agents[a] = d
	}
	d.Asked(now)
}

// DoubtUnheard is Doubt for an agent that hasn't been heard lately, for who sends something without an answer to itself.
func (w *Watch) DoubtUnheard(now time.Time, a netip.Addr) {
	if now.Sub(w.heard[a]) > lately {
		w.Doubt(now, a)
	}
}

// Lost says whether an agent is lost.
func (w *Watch) Lost(a netip.Addr) bool {
	d := w.agents[a]
	if d != nil && d.Lost() {
		return true
	}
	_, told := w.told[a]
	return told
}

// InDoubt says whether an agent is in doubt or lost.
func (w *Watch) InDoubt(a netip.Addr) bool { return w.agents[a] != nil || w.Lost(a) }

// Told takes others' word that agents are lost. It counts from when whoever found out was sure, until the agent is heard, or
// for a while: word that is passed on grows old on its way, so that it can't go round.
func (w *Watch) Told(now time.Time, list []msgs.Silent) {
	for _, s := range list {
		at := now.Add(-time.Duration(s.Age) * time.Millisecond)
		if at.After(w.told[s.Agent]) && at.After(w.heard[s.Agent]) && now.Sub(at) < toldFor {
			w.told[s.Agent] = at
		}
	}
}

// Tell returns whom a process is to be told to be lost, by what the observer found itself and what it was told: nobody, if
// there is none or the process was told lately.
func (w *Watch) Tell(now time.Time, process netip.Addr) (list []msgs.Silent) {
	if w.None() || now.Sub(w.informed[process]) < informEvery {
		return nil
	}
	for a, d := range w.agents {
		if d.Lost() && len(list) < msgs.MaxLost {
			list = append(list, msgs.Silent{Agent: a})
		}
	}
	for a, at := range w.told {
		if d := w.agents[a]; (d == nil || !d.Lost()) && len(list) < msgs.MaxLost {
			list = append(list, msgs.Silent{Agent: a, Age: uint16(now.Sub(at).Milliseconds())})
		}
	}
	if len(list) > 0 {
		w.informed[process] = now
	}
	return list
}

// None says whether nobody is in doubt or lost.
func (w *Watch) None() bool { return len(w.agents)+len(w.told) == 0 }

// Heard ends all doubt about an agent. It says whether it was lost.
func (w *Watch) Heard(now time.Time, a netip.Addr) (back bool) {
	back = w.Lost(a)
	delete(w.agents, a)
	delete(w.told, a)
	w.heard[a] = now
	return back
}

// Answered notes that somebody has answered something that the observer sent.
func (w *Watch) Answered() { w.answers++ }

// Tick asks the agents in doubt and returns those that are lost as of now. Agents are all that there are; one for which exempt
// says so is in no doubt.
func (w *Watch) Tick(now time.Time, agents []netip.Addr, exempt func(netip.Addr) bool) (lost []netip.Addr) {
	w.forget(now, agents)
	for a, d := range w.agents {
		if !isOne(agents, a) || exempt(a) {
			delete(w.agents, a)
			continue
		}
		switch d.Tick(now) {
		case detect.Check:
			w.ask(a, d, agents)
		case detect.Lost:
			if d.answers == w.answers {
				delete(w.agents, a) // nobody hears the observer
				continue
			}
			lost = append(lost, a)
		case detect.Fine:
		}
	}
	return lost
}

// forget drops others' word that is old, and who is no longer there.
func (w *Watch) forget(now time.Time, agents []netip.Addr) {
	for a, at := range w.told {
		if now.Sub(at) > toldFor || !isOne(agents, a) {
			delete(w.told, a)
		}
	}
	for a, at := range w.heard {
		if now.Sub(at) > lately {
			delete(w.heard, a)
		}
	}
	for a, at := range w.informed {
		if now.Sub(at) > informEvery {
			delete(w.informed, a)
		}
	}
}

func isOne(agents []netip.Addr, a netip.Addr) bool {
	_, there := slices.BinarySearchFunc(agents, a, netip.Addr.Compare)
	return there
}

// ask asks an agent, from the second time on by way of helpers too, whose answers show that the observer is heard: most who are
// asked answer the first question.
func (w *Watch) ask(a netip.Addr, d *agent, agents []netip.Addr) {
	rounds.Inc()
	d.checks++
	if d.checks == 1 {
		w.voucher.Ask(a, nil)
		return
	}
	others := w.some(agents, a)
	w.voucher.Ask(a, others)
	for _, o := range others {
		w.voucher.Ask(o, nil)
	}
}

// some draws helpers from the agents but one.
func (w *Watch) some(agents []netip.Addr, but netip.Addr) (drawn []netip.Addr) {
	for _, i := range w.rand.Perm(len(agents)) {
		if len(drawn) == helpers {
			break
		}
		if agents[i] != but {
			drawn = append(drawn, agents[i])
		}
	}
	return drawn
}
