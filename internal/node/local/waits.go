package local

import (
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/hold"
	"mangowinch/internal/oper/event"
)

// serverState returns what the queue of waiting flows needs to know about the local server.
func (a *Agent) serverState(now time.Time) hold.Server {
	s := hold.Server{
		Expected: a.flows.Expected(now),
		Slots:    a.slots(),
		Lowest:   a.Log.View().LowestPriority,
		Service:  a.overallService(now),
	}
	if a.Off.Waiting {
		s.Expected = 0
	}
	return s
}

// expectedWaits returns how long a new flow of each priority would wait at this agent.
func (a *Agent) expectedWaits(now time.Time) [msgs.NumWaits]time.Duration {
	return a.waiting.Waits(now, a.serverState(now))
}

// expectedWait returns how long a new flow of a priority would wait at this agent.
func (a *Agent) expectedWait(now time.Time, priority int) time.Duration {
	return a.expectedWaits(now)[min(max(priority, 0), msgs.NumWaits-1)]
}

// expireWaiting drops the waiting flows whose callers have given up, without a refusal that no caller would receive, and
// returns to their entries those that can't be answered before their timeout.
func (a *Agent) expireWaiting(now time.Time) {
	for _, w := range a.waiting.Expire(now) {
		countUnserved("expired")
		a.Events.Flow(event.Failure, "gave-up", w.Flow).Int("priority", w.Priority).Int("waiting", a.waiting.Len()).
			Stringer("revision", a.Log.Revision()).Send()
	}
	for _, w := range a.waiting.TooLate(now, a.overallService(now)) {
		countUnserved("late")
		a.returnWaitingFlow(now, w, msgs.ReasonBusy)
	}
}
