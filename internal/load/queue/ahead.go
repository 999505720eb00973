package queue

import "slices"

// Backlog is what one caller has waiting.
type Backlog struct {
	Caller  Caller  `json:"caller"`
	Waiting int     `json:"waiting"`
	Cost    float64 `json:"cost"` // seconds of a slot
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

// HasRoom reports whether a caller may have one more request of a class waiting,
// of at most limit in all. Each caller may have as many as places are still free,
// times its weight over the mean weight: one heavy caller fills half of the queue
// at most, two a third each. So there is always room for a caller that has
// nothing waiting, nobody has to be turned out again to make it, and a refusal is
// said at once. Unnamed callers are bounded as the group they are, and in the
// same way among each other.
func (f *Fair) HasRoom(class string, c Caller, limit int) bool {
	key := c
	if c.Name == "" {
		key = unnamed
	}
	free := float64(limit - f.Waiting(class))
	top, n := lookup(f.flows, key), 0
	if top != nil {
		n = top.count(class)
	}
	bound := free * f.Weight(key) / f.mean
	if free < 1 || float64(n) >= bound {
		return false
	}
	if c.Name != "" || top == nil {
		return true
	}
	member := lookup(top.members, c)
	return member == nil || float64(member.count(class)) < bound-float64(n)
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
	items := slices.Collect(f.All)
	slices.SortStableFunc(items, func(a, b Item) int { return a.Arrived.Compare(b.Arrived) })
	f.flows, f.size = nil, 0
	return items
}
