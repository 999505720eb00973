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
// a priority, flows of callers that use less come before those of callers that use more (QueuedFlow.Usage).
// Flows whose callers seem to have left come last (sign.go). A flow waits no longer than its caller does:
// until the caller gives up the opening, or the route's timeout is over. If not even the service fits before
// the timeout, the flow is returned while its caller still waits. If more flows wait than can be served, the
// last in order is refused at once.
//
// The queue estimates how long a new flow of each priority would wait (pace.go), but refuses none for it: a
// refused caller comes back at once, looks like a new one and uses up its tries against the same load.
//
// Each priority whose flows wait gets a part of the server's capacity, so that none is kept out for ever. These
// openings go to a server whose slots are all in use, but not to one that is full (urgentPerSlot).
//
// The queue doesn't order requests on open flows, and doesn't know how long other agents' queues are.
//
// Package hold performs no I/O: the caller passes in the time. A Queue is not safe for concurrent use.
//
// # Usage
//
//	q := hold.New(callers, off)
//	if last := q.Add(now, &hold.QueuedFlow{Flow: f, FirstSent: now}, limit); last != nil { refuse(last) }
//	if w := q.Next(now, server); w != nil { open(w) }
//	for _, w := range q.Expire(now) { count(w) }
//	for _, w := range q.TooLate(now, service) { refuse(w) }
package hold

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/parts"
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
	Copies    int           // copies of the opening packet that were sent before the last one that arrived
	Target    time.Duration // target latency of the request; 0 if there is none
	Timeout   time.Duration // after which the caller gives up the request; 0 if it is unknown
	Usage     uint8         // level of what its caller uses already (package usage)
	Packet    []byte
}

// openBy returns the age at which a flow must have been opened for the request to be answered in time.
func (w *QueuedFlow) openBy() time.Duration { return w.Target * onTimePercent / 100 }

// rank is how much a flow's caller still gets from an answer.
type rank uint8

const (
	inTime    rank = iota // an answer within the target
	late                  // an answer after it
	abandoned             // nothing: by all signs the caller has left
)

// rank returns the rank of a waiting flow.
func (q *Queue) rank(w *QueuedFlow, now time.Time) rank {
	switch {
	case q.signs.overdue(w, now):
		return abandoned
	case now.Sub(w.FirstSent) < w.openBy():
		return inTime
	default:
		return late
	}
}

// before reports whether w is served before v.
func (q *Queue) before(w, v *QueuedFlow, now time.Time) bool {
	wRank, vRank := q.rank(w, now), q.rank(v, now)
	switch {
	case wRank != vRank:
		return wRank < vRank
	case w.Priority != v.Priority:
		return w.Priority < v.Priority
	case w.Usage != v.Usage:
		return w.Usage < v.Usage
	case wRank == inTime:
		return w.FirstSent.After(v.FirstSent)
	default:
		return w.FirstSent.Before(v.FirstSent)
	}
}

// Queue holds the flows that wait at one agent.
type Queue struct {
	maxWait time.Duration // how long a caller waits for its flow to open
	off     parts.Off
	waiting []*QueuedFlow
	signs   signs
	paces   [msgs.NumWaits]pace
	lastDue [msgs.NumWaits]time.Time // when flows of a priority began to wait, or when the last one was due to be opened
}

// New returns an empty queue for flows of callers with the given timing.
func New(callers segs.CallerTiming, off parts.Off) *Queue {
	q := &Queue{maxWait: callers.OpenWindow(), off: off}
	if !off.Signs {
		q.signs.sendTimes = callers.SendTimes
	}
	return q
}

// Len returns the number of waiting flows.
func (q *Queue) Len() int { return len(q.waiting) }

// Contains reports whether a flow is in the queue.
func (q *Queue) Contains(f segs.Flow) bool {
	return slices.ContainsFunc(q.waiting, func(w *QueuedFlow) bool { return w.Flow == f })
}

// Add adds a flow to the queue. If the queue then holds more than limit flows, Add removes and returns
// the last in order, which may be w itself, but keeps one flow of each priority.
func (q *Queue) Add(now time.Time, w *QueuedFlow, limit int) (last *QueuedFlow) {
	q.advance(now)
	i := paceIndex(w.Priority)
	if !slices.ContainsFunc(q.waiting, func(v *QueuedFlow) bool { return paceIndex(v.Priority) == i }) {
		q.lastDue[i] = now
	}
	q.waiting = append(q.waiting, w)
	if len(q.waiting) <= limit {
		return nil
	}
	last = q.last(now, limit)
	q.remove(last)
	return last
}

// last returns the last flow in order. The first flow of each priority is kept for the priority's floor, as long as
// the limit has room for one of each.
func (q *Queue) last(now time.Time, limit int) (last *QueuedFlow) {
	var kept [msgs.NumWaits]*QueuedFlow
	if !q.off.Floor && limit >= len(kept) {
		for i := range kept {
			kept[i] = q.first(now, func(w *QueuedFlow) bool { return paceIndex(w.Priority) == i })
		}
	}
	for _, w := range q.waiting {
		if w != kept[paceIndex(w.Priority)] && (last == nil || q.before(last, w, now)) {
			last = w
		}
	}
	return last
}

func (q *Queue) remove(w *QueuedFlow) {
	q.waiting = slices.DeleteFunc(q.waiting, func(v *QueuedFlow) bool { return v == w })
}

