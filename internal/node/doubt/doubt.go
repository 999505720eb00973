// Package doubt is the failure detector for agents: it decides which of those that have left a message
// unanswered have failed.
//
// A suspected agent is probed, directly and by way of other agents, within the bounds of a failure detector
// (package detect) of its own. Both entries and agents need that: an entry resets the flows of failed
// agents, and an agent that looks up the owner of a flow doesn't wait for agents that have failed.
//
// The following cases look like a failure but are none:
//   - Only the path between the observer and the agent is broken: the helpers reach the agent.
//   - The observer's own packets or the answers to it are lost, or delayed by a queue on its own link:
//     other agents don't answer in time either.
//   - The observer was frozen: the time of the pause doesn't count (package detect).
//   - The agent stops as planned: it has announced that and never counts as failed.
//   - The agent is killed and starts again: it is back within the bound.
//
// The package sends nothing by itself and doesn't decide what follows from a failure. It is not safe for
// concurrent use.
//
// # Usage
//
//	m := doubt.New(self, prober, rand)
//	m.Suspect(now, agent)
//	m.MarkAlive(now, agent)
//	m.Acked(now, agent, round) // an answer to a probe of the prober
//	failed := m.Tick(now, agents, exempt)
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

var probes = metrics.NewCounter(`mangowinch_doubt_rounds_total`)

// failureBounds are the detector's bounds for an agent, which is declared failed 0.95 s after the first
// unanswered packet. An agent that was killed is back after 0.65 s.
var failureBounds = detect.Config{SuspectAfter: 150 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond, Probes: 4}

// maxProbesPerTick bounds how many suspected agents are probed in a tick. When a failure domain fails, an
// observer may suspect a thousand agents at once; the others are probed in the next ticks.
const maxProbesPerTick = 64

// recentFor is how long after something was received from an agent the agent needs no probe.
const recentFor = time.Second

// Prober probes a process, directly and by way of helpers.
type Prober interface {
	Probe(target netip.Addr, helpers []netip.Addr, round uint32)
}

// Monitor is the failure detector of one observer. It has state of its own only for agents that are
// suspected or failed.
type Monitor struct {
	self     netip.Addr
	prober   Prober
	suspects map[netip.Addr]*suspect
	reported map[netip.Addr]time.Time // agents that others reported as failed, and since when they are failed
	lastSeen map[netip.Addr]time.Time // when something was last received from an agent
	notified map[netip.Addr]time.Time // processes that were sent the failed agents, and when
	rounds   *rounds
}

// suspect is the state of a suspected or failed agent.
type suspect struct {
	*detect.Detector
	round *round // of the last probe
}

// New returns the monitor of the process at an address, without suspects.
func New(self netip.Addr, p Prober, r *rand.Rand) *Monitor {
	return &Monitor{
		self:     self,
		prober:   p,
		suspects: map[netip.Addr]*suspect{},
		reported: map[netip.Addr]time.Time{},
		lastSeen: map[netip.Addr]time.Time{},
		notified: map[netip.Addr]time.Time{},
		rounds:   newRounds(r),
	}
}

// Suspect records that an agent has left a message unanswered.
func (w *Monitor) Suspect(now time.Time, a netip.Addr) {
	d := w.suspects[a]
	if d == nil {
		d = &suspect{Detector: detect.New(failureBounds)}
		d.Tick(now, detect.Open)
		w.suspects[a] = d
	}
	d.Sent(now)
}

// SuspectUnlessSeen is Suspect for an agent from which nothing was received recently. It is for observers
// whose messages have no answer of their own.
func (w *Monitor) SuspectUnlessSeen(now time.Time, a netip.Addr) {
	if now.Sub(w.lastSeen[a]) > recentFor {
		w.Suspect(now, a)
	}
}

// Failed reports whether an agent has failed, by this observer's probes or by another's report.
func (w *Monitor) Failed(a netip.Addr) bool {
	d := w.suspects[a]
	if d != nil && d.Failed() {
		return true
	}
	_, reported := w.reported[a]
	return reported
}

// Suspected reports whether an agent is suspected or failed.
func (w *Monitor) Suspected(a netip.Addr) bool { return w.suspects[a] != nil || w.Failed(a) }

// AllHealthy reports whether no agent is suspected or failed.
func (w *Monitor) AllHealthy() bool { return len(w.suspects)+len(w.reported) == 0 }

// MarkAlive ends any suspicion of an agent. It reports whether the agent counted as failed.
func (w *Monitor) MarkAlive(now time.Time, a netip.Addr) (hadFailed bool) {
	hadFailed = w.Failed(a)
	delete(w.suspects, a)
	delete(w.reported, a)
	w.lastSeen[a] = now
	return hadFailed
}

// Acked records that an agent has answered a probe of a round.
func (w *Monitor) Acked(now time.Time, a netip.Addr, round uint32) { w.rounds.answered(now, a, round) }

// Tick probes the suspected agents and returns those that have failed since the last call. The argument
// agents lists all present agents in ascending order. Suspicion of an agent ends if the agent is not
// present or exempt returns true for it.
func (w *Monitor) Tick(now time.Time, agents []netip.Addr, exempt func(netip.Addr) bool) (failed []netip.Addr) {
	w.forget(now, agents)
	var current *round // of this tick
	probed := 0
	for a, d := range w.suspects { // in random order, so that the bound on probes doesn't always leave out the same agents
		if !contains(agents, a) || exempt(a) {
			delete(w.suspects, a)
			continue
		}
		if probed == maxProbesPerTick {
			break
		}
		switch d.Tick(now, d.round.path()) {
		case detect.Probe:
			if current == nil {
				current = w.beginRound(now, agents)
			}
			probed++
			w.probe(a, d, current, agents)
		case detect.Failed:
			failed = append(failed, a)
		case detect.None:
		}
	}
	return failed
}

// beginRound begins a round of probes, which all agents probed in this tick share, and probes its
// witnesses.
func (w *Monitor) beginRound(now time.Time, agents []netip.Addr) *round {
	r := w.rounds.begin(now, w.pickWitnesses(agents))
	for _, o := range r.witnesses {
		w.prober.Probe(o, nil, r.number)
	}
	return r
}

// probe probes an agent. Helpers are used from the second probe on, because most agents answer the first.
func (w *Monitor) probe(a netip.Addr, d *suspect, r *round, agents []netip.Addr) {
	probes.Inc()
	var helpers []netip.Addr
	if d.round != nil {
		helpers = w.pickHelpers(agents, a)
	}
	d.round = r
	w.prober.Probe(a, helpers, r.number)
}

// forget drops expired state and the reports about agents that are not present.
func (w *Monitor) forget(now time.Time, agents []netip.Addr) {
	w.rounds.forget(now)
	dropExpired(now, w.reported, reportTTL)
	dropExpired(now, w.lastSeen, recentFor)
	dropExpired(now, w.notified, notifyEvery)
	maps.DeleteFunc(w.reported, func(a netip.Addr, _ time.Time) bool { return !contains(agents, a) })
}

// dropExpired deletes the entries whose time is more than keep ago.
func dropExpired(now time.Time, times map[netip.Addr]time.Time, keep time.Duration) {
	maps.DeleteFunc(times, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) > keep })
}

func contains(agents []netip.Addr, a netip.Addr) bool {
	_, there := slices.BinarySearchFunc(agents, a, netip.Addr.Compare)
	return there
}
