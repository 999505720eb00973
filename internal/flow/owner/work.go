package owner

import (
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/parts"
)

const (
	// openWithin is how long a server may take to accept a flow before it no longer holds a slot for it: it
	// answers within a millisecond.
	openWithin = 300 * time.Millisecond
	// lagFirst is how long after its acceptance a flow's first request is awaited until flows have shown how
	// long it takes: two trips to the caller, 4 to 12 ms.
	lagFirst = 12 * time.Millisecond
	// lagTimes and lagLeast say from when on a request isn't awaited any more: after four times the average. The caller has given
	// up its request, and a slot that is kept for it stays idle. After a power loss, with callers that had waited for a second,
	// two of five flows were such ones; with 300 ms for each, idle servers served a third less than they could.
	lagTimes = 4
	lagLeast = 10 * time.Millisecond
	// overdueLeast and overdueTimes say from when a request without an answer no longer holds a slot: after
	// eight times the average answer, half a second at least. Work takes six times its
	// average at most.
	overdueLeast = 500 * time.Millisecond
	overdueTimes = 8
	// rememberOverdue is how long an overdue request counts against its server: the longest deadline of the
	// workloads' short requests is 4 s.
	rememberOverdue = 4 * time.Second
	// averageOver is how many answers the average time goes over.
	averageOver = 32
)

// pending is a flow that something is expected of since a time.
type pending struct {
	own   *Flow
	since time.Time
}

// requests counts what an agent's server has to do, from what passes by. After the agent's own
// restart it may take a repeated packet for a request whose answer it has missed; such a
// request is overdue soon. Counted as under way until its flow ends, it would keep new
// flows from an idle server for seconds.
type requests struct {
	off     parts.Off
	young   []pending     // flows on which the first request may not have come yet
	under   []pending     // requests under way
	average time.Duration // of answers
	lag     time.Duration // average from a flow's acceptance to its first request
}

func (r *requests) opened(now time.Time, o *Flow) { r.young = append(r.young, pending{o, now}) }

func (r *requests) asked(now time.Time, o *Flow) { r.under = append(r.under, pending{o, now}) }

func (r *requests) answered(took time.Duration) { r.average += (took - r.average) / averageOver }

// began notes how long after its acceptance a flow's first request came.
func (r *requests) began(lag time.Duration) {
	if r.lag == 0 {
		r.lag = lag
		return
	}
	r.lag += (lag - r.lag) / averageOver
}

// awaited says whether the first request on a flow is still awaited.
func (r *requests) awaited(now time.Time, p pending) bool {
	if p.own.Requested {
		return false
	}
	if p.own.accepted.IsZero() || r.off.Lag {
		return now.Sub(p.since) < openWithin
	}
	lag := r.lag
	if lag == 0 {
		lag = lagFirst
	}
	return now.Sub(p.own.accepted) < max(lagLeast, lagTimes*lag)
}

// overdue is the age from which a request is overdue.
func (r *requests) overdue() time.Duration { return max(overdueLeast, overdueTimes*r.average) }

// count returns how many flows are young, and how many requests are under way and overdue.
func (r *requests) count(now time.Time) (young, under, overdue int) {
	r.young = keep(r.young, func(p pending) bool { return r.awaited(now, p) })
	r.under = keep(r.under, func(p pending) bool {
		return p.own.PendingSince.Equal(p.since) && now.Sub(p.since) < rememberOverdue
	})
	limit := r.overdue()
	for _, p := range r.under {
		if now.Sub(p.since) > limit {
			overdue++
		}
	}
	return len(r.young), len(r.under) - overdue, overdue
}

// keep is slices.DeleteFunc turned round; it clears what it leaves so that flows can be freed.
func keep(list []pending, want func(pending) bool) []pending {
	kept := list[:0]
	for _, p := range list {
		if want(p) {
			kept = append(kept, p)
		}
	}
	clear(list[len(kept):])
	return kept
}

// Expected is how many requests are under way or about to come: a flow is opened for a request.
func (t *Agent) Expected(now time.Time) int {
	young, under, _ := t.work.count(now)
	return young + under
}

// Overdue is how many requests of the last seconds have no answer although they should. It shows a
// server that hangs, or fails a part of its requests.
func (t *Agent) Overdue(now time.Time) int {
	_, _, overdue := t.work.count(now)
	return overdue
}

// Load is how busy the server is.
func (t *Agent) Load(now time.Time) msgs.Load {
	young, under, overdue := t.work.count(now)
	busy := young + under + overdue
	return msgs.Load{Busy: uint16(min(busy, 0xffff)), Flows: uint16(min(len(t.flows), 0xffff))}
}