// Server is the state of the server that the queue is for.
type Server struct {
	Expected int           // requests that are in progress or about to arrive
	Slots    int           // requests it serves at the same time
	Lowest   int           // lowest priority of the routes
	Service  time.Duration // time it takes for a request; 0 if it is unknown
}

// Next removes and returns the flow that is served next, or nil if the server has no room for it. Flows above
// the lowest priority are admitted to a busier server (see limit), and so is the first flow of a priority that
// has had less than its floor. Next drops flows whose callers have given up; Expire, called before, returns them.
func (q *Queue) Next(now time.Time, s Server) (next *QueuedFlow) {
	q.Expire(now)
	q.advance(now)
	opened := now
	if s.Expected < urgentPerSlot*s.Slots {
		next = q.belowFloor(now, s)
	}
	if next != nil {
		opened = q.floorDue(now, s, next.Priority)
	} else {
		next = q.first(now, func(*QueuedFlow) bool { return true })
		if next == nil || s.Expected >= s.limit(next.Priority) {
			return nil
		}
	}
	q.remove(next)
	i := paceIndex(next.Priority)
	q.paces[i].opened++
	q.lastDue[i] = opened
	return next
}

// first returns the first flow in order that match selects, or nil.
func (q *Queue) first(now time.Time, match func(*QueuedFlow) bool) (first *QueuedFlow) {
	for _, w := range q.waiting {
		if match(w) && (first == nil || q.before(w, first, now)) {
			first = w
		}
	}
	return first
}

// floorDivisor is the divisor of the server's capacity whose quotient each priority gets while its flows wait: one
// request in eight. Without it, higher priorities and requests on open flows could keep out the lowest for ever.
const floorDivisor = 8

// floorInterval returns the mean time between two openings of a priority at its floor.
func (s Server) floorInterval() time.Duration {
	return floorDivisor * s.Service / time.Duration(s.Slots)
}

// floorDue returns when the opening that a priority's floor allows now was due. The next one is due an interval
// after that time, so a late opening delays no other, but at most one interval is made up for.
func (q *Queue) floorDue(now time.Time, s Server, priority int) time.Time {
	due := q.lastDue[paceIndex(priority)].Add(s.floorInterval())
	if earliest := now.Add(-s.floorInterval()); due.Before(earliest) {
		return earliest
	}
	return due
}

// belowFloor returns the first flow of a priority that has been without an opening for longer than its floor
// allows, or nil.
func (q *Queue) belowFloor(now time.Time, s Server) *QueuedFlow {
	if s.Service <= 0 || q.off.Floor {
		return nil
	}
	return q.first(now, func(w *QueuedFlow) bool {
		return now.Sub(q.lastDue[paceIndex(w.Priority)]) > s.floorInterval() && !q.signs.overdue(w, now)
	})
}

// extraFlows is the number of flows the server may receive beyond its slots, so that no slot is idle
// while the next caller learns that its flow is open. That takes a tenth of a request's service time.
const extraFlows = 1

// limit returns the number of requests at which the server receives no further flow of a priority. Requests on
// open flows are not queued here, so under sustained overload they would keep out every new flow. A flow
// with a priority above the lowest is therefore admitted to the server's own queue, which holds four
// requests per slot.
func (s Server) limit(priority int) int {
	if priority < s.Lowest {
		return urgentPerSlot * s.Slots
	}
	return s.Slots + extraFlows
}

// urgentPerSlot is the number of requests per slot up to which a server receives flows with a priority
// above the lowest. With 3, such a flow is served after two other requests, within half of its target.
const urgentPerSlot = 3

// patience returns how long a flow's caller waits for the flow to open.
func (q *Queue) patience(w *QueuedFlow) time.Duration {
	if w.Timeout > 0 {
		return min(w.Timeout, q.maxWait)
	}
	return q.maxWait
}

// Expire removes and returns the flows whose callers have given up.
func (q *Queue) Expire(now time.Time) []*QueuedFlow {
	return q.take(func(w *QueuedFlow) bool { return now.Sub(w.FirstSent) > q.patience(w) })
}

// TooLate removes and returns the flows whose requests would not be answered before their timeout if they were
// opened now. service is the time the server takes for a request, or 0 if it is unknown; then there are none.
func (q *Queue) TooLate(now time.Time, service time.Duration) []*QueuedFlow {
	return q.take(func(w *QueuedFlow) bool {
		needed := w.serviceTime(service)
		return w.Timeout > 0 && needed > 0 && now.Sub(w.FirstSent) > w.Timeout-needed
	})
}

// serviceTime returns the time that a flow's request is expected to take. The average of a server extends over
// all its routes; requests of a route with a short target take no longer than what that target leaves for them.
func (w *QueuedFlow) serviceTime(average time.Duration) time.Duration {
	if w.Target == 0 {
		return average
	}
	return min(average, w.Target-w.openBy())
}

// take removes and returns the flows that match selects.
func (q *Queue) take(match func(*QueuedFlow) bool) (taken []*QueuedFlow) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *QueuedFlow) bool {
		matches := match(w)
		if matches {
			taken = append(taken, w)
		}
		return matches
	})
	return taken
}

// Clear removes and returns all flows.
func (q *Queue) Clear() (all []*QueuedFlow) {
	all = q.waiting
	q.waiting = nil
	return all
}
