package local

import (
	"time"

	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
)

// Circuit breaker for a server that aborts its requests (package trip).
//
// Failure: a server flaps, or crashes behind a process that goes on accepting flows. Callers that wait for an
// answer retry and are placed at the same server, as it is idle; callers with idle flows at this server notice
// only with their next request, which is lost if it must not run twice.
//
// Guard: while the breaker is open, each new flow is returned once; if it is placed here again, it is accepted,
// so that a service whose servers all fail keeps using them. Idle flows are reset, so that their callers send
// the next request on a new flow elsewhere. Flows with a request in progress are left alone.
//
// This is sufficient because a healthy server answers, even if with an error: five aborted requests in a row
// are a fault of the server. The reset of an idle flow costs its caller one round trip.

// resetsPerTick limits the resets of idle flows to 2,000 a second, so that the callers' next flows do not reach
// the remaining servers all at once.
const resetsPerTick = 100

// requestAborted notes that the server has aborted a request.
func (a *Agent) requestAborted(now time.Time) {
	if a.Off.Breaker || !a.breaker.RecordFailure(now) {
		return
	}
	for f, o := range a.flows.All {
		if o.Idle() {
			a.pendingResets = append(a.pendingResets, f)
		}
	}
	a.Events.State("server-fails").Stringer("server", a.Backend).Int("flows", len(a.pendingResets)).Send()
}

// requestAnswered notes that the server has answered a request.
func (a *Agent) requestAnswered() {
	if a.breaker.Open() {
		a.Events.State("server-answers").Stringer("server", a.Backend).Send()
	}
	a.breaker.RecordAnswer()
	a.pendingResets = nil
}

// resetIdleFlows resets some of the pending flows that are still idle.
func (a *Agent) resetIdleFlows(now time.Time) {
	n := min(len(a.pendingResets), resetsPerTick)
	for _, f := range a.pendingResets[:n] {
		if o := a.flows.Get(f); o != nil && o.Idle() {
			a.endFlow(now, o, &segs.Segment{Flow: f, Flags: segs.Ack, Ack: o.Ack}, "fails")
		}
	}
	a.pendingResets = a.pendingResets[n:]
}

// checkResponseTime records how long an answer on a flow took. The answer counts as too fast only if a slot was free
// when the request came: a full server refuses requests at once. A server that answers far too fast fails its requests
// (package quick) and gets few new flows; its open flows continue, as some of its answers may be valid.
func (a *Agent) checkResponseTime(now time.Time, f segs.Flow, o *owner.Flow, elapsed time.Duration) {
	free := o.Ahead < a.slots()
	if a.Off.Quick || !a.quick.RecordAnswer(now, f.ServiceAddr(), elapsed, free) {
		return
	}
	a.Events.State("server-too-fast").Stringer("server", a.Backend).Bool("failing", a.quick.Open()).Dur("took", elapsed).Send()
}
