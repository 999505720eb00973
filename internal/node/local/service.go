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
//
// The settings state the service, and may have changed since they were read. So they are read again before an opening
// packet goes to a server that has been silent for so long that it may be another one: an address is used again only
// after a pause. If the platform's record of the server names another service, the settings are about to change.

const (
	// replaceableAfter is the silence of a server after which another one may have its address. The address of a
	// server that has ended is used again after 2 s at the earliest.
	replaceableAfter = time.Second
	// unreadableFor is how long settings that can't be read leave the service unconfirmed: they may be about to be replaced.
	// After that the settings before them stay in force.
	unreadableFor = 2 * time.Second
)

// confirmation records whether the server may have been replaced since its service was last confirmed.
type confirmation struct {
	sentAt      time.Time // the server's last packet
	due         bool      // the server has sent something after replaceableAfter, and was not confirmed since
	failedSince time.Time // when settings could not be read; zero if they were read
}

// serverSent notes a packet of the server.
func (c *confirmation) serverSent(now time.Time) {
	c.due = c.due || now.Sub(c.sentAt) >= replaceableAfter
	c.sentAt = now
}

// needed reports whether the service has to be confirmed before the server gets an opening packet.
func (c *confirmation) needed(now time.Time) bool {
	return c.due || now.Sub(c.sentAt) >= replaceableAfter
}

// confirm notes that the service was confirmed.
func (c *confirmation) confirm() { c.due, c.failedSince = false, time.Time{} }

// fail notes that the service could not be confirmed, and reports whether the former one still counts.
func (c *confirmation) fail(now time.Time) (former bool) {
	if c.failedSince.IsZero() {
		c.failedSince = now
	}
	return now.Sub(c.failedSince) > unreadableFor
}

// servesOpening reports whether the server belongs to the service that an opening packet names.
func (a *Agent) servesOpening(now time.Time, service uint32) bool {
	confirmed := a.confirmService(now)
	return confirmed && service == a.hash
}

// confirmService reports whether the server is known to belong to the agent's service. It reads the settings if the
// server may have been replaced, which can change the agent's service.
func (a *Agent) confirmService(now time.Time) bool {
	if a.ReadService != nil && a.confirmed.needed(now) && !a.rereadService(now) {
		return false
	}
	s, ok := a.Log.View().Server(a.Self)
	return !ok || s.Addr != a.Backend || s.Service == a.Service
}

// rereadService reads the service from the settings again. It reports whether the agent's service counts as confirmed.
func (a *Agent) rereadService(now time.Time) bool {
	service, err := a.ReadService()
	switch {
	case err != nil:
		countConfirmed("unreadable")
		return a.confirmed.fail(now)
	case service == a.Service:
		countConfirmed("same")
	default:
		countConfirmed("changed")
		a.setService(now, service)
	}
	a.confirmed.confirm()
	return true
}

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
