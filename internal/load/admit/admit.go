// Package admit decides, for one backend server, which requests start, which wait and which are refused
// at once.
//
// It guards against three load patterns:
//
//   - Saturation. If waiting is unbounded, every request waits longer than its deadline, the server works
//     only on answers that nobody waits for, and goodput drops to zero. The gate refuses a request on
//     arrival, as not run, if a pessimistic estimate says that it will miss its deadline, so that
//     admitted requests are answered in time.
//   - Long requests among short ones. A server has 4 or 5 slots but 2,000 connections. Four uploads of
//     several seconds would occupy every slot, and lookups of a few milliseconds would wait for seconds.
//     Long requests are therefore limited to a share of the slots.
//   - A heavy caller. Package queue orders the waiting requests and lets no caller fill the queue.
//
// A feed holds a slot only until the first byte of its answer. Feeds are open for hours, so with 4 slots
// the fifth caller would otherwise wait until the others close theirs. After the first byte a feed counts
// only as a connection, for which the document's limit on connections applies. The process reports the
// first byte with [Gate.Done].
//
// The thresholds, which docs/design/tuning.md compares with alternatives:
//
//   - Only a share of the time left may be spent waiting. With a larger share, admitted requests expire
//     in the queue.
//   - Feeds and uploads may each hold half of the slots, so that lookups are answered regardless of their
//     number.
//   - Retry-After is spread over a multiple of the expected shortage. Otherwise all refused callers
//     return at the same time.
//
// Package admit is not a network server: it maps events to decisions, starts no goroutine, and is passed
// the time and the source of randomness. A Gate is not safe for concurrent use; one process drives it
// under one lock.
//
// # Usage
//
//	gate := admit.New(admit.LimitsOf(service, self), random)
//	switch d := gate.Arrive(now, request); d.Verdict {
//	case admit.Run: // start it; call gate.Done when it has ended
//	case admit.Wait: // a later Change starts or refuses it
//	case admit.Refuse: // answer not-run with d.Reason and Retry-After d.RetryAfter
//	}
//	change := gate.Done(now, request.ID, took)
//	// start change.Started, answer change.Refused; set a timer for gate.NextExpiry()
package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/queue"
	"mangowinch/internal/work/result"
)

// Request is a request that arrives at this server.
type Request struct {
	ID       uint64 // unique among the requests that wait or run here
	Class    string // name of a class of the document
	Caller   queue.Caller
	Deadline time.Time
}

// Verdict is the decision about an arriving request.
type Verdict uint8

// The verdicts. The zero value refuses, so that a verdict that was not set starts nothing.
const (
	Refuse Verdict = iota
	Run
	Wait
)

// Decision is the gate's answer to an arriving request.
type Decision struct {
	Verdict    Verdict
	Reason     result.Reason // reason of a refusal
	RetryAfter time.Duration // when the caller of a refused request should retry
}

// Refusal is a request that waited and is refused without having run.
type Refusal struct {
	ID         uint64
	Reason     result.Reason
	RetryAfter time.Duration // when the caller should retry
}

// Change is the result of an event: the process starts the requests in Started and answers those in Refused.
type Change struct {
	Started []uint64
	Refused []Refusal
}

// Gate holds the slots and the queue of one backend server.
type Gate struct {
	rules     Rules
	limits    Limits
	random    *rand.Rand
	lanes     map[docs.Kind]*lane
	clock     queue.Clock
	running   map[uint64]run
	estimates map[string]*estimate // keyed by class
	shortage  shortage
}

// lane is the queue of one kind of request, with the kind's share of the slots.
type lane struct {
	kind     docs.Kind
	share    queue.Share
	waiting  *queue.Fair
	inflight int
}

// run is a request that holds a slot.
type run struct {
	class string
	kind  docs.Kind
	since time.Time
}

// kinds is the order in which lanes with equal virtual start times are served.
var kinds = []docs.Kind{docs.Lookup, docs.Feed, docs.Upload}

// New returns a gate with no running requests.
func New(l Limits, random *rand.Rand) *Gate {
	g := &Gate{
		rules:     Default,
		limits:    l,
		random:    random,
		lanes:     make(map[docs.Kind]*lane, len(kinds)),
		running:   make(map[uint64]run),
		estimates: make(map[string]*estimate),
	}
	for _, k := range kinds {
		g.lanes[k] = &lane{kind: k, share: queue.Share{Weight: laneWeight(k)}, waiting: queue.New(l.Callers)}
	}
	return g
}

// SetRules replaces the default thresholds.
func (g *Gate) SetRules(r Rules) { g.rules = r }

