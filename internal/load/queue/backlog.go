package queue

import "slices"

// Backlog is the waiting work of one caller.
type Backlog struct {
	Caller  Caller  `json:"caller"`
	Waiting int     `json:"waiting"`
	Cost    float64 `json:"cost"` // in seconds of a slot
}

// Backlogs returns the backlogs of the callers with waiting requests, in the order in which the callers
// arrived.
func (f *Fair) Backlogs() []Backlog {
	var list []Backlog
	for w := range f.all {
		if len(w.items) > 0 {
			list = append(list, Backlog{Caller: w.caller, Waiting: len(w.items), Cost: w.cost()})
		}
	}
	return list
}

func (w *callerQueue) cost() float64 {
	sum := 0.0
	for _, i := range w.items {
		sum += i.Cost
	}
	for _, m := range w.members {
		sum += m.cost()
	}
	return sum
}

// Ahead returns the work, in seconds of a slot, that would start before a new request of the caller:
// everything the caller already has waiting, and of every other caller at most what its weight lets it
// start in the meantime.
func (f *Fair) Ahead(c Caller) float64 {
	key, within := c, 0.0
	if c.Name == "" {
		key = unnamed
		if group := lookup(f.queues, unnamed); group != nil {
			within = workWithinGroup(group.members, c, 1)
		}
	}
	own := lookup(f.queues, key)
	if c.Name != "" && own != nil {
		within = own.cost()
	}
	return within + rivalWork(f.queues, key, f.Weight(key), within)
}

// workWithinGroup returns the caller's own backlog plus the work that its rivals in the group start in
// the meantime.
func workWithinGroup(level []*callerQueue, c Caller, weight float64) float64 {
	cost := 0.0
	if own := lookup(level, c); own != nil {
		cost = own.cost()
	}
	return cost + rivalWork(level, c, weight, cost)
}

// rivalWork returns the work that the rivals of a caller start while the caller is served the given cost.
// Each rival may start one request more than its exact share, since requests are not divisible.
func rivalWork(level []*callerQueue, c Caller, weight, cost float64) float64 {
	sum := 0.0
	for _, w := range level {
		if w.caller == c || w.waiting() == 0 {
			continue
		}
		perRequest := w.cost() / float64(w.waiting())
		sum += min(w.cost(), cost*w.share.Weight/weight+perRequest)
	}
	return sum
}

func lookup(level []*callerQueue, c Caller) *callerQueue {
	for _, w := range level {
		if w.caller == c {
			return w
		}
	}
	return nil
}

// HasRoom reports whether a caller may have one more waiting request of a class, with at most limit
// requests of the class waiting in all. Each caller may have as many waiting requests as there are free
// places, multiplied by the ratio of its weight to the mean weight: one heavy caller fills at most half
// of the queue, two fill a third each. There is therefore always room for a caller without waiting
// requests, no waiting request has to be evicted, and refusals are immediate. Unnamed callers are limited
// as a group, and in the same way within the group.
func (f *Fair) HasRoom(class string, c Caller, limit int) bool {
	key := c
	if c.Name == "" {
		key = unnamed
	}
	free := float64(limit - f.Waiting(class))
	top, n := lookup(f.queues, key), 0
	if top != nil {
		n = top.count(class)
	}
	bound := free * f.Weight(key) / f.meanWeight
	if free < 1 || float64(n) >= bound {
		return false
	}
	if c.Name != "" || top == nil {
		return true
	}
	member := lookup(top.members, c)
	return member == nil || float64(member.count(class)) < bound-float64(n)
}

func (w *callerQueue) count(class string) int {
	n := 0
	for _, i := range w.items {
		if i.Class == class {
			n++
		}
	}
	for _, m := range w.members {
		n += m.count(class)
	}
	return n
}

// Waiting returns the number of waiting requests of a class.
func (f *Fair) Waiting(class string) int {
	n := 0
	for _, w := range f.queues {
		n += w.count(class)
	}
	return n
}

// Clear removes and returns all requests, oldest first.
func (f *Fair) Clear() []Item {
	items := slices.Collect(f.All)
	slices.SortStableFunc(items, func(a, b Item) int { return a.Arrived.Compare(b.Arrived) })
	f.queues, f.size = nil, 0
	return items
}
