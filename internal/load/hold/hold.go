// Package hold decides at an agent which waiting opening packet its server gets next.
//
// The load patterns, and what goes wrong without it. After a power loss, or in a burst, more flows
// come within a second than the servers can serve in it. A server that is given all of them
// queues and sheds: callers of requests that it sheds come again at once, and by the time it gets
// to the ones that it queued they are all late, the new ones included. Nothing can be
// reordered in the server, but an opening packet that it hasn't seen yet can wait here.
//
// The rule: the server is given a flow when a slot is free or about to be. Of those that wait, the ones that
// can still be answered in time go first, by priority, the newest of a priority first: under
// overload that is the order in which most are in time, and callers whose answer is late anyway lose
// nothing more. Then the late ones, by priority, the oldest first, as it is the next to give up.
// A flow waits no longer than its caller does. When more wait than can be served in that
// time, a further one is refused at once.
//
// It is pure: time is handed in. It is not safe for concurrent use.
//
// # Usage
//
//	q := hold.New(patience)
//	if last := q.Add(now, &hold.QueuedFlow{Flow: f, Began: now}, limit); last != nil { refuse(last) }
//	if w := q.Next(now, expected, slots, lowest); w != nil { give(w) }
package hold

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/segs"
)

// onTimePart is the part of the target within which a flow has to begin to be answered in time,
// in percent: work takes a fifth of the target on average and twice that at times.
const onTimePart = 60

// QueuedFlow is a flow that waits to be opened.
type QueuedFlow struct {
	Flow      segs.Flow
	Origin    netip.Addr    // the entry that placed it
	Priority  int           // 0 is the highest
	FirstSent time.Time     // when the caller sent the first opening packet
	Target    time.Duration // in which its request is to be answered; 0: none
	Packet    []byte
}

// onTime says whether the request can still be answered in time.
func (w *QueuedFlow) onTime(now time.Time) bool {
	return w.Target > 0 && now.Sub(w.FirstSent) < w.Target*onTimePart/100
}

// before says whether w goes before v.
func (w *QueuedFlow) before(v *QueuedFlow, now time.Time) bool {
	mine, other := w.onTime(now), v.onTime(now)
	switch {
	case mine != other:
		return mine
	case w.Priority != v.Priority:
		return w.Priority < v.Priority
	case mine:
		return w.FirstSent.After(v.FirstSent)
	default:
		return w.FirstSent.Before(v.FirstSent)
	}
}

// Queue is the flows that wait at one agent.
type Queue struct {
	patience time.Duration // how long a caller waits for its flow to open
	waiting  []*QueuedFlow
}

// New returns an empty queue of flows whose callers wait so long for their flows to open.
func New(patience time.Duration) *Queue { return &Queue{patience: patience} }

// Len is the number of flows that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Contains says whether a flow waits.
func (q *Queue) Contains(f segs.Flow) bool {
	return slices.ContainsFunc(q.waiting, func(w *QueuedFlow) bool { return w.Flow == f })
}

// Add lets a flow wait. If more than limit then do, the last in order is removed and returned,
// which may be w.
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

// Peek returns the flow that goes next, or nil, without removing it. Flows whose
// callers have given up are dropped.
func (q *Queue) Peek(now time.Time) (first *QueuedFlow) {
	q.Expire(now)
	for _, w := range q.waiting {
		if first == nil || w.before(first, now) {
			first = w
		}
	}
	return first
}

// Next removes and returns the flow that goes next if the server has room for it: it has
// expected requests under way or about to come in so many slots.
func (q *Queue) Next(now time.Time, expected, slots, lowest int) (next *QueuedFlow) {
	next = q.Peek(now)
	if next == nil || expected >= room(next, slots, lowest) {
		return nil
	}
	q.remove(next)
	return next
}

// spareSlots is how many flows the server is given over its slots, so that none is idle while
// the next caller learns that its flow is open, which takes a tenth of a request's time.
const spareSlots = 1

// room is how many requests the server may have for a flow to be let in. Requests on flows that are
// open already never wait here, so in a long overload they would keep every new flow out; a flow of a
// higher priority than the lowest is let in to the server's own queue, which holds four
// requests for each slot.
func room(w *QueuedFlow, slots, lowest int) int {
	if w.Priority < lowest {
		return urgentRoom * slots
	}
	return slots + spareSlots
}

// urgentRoom is how many requests for each slot a server may have when a flow of higher priority is
// let in. With 3, it is served after two others, within half of its target.
const urgentRoom = 3

// Expire drops the flows whose callers have given up and returns their number.
func (q *Queue) Expire(now time.Time) int {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *QueuedFlow) bool { return now.Sub(w.FirstSent) > q.patience })
	return before - len(q.waiting)
}

// Clear removes and returns all flows.
func (q *Queue) Clear() (all []*QueuedFlow) {
	all = q.waiting
	q.waiting = nil
	return all
}
