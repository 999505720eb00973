package local

import (
	"time"

	"mangowinch/internal/ctrl/belief"
)

// Warm-up of a server that has just started (package warm).
//
// Failure: a server restarts cold, all entries see it idle, and it gets more flows than it can bear. Guard: the
// server's agent, which sees every opening packet for it, limits them to the warm-up rate that the service
// configures. This is sufficient because the server's record on the platform states how much longer the server
// is cold, and until that record is received the agent assumes a cold start by itself whenever a server answers
// again whose address was closed or that had been unresponsive, as it may have restarted.

// coldUnknown marks a server record whose remaining cold time has not been read yet.
const coldUnknown = time.Duration(-1)

// updateWarmUp takes the remaining cold time from the server's record. A record with the same time as before is
// an unchanged one, whose time must not be counted from now.
func (a *Agent) updateWarmUp(now time.Time, self belief.Server) {
	if self.Cold == a.server.cold {
		return
	}
	a.server.cold = self.Cold
	a.warmUp.SetCold(now, self.Cold)
}

// serverResponded notes that the server has sent a packet.
func (a *Agent) serverResponded(now time.Time) {
	a.confirmed.serverSent(now)
	wasUnavailable := !a.lastDown.IsZero() || !a.unansweredSince.IsZero() && now.Sub(a.unansweredSince) >= unresponsiveAfter
	if wasUnavailable {
		a.warmUp.ExtendCold(now, a.Log.View().WarmUp(a.Service).Time)
	}
	if !a.lastDown.IsZero() {
		a.resetService()
	}
	a.lastDown, a.unansweredSince = time.Time{}, time.Time{}
}

// mayOpen reports whether the warm-up rate allows the server a new flow.
func (a *Agent) mayOpen(now time.Time) bool {
	return a.warmUp.Allows(now, a.Log.View().WarmUp(a.Service).Rate)
}
