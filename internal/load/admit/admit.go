// Package admit decides at one backend server which requests start, which wait
// and which are refused at once.
//
// The load patterns, and what goes wrong without it:
//
//   - Saturation. Without a bound on waiting, every request waits longer than its
//     deadline, the server works only on answers nobody waits for any more, and
//     goodput falls to nothing. Here a request that cannot make its deadline by a
//     pessimistic estimate is refused when it comes, as not run, so that what is let
//     in is answered in time.
//   - Long work among short. A server has 4 or 5 slots but holds 2,000 connections.
//     Four uploads of some seconds would hold every slot, and lookups of some
//     milliseconds would wait for seconds. Here long work has a bounded share of the slots.
//   - A heavy caller. See package queue, which orders what waits and lets no caller
//     fill the queue.
//
// A feed holds a slot only until the first byte of its answer: it is open for
// hours, so with 4 slots the fifth caseworker would wait until the evening. After
// the first byte it is a connection and no longer work; the document's bound on
// connections holds for it. The process reports the first byte as [Gate.Done].
//
// The thresholds, which docs/design/tuning.md compares with others:
//
//   - A part of the time left may be spent waiting. With more, what was let in expires in the queue.
//   - Feeds and uploads may hold half of the slots each, so that lookups are answered beside any number of them.
//   - Retry-After is spread over a multiple of the expected shortage. Unspread, all callers come back at one moment.
//
// It is not a network server: it takes events and returns decisions. It starts no
// goroutine, and time and randomness are handed in; one process drives it under
// one lock. It is not safe for concurrent use.
//
// # Usage
//
//	gate := admit.New(admit.LimitsOf(service, self), random)
//	switch d := gate.Arrive(now, request); d.Verdict {
//	case admit.Run: // start it; call gate.Done when it ended
//	case admit.Wait: // a later Change starts or refuses it
//	case admit.Refuse: // answer not-run with d.Reason and Retry-After d.After
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

// Request is one request that wants to run at this server.
type Request struct {
	ID       uint64 // unique among the requests that wait or run here
	Class    string // one of the document's
	Caller   queue.Caller
	Deadline time.Time
}

// Verdict is what becomes of a request when it arrives.
type Verdict uint8

// The verdicts. The zero value refuses, so that a forgotten one starts nothing.
const (
	Refuse Verdict = iota
	Run
	Wait
)

// Decision answers an arrival.
type Decision struct {
	Verdict    Verdict
	Reason     result.Reason // of a refusal
	RetryAfter time.Duration // of a refusal: when to come back
}

// Refusal is a request that waited and is given up on. It did not run.
type Refusal struct {
	ID         uint64
	Reason     result.Reason
	RetryAfter time.Duration // when to come back
}

// Change is what an event leads to: the process starts the ones and answers the others.
type Change struct {
	Started []uint64
	Refused []Refusal
}

// Gate holds the slots and the queue of one backend server.
type Gate struct {
	rules    Rules
	limits   Limits
	random   *rand.Rand
	lanes    map[docs.Kind]*lane
	clock    queue.Clock
	running  map[uint64]run
	measured map[string]*estimate // by class
	shortage shortage
}

// lane is one kind of work: its queue, and its place among the kinds.
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

// kinds is the order in which lanes are considered when their claims are equal.
var kinds = []docs.Kind{docs.Lookup, docs.Feed, docs.Upload}

// New returns a gate with nothing running.
func New(l Limits, random *rand.Rand) *Gate {
	g := &Gate{
		rules:    Default,
		limits:   l,
		random:   random,
		lanes:    make(map[docs.Kind]*lane, len(kinds)),
		running:  make(map[uint64]run),
		measured: make(map[string]*estimate),
	}
	for _, k := range kinds {
		g.lanes[k] = &lane{kind: k, share: queue.Share{Weight: laneWeight(k)}, waiting: queue.New(l.Callers)}
	}
	return g
}

// SetRules replaces the default thresholds.
func (g *Gate) SetRules(r Rules) { g.rules = r }

