package local

import (
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
)

// An evacuated failure domain.
//
// An operator empties a failure domain before work on it: its servers are to get no new flows, and flows that are open go on to their
// end. The failure: an entry that doesn't know the order yet, or was cut off, goes on placing flows here, and the domain is never empty. The
// guard: the agent beside the server refuses, whatever an entry believes. Why it holds: every opening packet for the server passes it, and it learns
// order and taking back with everything else that it believes, so that neither an old belief nor a restart brings a domain back.

// evacuate hands back what waits, if the agent's failure domain is evacuated.
func (a *Agent) evacuate(now time.Time, v *belief.View) {
	if !v.Evacuated(a.Domain) {
		return
	}
	a.emptied = true
	a.returnWaiting(now, msgs.ReasonEvacuated)
}

// countResting shows how many flows are still open in an evacuated domain, so that an operator sees when it is empty.
func (a *Agent) countResting() {
	open := 0
	if a.Log.View().Evacuated(a.Domain) {
		open = a.flows.Len()
	}
	evacuatedFlows.Set(float64(open))
}
