package owner

import (
	"net/netip"
	"time"
)

// The time that a server spends on a request begins when a slot is free and the request's data has arrived. The
// server's queue is not visible, so the agent assumes that it is first come, first served: a request that arrives
// while all slots are in use begins when as many requests have been answered as were ahead of it. A request that is
// answered earlier says nothing about the server's speed: it was refused, or the assumption does not hold.

// SetSlots sets the number of requests that the server runs at a time.
func (t *Agent) SetSlots(slots int) { t.requests.slots = slots }

// queue determines how many requests are ahead of a new one, which is not in the list of active ones yet.
func (r *requests) queue(now time.Time, o *Flow) {
	o.ahead, o.beganAt = 1-max(r.slots, 1), time.Time{}
	for _, p := range r.active {
		if p.current() {
			o.ahead++
		}
	}
	if o.ahead <= 0 {
		o.beganAt = now
	}
}

// current reports whether the request is still in progress.
func (p pending) current() bool { return p.flow.PendingSince.Equal(p.since) }

// dataArrived notes that the server has received more data of the request in progress.
func (o *Flow) dataArrived(now time.Time) {
	if !o.beganAt.IsZero() {
		o.beganAt = now
	}
}

// served returns the time that the server spent on a request that it has just answered, or 0 if it is unknown, and
// lets the requests behind it advance.
func (r *requests) served(now time.Time, o *Flow) (spent time.Duration) {
	if o.beganAt.IsZero() {
		return 0
	}
	spent = now.Sub(o.beganAt)
	for _, p := range r.active {
		if w := p.flow; w != o && p.current() && w.beganAt.IsZero() {
			if w.ahead--; w.ahead <= 0 {
				w.beganAt = now
			}
		}
	}
	return spent
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