// Arrive decides on a new request.
func (g *Gate) Arrive(now time.Time, r Request) Decision {
	g.shortage.arrive(now)
	class, ok := g.limits.class(r.Class)
	if !ok {
		return Decision{Reason: result.NoClass}
	}
	if !now.Before(r.Deadline) {
		return g.refusal(now, result.Expired)
	}
	l := g.lanes[class.Kind]
	if l.waiting.Len() == 0 && g.free(l) {
		// Even a request that seems to be late starts in a free slot: the slot would
		// stay idle otherwise, and an estimate from a slow spell would never be
		// corrected, since only runs correct it.
		l.waiting.Charge(r.Caller, g.cost(r.Class))
		g.start(now, l, r.ID, r.Class)
		return Decision{Verdict: Run}
	}
	if g.late(now, l, r) {
		return g.refusal(now, result.TooLate)
	}
	if !l.waiting.HasRoom(class.Name, r.Caller, class.Queue) {
		reason := result.ShedCaller
		if l.waiting.Waiting(class.Name) >= class.Queue {
			reason = result.QueueFull
		}
		return g.refusal(now, reason)
	}
	l.waiting.Push(queue.Item{ID: r.ID, Caller: r.Caller, Class: r.Class, Cost: g.cost(r.Class), Arrived: now, Deadline: r.Deadline})
	return Decision{Verdict: Wait}
}

// Done says that a request has given its slot back: a lookup or upload that is
// answered, a feed whose first byte came. took is its service time; 0 if it failed
// or was cancelled, which says nothing of how long service takes (a server that
// fails fast would look quick otherwise).
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

// Cancel says that a caller went away; its request waits or runs no longer.
func (g *Gate) Cancel(now time.Time, id uint64) Change {
	for _, k := range kinds {
		g.lanes[k].waiting.Remove(id)
	}
	return g.Done(now, id, 0)
}

// Expire gives up on waiting requests that could not be answered in time even
// if they started now.
func (g *Gate) Expire(now time.Time) (c Change) {
	for _, k := range kinds {
		l := g.lanes[k]
		for _, i := range slices.Collect(l.waiting.All) {
			if !now.Before(g.latest(i)) {
				l.waiting.Remove(i.ID)
				c.Refused = append(c.Refused, g.refused(now, i.ID, result.Expired))
			}
		}
	}
	return c
}

// NextExpiry returns when Expire is next due; the zero time if nothing waits.
func (g *Gate) NextExpiry() (next time.Time) {
	for _, k := range kinds {
		for i := range g.lanes[k].waiting.All {
			if t := g.latest(i); next.IsZero() || t.Before(next) {
				next = t
			}
		}
	}
	return next
}

// Drain takes out all that waits, oldest first within its kind, to be placed
// elsewhere or refused. What runs goes on.
func (g *Gate) Drain() (ids []uint64) {
	for _, k := range kinds {
		for _, i := range g.lanes[k].waiting.Clear() {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// SetLimits puts a new document in force. What waits stays, whether or not its
// class still has room; what runs goes on, also over a smaller number of slots.
func (g *Gate) SetLimits(now time.Time, l Limits) Change {
	g.limits = l
	for _, k := range kinds {
		g.lanes[k].waiting.SetWeights(l.Callers)
	}
	for name := range g.measured {
		if _, ok := l.class(name); !ok {
			delete(g.measured, name)
		}
	}
	return g.fill(now)
}

// fill starts what may start, and gives up on what would start too late.
func (g *Gate) fill(now time.Time) (c Change) {
	for {
		l := g.next()
		if l == nil {
			return c
		}
		i, _ := l.waiting.Pop()
		if !now.Before(g.latest(i)) {
			c.Refused = append(c.Refused, g.refused(now, i.ID, result.Expired))
			continue
		}
		g.start(now, l, i.ID, i.Class)
		c.Started = append(c.Started, i.ID)
	}
}

// next returns the lane that has the strongest claim to a slot, nil if none can use one.
func (g *Gate) next() (best *lane) {
	for _, k := range kinds {
		l := g.lanes[k]
		if l.waiting.Len() == 0 || !g.free(l) {
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

// free reports whether a lane may take one more slot.
func (g *Gate) free(l *lane) bool {
	if len(g.running) >= g.limits.Slots {
		return false
	}
	return l.kind == docs.Lookup || l.inflight < g.most(l) && g.long() < max(1, g.limits.Slots-1)
}

// long returns how many slots feeds and uploads hold.
func (g *Gate) long() int {
	return g.lanes[docs.Feed].inflight + g.lanes[docs.Upload].inflight
}

// Running returns the IDs that hold slots, sorted.
func (g *Gate) Running() []uint64 {
	ids := make([]uint64, 0, len(g.running))
	for id := range g.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
