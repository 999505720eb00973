// Package queue holds waiting requests and lets them go fairly between callers.
//
// The load pattern: one caller, or a few, send most of the requests of a service
// that several parties share. In a common first-come queue everybody then waits
// behind the heavy caller's backlog, although the modest one asked for less
// than its share; and once the queue is full, the modest caller is refused for
// the heavy one's sake.
//
// The rule is start-time fair queueing, by caller, weighted by the document, in
// seconds of a backend server's slot and not in requests: a caller whose requests
// are long pays for their length. No caller may fill the queue (see [Fair.Room]).
//
// Callers that the document does not name share one weight, and are fair among
// each other by the network of their site (see [Identify]). Who takes more
// networks takes share from other unnamed callers only, never from named ones.
// Memory is bounded by the requests that wait: a caller is forgotten with its last
// waiting request, which gains it at most the cost of one request (see [Clock]).
//
// The package does not decide who may wait or for how long (package admit), and
// it does not know the time.
//
// # Usage
//
//	q := queue.New(service.Callers)
//	q.Push(queue.Item{ID: 7, Caller: queue.Identify(service.Callers, source), Cost: 0.02})
//	item, ok := q.Pop()
package queue

import (
	"slices"
	"time"

	"mangowinch/internal/conf/docs"
)

// Item is one request that waits.
type Item struct {
	ID       uint64
	Caller   Caller
	Class    string
	Cost     float64 // expected seconds of a slot
	Arrived  time.Time
	Deadline time.Time
}

// Fair is a set of waiting requests. It is not safe for concurrent use.
type Fair struct {
	clock      Clock
	weights    map[string]float64
	meanWeight float64        // weight of a caller
	queues     []*callerQueue // named callers that wait or owe, and the group of unnamed ones
	size       int
}

// callerQueue is the backlog of one caller. The group of unnamed callers is a flow
// whose requests wait in flows of its own.
type callerQueue struct {
	share   Share
	caller  Caller
	items   []Item
	clock   Clock
	members []*callerQueue
}

// maxIdleMembers bounds the unnamed callers that are remembered only for what they owe:
// some 30 KB, and more sites than have requests within one service time.
const maxIdleMembers = 256

// unnamed is the caller whose flow groups all callers without a name.
var unnamed Caller

// New returns an empty queue with the callers' weights of a document.
func New(callers []docs.Caller) *Fair {
	f := &Fair{}
	f.SetWeights(callers)
	return f
}

// SetWeights puts the weights of a new document in force; what waits stays.
func (f *Fair) SetWeights(callers []docs.Caller) {
	f.weights = make(map[string]float64, len(callers))
	sum := 1.0 // of the unnamed
	for _, c := range callers {
		f.weights[c.Name] = float64(max(c.Weight, 1))
		sum += f.weights[c.Name]
	}
	f.meanWeight = sum / float64(len(callers)+1)
	for _, w := range f.queues {
		w.share.Weight = f.Weight(w.caller)
	}
}

// Weight returns the weight of a caller; all unnamed callers share a weight of 1.
func (f *Fair) Weight(c Caller) float64 {
	if w, ok := f.weights[c.Name]; ok && c.Name != "" {
		return w
	}
	return 1
}

// Len returns how many requests wait.
func (f *Fair) Len() int { return f.size }

// Push adds a request behind those of its caller.
func (f *Fair) Push(i Item) {
	w := f.queue(i.Caller)
	w.items = append(w.items, i)
	f.size++
}

// Charge accounts for a request that starts without waiting.
func (f *Fair) Charge(c Caller, cost float64) {
	top := f.topLevel(c)
	f.clock.Charge(&top.share, cost)
	if c.Name == "" {
		top.clock.Charge(&top.member(c).share, cost)
	}
	f.prune()
}

// Pop takes out the next request and accounts for it.
func (f *Fair) Pop() (next Item, ok bool) {
	top := first(&f.clock, f.queues)
	if top == nil {
		return Item{}, false
	}
	w := top
	if len(top.members) > 0 {
		w = first(&top.clock, top.members)
	}
	next = w.items[0]
	w.items = w.items[1:]
	f.size--
	f.Charge(next.Caller, next.Cost)
	return next, true
}

// Remove takes out a request that no longer waits, without accounting for it.
func (f *Fair) Remove(id uint64) (removed Item, ok bool) {
	for w := range f.all {
		n := slices.IndexFunc(w.items, func(i Item) bool { return i.ID == id })
		if n < 0 {
			continue
		}
		removed = w.items[n]
		w.items = slices.Delete(w.items, n, n+1)
		f.size--
		f.prune()
		return removed, true
	}
	return Item{}, false
}

// All yields what waits, in no promised order but the same for the same events.
// Nothing may be added or taken out meanwhile.
func (f *Fair) All(yield func(Item) bool) {
	for w := range f.all {
		for _, i := range w.items {
			if !yield(i) {
				return
			}
		}
	}
}

// queue returns the backlog of a caller, created if need be.
func (f *Fair) queue(c Caller) *callerQueue {
	top := f.topLevel(c)
	if c.Name != "" {
		return top
	}
	return top.member(c)
}

// topLevel returns the flow that competes for a caller at the upper level. A name
// that the document does not have any more counts with the unnamed callers' weight.
func (f *Fair) topLevel(c Caller) *callerQueue {
	key := unnamed
	if c.Name != "" {
		key = c
	}
	return findOrAdd(&f.queues, key, f.Weight(key))
}

func (w *callerQueue) member(c Caller) *callerQueue {
	return findOrAdd(&w.members, c, 1)
}

func findOrAdd(queues *[]*callerQueue, c Caller, weight float64) *callerQueue {
	w := lookup(*queues, c)
	if w != nil {
		return w
	}
	w = &callerQueue{caller: c, share: Share{Weight: weight}}
	*queues = append(*queues, w)
	return w
}

// all yields every flow that may hold requests.
func (f *Fair) all(yield func(*callerQueue) bool) {
	for _, top := range f.queues {
		if !yield(top) {
			return
		}
		for _, m := range top.members {
			if !yield(m) {
				return
			}
		}
	}
}

func (w *callerQueue) waiting() int {
	n := len(w.items)
	for _, m := range w.members {
		n += len(m.items)
	}
	return n
}

// first returns the flow with the smallest start; of equals the one listed first.
func first(c *Clock, queues []*callerQueue) *callerQueue {
	var best *callerQueue
	for _, w := range queues {
		if w.waiting() > 0 && (best == nil || c.Start(&w.share) < c.Start(&best.share)) {
			best = w
		}
	}
	return best
}

// prune drops flows that neither wait nor owe: without it memory would grow
// with every network ever seen. Nothing is lost, since such a flow starts at the
// clock's present anyway. New networks may each owe without the clock moving, so
// the unnamed that owe are bounded too; past the bound they are forgotten.
func (f *Fair) prune() {
	for _, top := range f.queues {
		top.members = slices.DeleteFunc(top.members, func(m *callerQueue) bool { return m.idle(&top.clock) })
		if len(top.members) > maxIdleMembers {
			top.members = slices.DeleteFunc(top.members, func(m *callerQueue) bool { return len(m.items) == 0 })
		}
	}
	f.queues = slices.DeleteFunc(f.queues, func(w *callerQueue) bool { return w.idle(&f.clock) && len(w.members) == 0 })
}

func (w *callerQueue) idle(c *Clock) bool {
	return w.waiting() == 0 && w.share.Finish <= c.now
}
