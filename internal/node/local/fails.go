package local

import (
	"time"

	"mangowinch/internal/flow/segs"
)

// A server that breaks off its requests (package trip).
//
// The failure: a server goes down and up by turns, or crashes under a process that goes on accepting flows. Callers who wait for an
// answer come again and are placed at the same idle server; callers whose flows rest there learn it by their next
// request, which is lost if it must not run twice.
//
// The guard: while the breaker is open, new flows are handed back, each once: a service all of whose servers fail keeps
// them in use. The callers of flows that rest are told, so that their next request comes on a new flow elsewhere. Flows with
// a request under way are left alone.
//
// Why it holds: a healthy server answers, also by an error; five requests in a row that it breaks off are a fault of its own,
// and a flow that rests costs its caller one round trip.

// endingsPerTick paces the resets of resting flows: 2,000 a second, so that those callers' next flows don't come all at
// once to the servers that are left.
const endingsPerTick = 100

// brokeOff notes that the server has broken off a request.
func (a *Agent) brokeOff(now time.Time) {
	if a.Off.Breaker || !a.breaker.RecordFailure(now) {
		return
	}
	for f, o := range a.flows.All {
		if o.Idle() {
			a.ending = append(a.ending, f)
		}
	}
	a.Events.State("server-fails").Stringer("server", a.Backend).Int("flows", len(a.ending)).Send()
}

// answered notes that the server has answered a request.
func (a *Agent) answered() {
	if a.breaker.Open() {
		a.Events.State("server-answers").Stringer("server", a.Backend).Send()
	}
	a.breaker.RecordAnswer()
	a.ending = nil
}

// tellResting tells some callers whose flows still rest.
func (a *Agent) tellResting(now time.Time) {
	n := min(len(a.ending), endingsPerTick)
	for _, f := range a.ending[:n] {
		if o := a.flows.Get(f); o != nil && o.Idle() {
			a.end(now, o, &segs.Segment{Flow: f, Flags: segs.Ack, Ack: o.Ack}, "fails")
		}
	}
	a.ending = a.ending[n:]
}

// judge notes how long an answer took. A server that answers far too fast fails its requests (package quick), and is given few flows; what
// is open there goes on, as some of its answers may be good.
func (a *Agent) judge(now time.Time, f segs.Flow, took time.Duration) {
	if a.Off.Quick || !a.quick.RecordAnswer(now, f.ServiceAddr(), took) {
		return
	}
	a.Events.State("server-too-fast").Stringer("server", a.Backend).Bool("failing", a.quick.Open()).Dur("took", took).Send()
}
