package doubt

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
)

const (
	// notifyEvery is how often a process is sent the failed agents.
	notifyEvery = 500 * time.Millisecond
	// reportTTL is how long another process's report of a failed agent counts. That process keeps probing
	// the agent and repeats its report.
	reportTTL = 2 * time.Second
)

// LearnFailed records another process's reports of failed agents. A report counts from the time when the
// failure was detected until something is received from the agent or the report expires. A report keeps its
// age when it is passed on, so that it can't circulate for ever.
func (w *Monitor) LearnFailed(now time.Time, list []msgs.FailedAgent) {
	for _, s := range list {
		at := now.Add(-time.Duration(s.Age) * time.Millisecond)
		if at.After(w.reported[s.Agent]) && at.After(w.lastSeen[s.Agent]) && now.Sub(at) < reportTTL {
			w.reported[s.Agent] = at
		}
	}
}

// FailuresFor returns the failed agents to be sent to a process, both those that the observer detected and
// those reported to it. It returns nil if there are none or the process was sent a list recently.
func (w *Monitor) FailuresFor(now time.Time, process netip.Addr) (list []msgs.FailedAgent) {
	if w.AllHealthy() || now.Sub(w.notified[process]) < notifyEvery {
		return nil
	}
	for a, d := range w.suspects {
		if d.Failed() && len(list) < msgs.MaxFailed {
			list = append(list, msgs.FailedAgent{Agent: a})
		}
	}
	for a, at := range w.reported {
		if d := w.suspects[a]; (d == nil || !d.Failed()) && len(list) < msgs.MaxFailed {
			list = append(list, msgs.FailedAgent{Agent: a, Age: uint16(now.Sub(at).Milliseconds())})
		}
	}
	if len(list) > 0 {
		w.notified[process] = now
	}
	return list
}
