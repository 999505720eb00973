package local

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// Service time of the server (package speed).
//
// Failure: a server is slower than the others of its service, or slows down, and gets as many flows as they do, so
// that its callers wait several times as long. Guard: the agent measures its server and reports the expected time
// of a request with the messages that it sends to entries anyway, and entries compare expected times. This
// is sufficient because the agent sees each request and its answer, and because a report that is lost or old only
// brings the placement back towards counting requests.

// recordService records the time that the server spent on a request. It took longer to be answered if it waited for a
// slot. An answer that is far too fast isn't recorded: it is taken for an error, and says nothing about the server's speed.
func (a *Agent) recordService(now time.Time, f segs.Flow, spent, took time.Duration) {
	if !a.Off.Quick && a.quick.TooFast(f.ServiceAddr(), took) {
		return
	}
	a.meter.Record(now, f.ServiceAddr(), spent)
	serviceTime.Set(a.overallService(now).Seconds())
}

// resetService discards the measured service times, because the server was started again.
func (a *Agent) resetService() {
	a.meter.Reset()
	serviceTime.Set(0)
}

// overallService returns the expected time of a request to any address, or 0 if it is unknown.
func (a *Agent) overallService(now time.Time) time.Duration {
	return a.meter.Overall(now, func(called netip.AddrPort) time.Duration { return a.flows.Oldest(now, called) })
}

// estimate returns what a new flow has to expect at the local server.
func (a *Agent) estimate(now time.Time) msgs.Estimate {
	if a.Off.Rates {
		return msgs.Estimate{}
	}
	return msgs.NewEstimate(a.overallService(now), a.expectedWaits(now))
}

// Expected is what a new flow has to expect at the local server, for operators.
type Expected struct {
	Service time.Duration   // time of a request, without waiting; 0: unknown
	Waits   []time.Duration // by priority: time until the server receives a new flow
}

// Expected returns what a new flow has to expect at the local server.
func (a *Agent) Expected(now time.Time) Expected {
	a.mu.Lock()
	defer a.mu.Unlock()
	waits := a.expectedWaits(now)
	return Expected{Service: a.overallService(now), Waits: waits[:]}
}
