package local

import (
	"time"

	"mangowinch/internal/ctrl/belief"
)

// A server that has just started (package warm).
//
// The failure: a server comes back cold, all entries find it idle, and it gets more than it bears. The guard: its agent, which sees every
// opening packet for it, counts them against the rate that the service states. Why it holds: the entry in the platform says how much longer
// the server is cold, and before that entry is known the agent tells by itself, as a server whose address was closed, or that said
// nothing, and that answers again may have started anew.

// unseen stands for an entry whose remaining time hasn't been read yet.
const unseen = time.Duration(-1)

// seeCold takes the entry's word. An entry that says the same as before hasn't been written again.
func (a *Agent) seeCold(now time.Time, self belief.Server) {
	if self.Cold == a.server.cold {
		return
	}
	a.server.cold = self.Cold
	a.warmth.SetCold(now, self.Cold)
}

// heardServer notes that the server has sent something.
func (a *Agent) heardServer(now time.Time) {
	away := !a.down.IsZero() || !a.unheard.IsZero() && now.Sub(a.unheard) >= muteAfter
	if away {
		a.warmth.ExtendCold(now, a.Log.View().WarmUp(a.Service).Time)
	}
	a.down, a.unheard = time.Time{}, time.Time{}
}

// mayOpen says whether the server may get a new flow as far as its warm-up goes.
func (a *Agent) mayOpen(now time.Time) bool {
	return a.warmth.Allows(now, a.Log.View().WarmUp(a.Service).Rate)
}
