// Package hold queues opening packets at an agent and selects the one that the agent's server receives next.
//
// After a power loss, or in a burst, more flows arrive within a second than the servers can serve in that
// time. A server that receives all of them queues and sheds requests. Callers of shed requests retry at
// once, and by the time the server reaches the queued requests all of them are late, including new ones.
// Requests inside the server cannot be reordered, but opening packets that the server has not seen can
// wait at the agent.
//
// The server receives a flow when a slot is free or about to be free. Waiting flows that can still be
// answered in time come first, by priority and, within a priority, newest first: under overload this
// order meets the most deadlines, and callers whose answers are late in any case lose nothing more. Late
// flows follow, by priority and then oldest first, because the oldest caller is the next to give up. Within
// a priority, flows of callers that use less come before those of callers that use more (QueuedFlow.Usage). A
// flow waits no longer than its caller does. If more flows wait than can be served in that time, the last
// in order is refused at once.
//
// Package hold performs no I/O: the caller passes in the time. A Queue is not safe for concurrent use.
//
// # Usage
//
//	q := hold.New(maxWait)
//	if last := q.Add(now, &hold.QueuedFlow{Flow: f, FirstSent: now}, limit); last != nil { refuse(last) }
//	if w := q.Next(now, expected, slots, lowest); w != nil { open(w) }
package hold

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/segs"
)

// onTimePercent is the percentage of the target within which a flow has to be opened to be answered in
// time. Service takes a fifth of the target on average and occasionally twice that.
const onTimePercent = 60

// QueuedFlow is a flow whose opening packet waits for the server.
type QueuedFlow struct {
	Flow      segs.Flow
	Origin    netip.Addr    // entry that placed the flow
	Priority  int           // 0 is the highest
	FirstSent time.Time     // when the caller sent the first opening packet
	Target    time.Duration // target latency of the request; 0 if there is none
	Usage     uint8         // level of what its caller uses already (package usage)
	Packet    []byte
}

// onTime reports whether the request can still be answered within its target.
func (w *QueuedFlow) onTime(now time.Time) bool {
	return w.Target > 0 && now.Sub(w.FirstSent) < w.Target*onTimePercent/100
}

// before reports whether w is served before v.
func (w *QueuedFlow) before(v *QueuedFlow, now time.Time) bool {
	wOnTime, vOnTime := w.onTime(now), v.onTime(now)
	switch {
	case wOnTime != vOnTime:
		return wOnTime
	case w.Priority != v.Priority:
		return w.Priority < v.Priority
	case w.Usage != v.Usage:
		return w.Usage < v.Usage
	case wOnTime:
		return w.FirstSent.After(v.FirstSent)
	default:
		return w.FirstSent.Before(v.FirstSent)
	}
}

// Queue holds the flows that wait at one agent.
type Queue struct {
	maxWait time.Duration // how long a caller waits for its flow to open
	waiting []*QueuedFlow
}

// New returns an empty queue for flows whose callers wait at most maxWait for the flow to open.
func New(maxWait time.Duration) *Queue { return &Queue{maxWait: maxWait} }

// Len returns the number of waiting flows.
func (q *Queue) Len() int { return len(q.waiting) }

// Contains reports whether a flow is in the queue.
func (q *Queue) Contains(f segs.Flow) bool {
	return slices.ContainsFunc(q.waiting, func(w *QueuedFlow) bool { return w.Flow == f })
}

// Add adds a flow to the queue. If the queue then holds more than limit flows, Add removes and returns
// the last in order, which may be w itself.
func (q *Queue) Add(now time.Time, w *QueuedFlow, limit int) (last *QueuedFlow) {
	q.waiting = append(q.waiting, w)
	if len(q.waiting) <= limit {
		return nil
	}
	for _, v := range q.waiting {
		if last == nil || last.before(v, now) {
			last = v
		}
	}
	q.remove(last)
	return last
}

func (q *Queue) remove(w *QueuedFlow) {
	q.waiting = slices.DeleteFunc(q.waiting, func(v *QueuedFlow) bool { return v == w })
}

// Peek returns the flow that is served next without removing it, or nil. It drops flows whose callers
// have given up.
func (q *Queue) Peek(now time.Time) (first *QueuedFlow) {
	q.Expire(now)
	for _, w := range q.waiting {
		if first == nil || w.before(first, now) {
			first = w
		}
	}
	return first
}

// Next removes and returns the flow that is served next, or nil if the server has no room for it. The
// server has the given number of slots, and expected is the number of its requests that are in progress or
// about to arrive. lowest is the lowest priority; flows of a higher one are admitted to a busier server (see
// admissionLimit).
func (q *Queue) Next(now time.Time, expected, slots, lowest int) (next *QueuedFlow) {
	next = q.Peek(now)
	if next == nil || expected >= admissionLimit(next, slots, lowest) {
		return nil
	}
	q.remove(next)
	return next
}

// extraFlows is the number of flows the server may receive beyond its slots, so that no slot is idle
// while the next caller learns that its flow is open. That takes a tenth of a request's service time.
const extraFlows = 1

// admissionLimit returns the number of requests at which the server receives no further flow. Requests on
// open flows are not queued here, so under sustained overload they would keep out every new flow. A flow
// with a priority above the lowest is therefore admitted to the server's own queue, which holds four
// requests per slot.
func admissionLimit(w *QueuedFlow, slots, lowest int) int {
	if w.Priority < lowest {
		return urgentPerSlot * slots
	}
	return slots + extraFlows
}

// urgentPerSlot is the number of requests per slot up to which a server receives flows with a priority
// above the lowest. With 3, such a flow is served after two other requests, within half of its target.
const urgentPerSlot = 3

// Expire drops flows whose callers have given up and returns their number.
func (q *Queue) Expire(now time.Time) int {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *QueuedFlow) bool { return now.Sub(w.FirstSent) > q.maxWait })
	return before - len(q.waiting)
}

// Clear removes and returns all flows.
func (q *Queue) Clear() (all []*QueuedFlow) {
	all = q.waiting
	q.waiting = nil
	return all
}
