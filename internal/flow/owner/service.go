package owner

import (
	"net/netip"
	"time"
)

// The time that a server spends on a request begins when a slot is free and the request's data has arrived. The
// server's queue is not visible, so the agent assumes that it is first come, first served: a request that arrives
// while all slots are in use begins at the first answer that leaves fewer requests ahead of it than there are slots. A
// request that is answered earlier says nothing about the server's speed: it was refused, or the assumption does not
// hold.

// SetSlots sets the number of requests that the server runs at a time.
func (t *Agent) SetSlots(slots int) { t.requests.slots = slots }

// arrived determines whether the server begins with a new request at once. The request is not in the list of active
// ones yet.
func (r *requests) arrived(now time.Time, o *Flow) {
	ahead := 0
	for _, p := range r.active {
		if p.current() {
			ahead++
		}
	}
	o.beganAt = time.Time{}
	if ahead < max(r.slots, 1) {
		o.beganAt = now
	}
}

// current reports whether the request is still in progress.
func (p pending) current() bool { return p.flow.PendingSince.Equal(p.since) }

// dataArrived records that the server has received more data of the request in progress.
func (o *Flow) dataArrived(now time.Time) {
	if !o.beganAt.IsZero() {
		o.beganAt = now
	}
}

// served returns the time that the server spent on a request that it has just answered, or 0 if it is unknown, and
// lets the requests behind it advance.
func (r *requests) served(now time.Time, o *Flow) (spent time.Duration) {
	if !o.beganAt.IsZero() {
		spent = now.Sub(o.beganAt)
	}
	r.advance(now, o)
	return spent
}

// advance lets the server begin with the oldest requests in progress, as many as it has slots, except for one that it
// has just answered. Requests of callers that gave up do not count: otherwise those behind them would never begin.
func (r *requests) advance(now time.Time, answered *Flow) {
	free := max(r.slots, 1)
	for _, p := range r.active {
		if p.flow == answered || !p.current() {
			continue
		}
		if free == 0 {
			return
		}
		free--
		if p.flow.beganAt.IsZero() {
			p.flow.beganAt = now
		}
	}
}

// Oldest returns how long the server has spent on the oldest request in progress to a called address, or 0 if there
// is none.
func (t *Agent) Oldest(now time.Time, called netip.AddrPort) (oldest time.Duration) {
	for _, p := range t.requests.active {
		if o := p.flow; p.current() && o.called == called && !o.beganAt.IsZero() {
			oldest = max(oldest, now.Sub(o.beganAt))
		}
	}
	return oldest
}
