package owner

import (
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/parts"
)

const (
	// acceptTimeout is how long a flow that its server has not accepted counts as using a slot. Servers
	// normally accept within a millisecond.
	acceptTimeout = 300 * time.Millisecond
	// initialRequestDelay is the assumed delay from a flow's acceptance to its first request until flows have
	// shown the actual delay. It covers two trips to the caller, which take 4 to 12 ms.
	initialRequestDelay = 12 * time.Millisecond
	// requestDelayFactor and minRequestDelay bound how long a flow's first request is awaited: four times the
	// average delay. After that the caller has given up, and a slot reserved for the request stays idle.
	// After a power loss, with callers that had waited for a second, two of five flows never had a request;
	// reserving a slot for 300 ms for each of them made servers serve a third less than they could.
	requestDelayFactor = 4
	minRequestDelay    = 10 * time.Millisecond
	// minOverdueAge and overdueFactor bound how long a request without an answer counts as using a slot:
	// eight times the average answer time, but half a second at least. Requests take at most six times their
	// average.
	minOverdueAge = 500 * time.Millisecond
	overdueFactor = 8
	// overdueRetention is how long an overdue request counts against its server. The longest deadline of
	// short requests is 4 s.
	overdueRetention = 4 * time.Second
	// averageWindow is the number of samples over which the moving averages extend.
	averageWindow = 32
)

// pending is a flow on which a request, or the answer to one, has been awaited since a time.
type pending struct {
	flow  *Flow
	since time.Time
}

// requests counts the requests of an agent's server from the packets that pass the agent. After a restart of
// the agent, a retransmitted packet may look like a request whose answer the agent has missed. Such a request
// soon becomes overdue; if it counted as in progress until its flow ends, it would keep new flows away from
// an idle server for seconds.
type requests struct {
	off       parts.Off
	slots     int           // of the server
	unused    []pending     // flows that may not have had their first request yet
	active    []pending     // flows with a request in progress
	avgAnswer time.Duration // average time of an answer
	avgDelay  time.Duration // average time from a flow's acceptance to its first request
}

func (r *requests) opened(now time.Time, o *Flow) { r.unused = append(r.unused, pending{o, now}) }

func (r *requests) asked(now time.Time, o *Flow) { r.active = append(r.active, pending{o, now}) }

func (r *requests) answered(took time.Duration) {
	if r.avgAnswer == 0 {
		r.avgAnswer = took
		return
	}
	r.avgAnswer += (took - r.avgAnswer) / averageWindow
}

// addDelay records the time from a flow's acceptance to its first request.
func (r *requests) addDelay(delay time.Duration) {
	if r.avgDelay == 0 {
		r.avgDelay = delay
		return
	}
	r.avgDelay += (delay - r.avgDelay) / averageWindow
}

// awaited reports whether the first request on a flow is still awaited.
func (r *requests) awaited(now time.Time, p pending) bool {
	if p.flow.Requested {
		return false
	}
	if p.flow.acceptedAt.IsZero() || r.off.Lag {
		return now.Sub(p.since) < acceptTimeout
	}
	delay := r.avgDelay
	if delay == 0 {
		delay = initialRequestDelay
	}
	return now.Sub(p.flow.acceptedAt) < max(minRequestDelay, requestDelayFactor*delay)
}

// overdueAge returns the age from which a request is overdue.
func (r *requests) overdueAge() time.Duration { return max(minOverdueAge, overdueFactor*r.avgAnswer) }

// count returns how many flows await their first request, and how many requests are in progress and overdue.
func (r *requests) count(now time.Time) (unused, active, overdue int) {
	r.unused = filter(r.unused, func(p pending) bool { return r.awaited(now, p) })
	r.active = filter(r.active, func(p pending) bool {
		return p.current() && now.Sub(p.since) < overdueRetention
	})
	limit := r.overdueAge()
	for _, p := range r.active {
		if now.Sub(p.since) > limit {
			overdue++
		}
	}
	return len(r.unused), len(r.active) - overdue, overdue
}

// filter keeps the elements that want selects, in place. It clears the rest of the list so that flows can be
// freed.
func filter(list []pending, want func(pending) bool) []pending {
	kept := list[:0]
	for _, p := range list {
		if want(p) {
			kept = append(kept, p)
		}
	}
	clear(list[len(kept):])
	return kept
}

// Expected returns how many requests are in progress or about to arrive. Every flow is opened for a request.
func (t *Agent) Expected(now time.Time) int {
	unused, active, _ := t.requests.count(now)
	return unused + active
}

// Overdue returns how many requests of the last seconds are overdue. A count above zero indicates a server
// that hangs or fails a part of its requests.
func (t *Agent) Overdue(now time.Time) int {
	_, _, overdue := t.requests.count(now)
	return overdue
}

// Load returns how busy the server is.
func (t *Agent) Load(now time.Time) msgs.Load {
	unused, active, overdue := t.requests.count(now)
	busy := unused + active + overdue
	return msgs.Load{Busy: uint16(min(busy, 0xffff)), Flows: uint16(min(len(t.flows), 0xffff))}
}
