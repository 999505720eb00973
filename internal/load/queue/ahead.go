package queue

import "slices"

// Backlog is what one caller has waiting.
type Backlog struct {
	Caller  Caller
	Waiting int
	Cost    float64 // seconds of a slot
}

// Backlogs lists the callers that wait, in the order in which they came.
func (f *Fair) Backlogs() []Backlog {
	var list []Backlog
	for w := range f.all {
		if len(w.items) > 0 {
			list = append(list, Backlog{Caller: w.caller, Waiting: len(w.items), Cost: w.cost()})
		}
	}
	return list
}

func (w *flow) cost() float64 {
	sum := 0.0
	for _, i := range w.items {
		sum += i.Cost
	}
	for _, m := range w.members {
		sum += m.cost()
	}
	return sum
}

// Ahead returns the work, in seconds of a slot, that would start before a new
// request of the caller: all that the caller has waiting, and of every other
// caller no more than its weight lets it start in the meantime.
func (f *Fair) Ahead(c Caller) float64 {
	key, inside := c, 0.0
	if c.Name == "" {
		key = unnamed
		if group := lookup(f.flows, unnamed); group != nil {
			inside = overtaking(group.members, c, 1)
		}
	}
	own := lookup(f.flows, key)
	if c.Name != "" && own != nil {
		inside = own.cost()
	}
	return inside + others(f.flows, key, f.Weight(key), inside)
}

// overtaking is the caller's own backlog and what its rivals start meanwhile.
func overtaking(level []*flow, c Caller, weight float64) float64 {
	cost := 0.0
	if own := lookup(level, c); own != nil {
		cost = own.cost()
	}
	return cost + others(level, c, weight, cost)
}

// others is the work that the rivals of a caller start while it is served the
// given cost. Each may start one request more than its exact share, since
// requests are not cut into pieces.
func others(level []*flow, c Caller, weight, cost float64) float64 {
	sum := 0.0
	for _, w := range level {
		if w.caller == c || w.waiting() == 0 {
			continue
		}
		one := w.cost() / float64(w.waiting())
		sum += min(w.cost(), cost*w.share.Weight/weight+one)
	}
	return sum
}

func lookup(level []*flow, c Caller) *flow {
	for _, w := range level {
		if w.caller == c {
			return w
		}
	}
	return nil
}

// Heaviest returns the newest request of a class of the caller that has most of
// them waiting for its weight, and how many that are for a weight of 1. It is the
// one to give way in a full queue. Unnamed callers are weighed as the one group
// that they are, so that many networks with one request each count as many.
func (f *Fair) Heaviest(class string) (newest Item, excess float64, ok bool) {
	top, excess := heaviest(f.flows, class)
	if top == nil {
		return Item{}, 0, false
	}
	w := top
	if len(top.members) > 0 {
		w, _ = heaviest(top.members, class)
	}
	for _, i := range w.items {
		if i.Class == class {
			newest = i
		}
	}
	return newest, excess, true
}

func heaviest(level []*flow, class string) (most *flow, excess float64) {
	for _, w := range level {
		if over := float64(w.count(class)) / w.share.Weight; over > excess {
			most, excess = w, over
		}
	}
	return most, excess
}

func (w *flow) count(class string) int {
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

// Excess returns how many requests of a class would wait, for a weight of 1, if
// the caller had one more; for an unnamed caller, those of the group.
func (f *Fair) Excess(class string, c Caller) float64 {
	key := c
	if c.Name == "" {
		key = unnamed
	}
	n := 1
	if w := lookup(f.flows, key); w != nil {
		n += w.count(class)
	}
	return float64(n) / f.Weight(key)
}

// Waiting returns how many requests of a class wait.
func (f *Fair) Waiting(class string) int {
	n := 0
	for _, w := range f.flows {
		n += w.count(class)
	}
	return n
}

// Clear takes out everything, oldest first.
func (f *Fair) Clear() []Item {
	items := f.Items()
	slices.SortStableFunc(items, func(a, b Item) int { return a.Arrived.Compare(b.Arrived) })
	f.flows, f.size = nil, 0
	return items
}
