// Package queue holds waiting requests and releases them fairly between callers.
//
// If one caller, or a few, send most of the requests of a shared service, a common
// first-come-first-served queue makes every caller wait behind the heavy caller's backlog, including
// callers that use less than their share. Once the queue is full, those callers are refused because of
// the heavy one.
//
// The queue applies start-time fair queueing between callers, with the weights of the document. Cost is
// counted in seconds of a backend server's slot rather than in requests, so that a caller with long
// requests is charged for their length. No caller may fill the queue (see [Fair.HasRoom]).
//
// Callers that the document does not name share one weight, and are served fairly among each other by the
// network of their site (see [Identify]). A caller that uses more networks takes share only from other
// unnamed callers, never from named ones. Memory is bounded by the number of waiting requests: a caller is
// removed with its last waiting request, by which it gains at most the cost of one request (see [Clock]).
//
// Package queue does not decide which requests may wait or for how long (see package admit), and it does
// not use the time.
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

// Item is a waiting request.
type Item struct {
	ID       uint64
	Caller   Caller
	Class    string
	Cost     float64 // expected service time in seconds of a slot
	Arrived  time.Time
	Deadline time.Time
}

// Fair is a fair queue of waiting requests. It is not safe for concurrent use.
type Fair struct {
	clock      Clock
	weights    map[string]float64
	meanWeight float64        // mean weight of a caller
	queues     []*callerQueue // callers that wait or were served ahead of the clock; unnamed ones as a group
	size       int
}

// callerQueue holds the waiting requests of one caller. The group of unnamed callers is a callerQueue
// whose requests wait in member queues.
type callerQueue struct {
	share   Share
	caller  Caller
	items   []Item
	clock   Clock
	members []*callerQueue
}

// maxIdleMembers bounds the unnamed callers that are kept only because they have been served ahead of the
// clock. It takes about 30 KB and is more than the number of sites with requests within one service time.
const maxIdleMembers = 256

// unnamed is the key of the group of all callers without a name.
var unnamed Caller

// New returns an empty queue with the callers' weights of a document.
func New(callers []docs.Caller) *Fair {
	f := &Fair{}
	f.SetWeights(callers)
	return f
}

// SetWeights applies the weights of a new document. Waiting requests stay queued.
func (f *Fair) SetWeights(callers []docs.Caller) {
	f.weights = make(map[string]float64, len(callers))
	sum := 1.0 // weight of the unnamed callers
	for _, c := range callers {
		f.weights[c.Name] = float64(max(c.Weight, 1))
		sum += f.weights[c.Name]
	}
	f.meanWeight = sum / float64(len(callers)+1)
	for _, w := range f.queues {
		w.share.Weight = f.Weight(w.caller)
	}
}

// Weight returns the weight of a caller. All unnamed callers share a weight of 1.
func (f *Fair) Weight(c Caller) float64 {
	if w, ok := f.weights[c.Name]; ok && c.Name != "" {
		return w
	}
	return 1
}

// Len returns the number of waiting requests.
func (f *Fair) Len() int { return f.size }

// Push adds a request after the waiting requests of its caller.
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

// Pop removes the next request, accounts for it and returns it.
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

// Remove removes a request that no longer waits, without accounting for it.
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

// All iterates over the waiting requests. The order is unspecified but the same for the same sequence of
// events. The queue must not be modified during the iteration.
func (f *Fair) All(yield func(Item) bool) {
	for w := range f.all {
		for _, i := range w.items {
			if !yield(i) {
				return
			}
		}
	}
}

// queue returns the queue of a caller, creating it if necessary.
func (f *Fair) queue(c Caller) *callerQueue {
	top := f.topLevel(c)
	if c.Name != "" {
		return top
	}
	return top.member(c)
}

// topLevel returns the queue that competes for a caller at the top level. A name that is no longer in the
// document has the weight of the unnamed callers.
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

// all iterates over every queue that may hold requests.
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

// first returns the queue with waiting requests that has the smallest virtual start time, or the first of
// several.
func first(c *Clock, queues []*callerQueue) *callerQueue {
	var best *callerQueue
	for _, w := range queues {
		if w.waiting() > 0 && (best == nil || c.Start(&w.share) < c.Start(&best.share)) {
			best = w
		}
	}
	return best
}

// prune removes queues of callers that neither wait nor have been served ahead of the clock; without it,
// memory would grow with every network ever seen. Nothing is lost, since such a caller starts at the
// present virtual time anyway. New networks can each be served ahead without the clock advancing, so
// beyond maxIdleMembers unnamed callers without waiting requests are removed too.
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
