package doubt

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
)

const (
	// informEvery is how often a process is told who is lost.
	informEvery = 500 * time.Millisecond
	// toldFor is how long another's word counts that an agent is lost. Whoever says so goes on asking.
	toldFor = 2 * time.Second
)

// LearnFailed takes others' word that agents are lost. It counts from when whoever found out was sure, until the agent is heard, or
// for a while: word that is passed on grows old on its way, so that it can't go round.
func (w *Monitor) LearnFailed(now time.Time, list []msgs.FailedAgent) {
	for _, s := range list {
		at := now.Add(-time.Duration(s.Age) * time.Millisecond)
		if at.After(w.told[s.Agent]) && at.After(w.heard[s.Agent]) && now.Sub(at) < toldFor {
			w.told[s.Agent] = at
		}
	}
}

// FailuresFor returns whom a process is to be told to be lost, by what the observer found itself and what it was told: nobody, if
// there is none or the process was told lately.
func (w *Monitor) FailuresFor(now time.Time, process netip.Addr) (list []msgs.FailedAgent) {
	if w.AllHealthy() || now.Sub(w.informed[process]) < informEvery {
		return nil
	}
	for a, d := range w.agents {
		if d.Failed() && len(list) < msgs.MaxFailed {
			list = append(list, msgs.FailedAgent{Agent: a})
		}
	}
	for a, at := range w.told {
		if d := w.agents[a]; (d == nil || !d.Failed()) && len(list) < msgs.MaxFailed {
			list = append(list, msgs.FailedAgent{Agent: a, Age: uint16(now.Sub(at).Milliseconds())})
		}
	}
	if len(list) > 0 {
		w.informed[process] = now
	}
	return list
}
