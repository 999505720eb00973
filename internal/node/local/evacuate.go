package local

import (
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
)

// Evacuation of the agent's failure domain.
//
// An operator evacuates a failure domain before maintenance: its servers get no new flows, and open flows
// continue until they end. Failure: an entry that has not received the order yet, or is cut off, goes on
// placing flows here, and the domain never becomes empty. Guard: the agent beside the server refuses new flows,
// whatever an entry believes. This is sufficient because every opening packet for the server passes through its
// agent, and because the order and its withdrawal are part of the belief, so that neither an old belief nor a
// restart reopens the domain.

// evacuate returns the waiting flows if the agent's failure domain is evacuated.
func (a *Agent) evacuate(now time.Time, v *belief.View) {
	if !v.Evacuated(a.Domain) {
		return
	}
	a.wasEvacuated = true
	a.returnAllWaiting(now, msgs.ReasonEvacuated)
}

// updateEvacuatedFlows sets the metric of flows that are still open in an evacuated domain, so that an operator
// sees when the domain is empty.
func (a *Agent) updateEvacuatedFlows() {
	open := 0
	if a.Log.View().Evacuated(a.Domain) {
		open = a.flows.Len()
	}
	evacuatedFlows.Set(float64(open))
}