// Arrive decides about a new request.
func (g *Gate) Arrive(now time.Time, r Request) Decision {
	g.shortage.arrive(now)
	class, ok := g.limits.class(r.Class)
	if !ok {
		return Decision{Reason: result.NoClass}
	}
	if !now.Before(r.Deadline) {
		return g.refuse(now, result.Expired)
	}
	l := g.lanes[class.Kind]
	if l.waiting.Len() == 0 && g.hasSlot(l) {
		// A request starts in a free slot even if it is estimated to be late. The slot would stay idle
		// otherwise, and an estimate from a slow period would never be corrected, since only runs update it.
		l.waiting.Charge(r.Caller, g.cost(r.Class))
		g.start(now, l, r.ID, r.Class)
		return Decision{Verdict: Run}
	}
	if g.tooLate(now, l, r) {
		return g.refuse(now, result.DeadlineUnmeetable)
	}
	if !l.waiting.HasRoom(class.Name, r.Caller, class.Queue) {
		reason := result.OverFairShare
		if l.waiting.Waiting(class.Name) >= class.Queue {
			reason = result.QueueFull
		}
		return g.refuse(now, reason)
	}
	l.waiting.Push(queue.Item{ID: r.ID, Caller: r.Caller, Class: r.Class, Cost: g.cost(r.Class), Arrived: now, Deadline: r.Deadline})
	return Decision{Verdict: Wait}
}

// Done records that a request has released its slot: a lookup or upload has been answered, or a feed has
// sent the first byte of its answer. took is the service time, or 0 if the request failed or was cancelled.
// Such requests do not count as service times, because a server that fails fast would appear to be fast.
func (g *Gate) Done(now time.Time, id uint64, took time.Duration) Change {
	r, ok := g.running[id]
	if !ok {
		return Change{}
	}
	delete(g.running, id)
	g.lanes[r.kind].inflight--
	if took > 0 {
		g.estimate(r.class).add(took)
	}
	return g.fill(now)
}

// Cancel records that the caller of a request has cancelled it, whether the request waits or runs.
func (g *Gate) Cancel(now time.Time, id uint64) Change {
	for _, k := range kinds {
		g.lanes[k].waiting.Remove(id)
	}
	return g.Done(now, id, 0)
}

// Expire refuses the waiting requests that could not be answered in time even if they started now.
func (g *Gate) Expire(now time.Time) (c Change) {
	for _, k := range kinds {
		l := g.lanes[k]
		for _, i := range slices.Collect(l.waiting.All) {
			if !now.Before(g.latestStart(i)) {
				l.waiting.Remove(i.ID)
				c.Refused = append(c.Refused, g.newRefusal(now, i.ID, result.Expired))
			}
		}
	}
	return c
}

// NextExpiry returns when Expire is next due, or the zero time if no request waits.
func (g *Gate) NextExpiry() (next time.Time) {
	for _, k := range kinds {
		for i := range g.lanes[k].waiting.All {
			if t := g.latestStart(i); next.IsZero() || t.Before(next) {
				next = t
			}
		}
	}
	return next
}

// Drain removes all waiting requests, which are to be placed elsewhere or refused, and returns their IDs
// by kind, oldest first. Running requests continue.
func (g *Gate) Drain() (ids []uint64) {
	for _, k := range kinds {
		for _, i := range g.lanes[k].waiting.Clear() {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// SetLimits applies the limits of a new document. Waiting requests stay queued even if their class has no
// more room, and running requests continue even if they exceed a reduced number of slots.
func (g *Gate) SetLimits(now time.Time, l Limits) Change {
	g.limits = l
	for _, k := range kinds {
		g.lanes[k].waiting.SetWeights(l.Callers)
	}
	for name := range g.estimates {
		if _, ok := l.class(name); !ok {
			delete(g.estimates, name)
		}
	}
	return g.fill(now)
}

// fill starts waiting requests in the free slots and refuses those that would start too late.
func (g *Gate) fill(now time.Time) (c Change) {
	for {
		l := g.next()
		if l == nil {
			return c
		}
		i, _ := l.waiting.Pop()
		if !now.Before(g.latestStart(i)) {
			c.Refused = append(c.Refused, g.newRefusal(now, i.ID, result.Expired))
			continue
		}
		g.start(now, l, i.ID, i.Class)
		c.Started = append(c.Started, i.ID)
	}
}

// next returns the lane with a waiting request that may start and has the earliest virtual start time, or
// nil.
func (g *Gate) next() (best *lane) {
	for _, k := range kinds {
		l := g.lanes[k]
		if l.waiting.Len() == 0 || !g.hasSlot(l) {
			continue
		}
		if best == nil || g.clock.Start(&l.share) < g.clock.Start(&best.share) {
			best = l
		}
	}
	return best
}

func (g *Gate) start(now time.Time, l *lane, id uint64, class string) {
	g.clock.Charge(&l.share, g.cost(class))
	l.inflight++
	g.running[id] = run{class: class, kind: l.kind, since: now}
}

// hasSlot reports whether a lane may use one more slot.
func (g *Gate) hasSlot(l *lane) bool {
	if len(g.running) >= g.limits.Slots {
		return false
	}
	return l.kind == docs.Lookup || l.inflight < g.slotLimit(l) && g.longInFlight() < max(1, g.limits.Slots-1)
}

// longInFlight returns the number of slots that feeds and uploads hold.
func (g *Gate) longInFlight() int {
	return g.lanes[docs.Feed].inflight + g.lanes[docs.Upload].inflight
}

// Running returns the sorted IDs of the requests that hold slots.
func (g *Gate) Running() []uint64 {
	ids := make([]uint64, 0, len(g.running))
	for id := range g.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
