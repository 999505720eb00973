package local

import (
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/quick"
	"mangowinch/internal/load/trip"
)

// The service of the local server.
//
// Failure: a server ends, and one of another service takes over its address, beside the same agent or a new one.
// Opening packets that were sent to the former server, or wait for it here, would run requests at a service that their
// route doesn't name. Guard: each opening packet names the service that its route selects, and an agent gives its server
// only those that name the server's service. This is sufficient because every opening packet for the server passes
// through its agent.

// SetService sets the service that the server belongs to from now on. If it changes, the address has another server:
// flows that wait for the former one are returned, and what was learned of it is dropped.
func (a *Agent) SetService(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setService(now, service)
}

func (a *Agent) setService(now time.Time, service string) {
	if service == a.Service {
		return
	}
	a.Events.State("service").Str("was", a.Service).Str("service", service).Int("waiting", a.waiting.Len()).
		Int("flows", a.flows.Len()).Stringer("revision", a.Log.Revision()).Send()
	a.Service, a.hash = service, belief.ServiceHash(service)
	a.returnAllWaiting(now, msgs.ReasonService)
	a.resetService()
	a.breaker, a.quick = trip.Breaker{}, quick.New()
}
