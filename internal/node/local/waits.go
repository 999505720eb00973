package local

import (
	"time"

	"mangowinch/internal/flow/msgs"
)

// expectedWaits returns, by priority, how long a new flow would wait until a slot of the server is free: the requests
// that are ahead of it, each of the service time, over the slots. It takes all waiting flows to be ahead.
func (a *Agent) expectedWaits(now time.Time) (waits [msgs.NumWaits]time.Duration) {
	ahead := a.flows.Expected(now) + a.waiting.Len() - a.slots() + 1
	if ahead <= 0 {
		return waits
	}
	wait := time.Duration(ahead) * a.overallService(now) / time.Duration(a.slots())
	for i := range waits {
		waits[i] = wait
	}
	return waits
}
