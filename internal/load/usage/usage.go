// Package usage estimates how much of a service each caller uses, so that flows of callers that use less are
// served first.
//
// If callers ask for more than the servers can do, a caller that opens more flows gets more, and a caller with few
// flows waits behind one with many. The order of waiting flows (package hold) prevents this if it knows what their
// callers use. An entry sees an equal part of what each caller of its failure domain sends, because routers
// distribute flows by their hash. Its counts therefore rank the callers of the domain without an exchange between
// entries.
//
// A level is the logarithm of a caller's use per weight. Only what a caller gets is counted: flows that a server has
// opened, and requests on them. Flows that wait, or that were refused or given up, are not: a caller that is not
// served gets its turn as its level falls, however often it comes again.
//
// Counts are a sample, and small where a failure domain has many entries. The estimate of a caller's use therefore
// combines its count with the mean of the callers at the entry: the expectation of a rate of which n events were
// seen, if rates are exponentially distributed with that mean. Callers of a failure domain in a burst thus get higher
// estimates than those of others before their own counts differ; within an entry, the order is that of the counts.
// Levels are at most a factor of two apart, and an estimate below minUse is level 0. Entries of a failure domain with
// fewer entries see a larger part of each caller, so they scale their counts down (Counter.SetScale): one level means
// the same use at all entries.
//
// The memory is bounded by the space-saving algorithm (Metwally, Agrawal, El Abbadi: Efficient Computation of
// Frequent and Top-k Elements in Data Streams, 2005), on exponentially decayed counts. Where the algorithm
// can't tell a caller's use from that of a caller it has replaced, the lower bound of the use counts.
// An entry that has restarted, or does not know other entries, assigns levels by its own counts alone.
//
// Package usage does not decide who is served, and does not limit callers without competitors. The calling code
// passes in the time. A Counter is not safe for concurrent use.
//
// # Usage
//
//	c := usage.New(usage.DefaultLimit)
//	who := callers.Identify(source)
//	level := c.Level(now, who, callers.Weight(who))
//	c.Add(now, who, 1) // a server has opened the flow
package usage

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"mangowinch/internal/load/queue"
)

const (
	// decayTime is the time constant of the decay. A caller's retries extend over some seconds: a shorter time would
	// forget the caller between them, and a longer one would rank it low for a burst long past.
	decayTime = 4 * time.Second
	// minUse is the estimate from which a caller has a level above 0. Among equal callers with a mean of 2, one in
	// twenty reaches it by chance.
	minUse = 4
	// meanInterval is the time between two computations of the mean use.
	meanInterval = 100 * time.Millisecond
	// DefaultLimit is the number of callers that an entry counts. It takes about 400 KB.
	DefaultLimit = 2048
	// MaxLevel is the highest level.
	MaxLevel = 15
	// maxGrowth is the growth of the scale of counts at which they are rescaled, far from the limits of
	// floating-point numbers.
	maxGrowth = 1e9
)

// Counter counts the use of the heaviest callers.
type Counter struct {
	limit   int
	scale   float64 // factor from counts to those of the failure domain with the most entries
	origin  time.Time
	latest  time.Time
	callers map[queue.Caller]*count
	heap    counts  // smallest count first
	mean    float64 // use of the callers that were counted within decayTime
	meanAt  time.Time
}

// count is the use of one caller, in units of the decayed cost at Counter.origin. Its true use is between
// upper-excess and upper.
type count struct {
	caller queue.Caller
	upper  float64
	excess float64 // use that may be that of replaced callers
	index  int     // in the heap
}

// New returns a counter of at most limit callers.
func New(limit int) *Counter {
	return &Counter{limit: limit, scale: 1, callers: map[queue.Caller]*count{}}
}

// SetScale sets the ratio of the number of entries in this failure domain to that of the failure domain with
// the most entries.
func (c *Counter) SetScale(scale float64) { c.scale = scale }

// Len returns the number of callers that are counted.
func (c *Counter) Len() int { return len(c.heap) }

// Add charges a caller for cost, in requests of average service time.
func (c *Counter) Add(now time.Time, caller queue.Caller, cost float64) {
	growth := c.advance(now)
	k := c.callers[caller]
	switch {
	case k == nil && len(c.heap) < c.limit:
		k = &count{caller: caller}
		c.callers[caller] = k
		heap.Push(&c.heap, k)
	case k == nil:
		k = c.heap[0]
		delete(c.callers, k.caller)
		c.callers[caller] = k
		k.caller, k.excess = caller, k.upper
	}
	k.upper += cost * growth
	heap.Fix(&c.heap, k.index)
}

// advance moves the counter to a time and returns the weight of a cost that is added then. A time before the
// latest one counts as the latest one.
func (c *Counter) advance(now time.Time) (growth float64) {
	if c.origin.IsZero() {
		c.origin, c.latest = now, now
	}
	if now.After(c.latest) {
		c.latest = now
	}
	growth = math.Exp(float64(c.latest.Sub(c.origin)) / float64(decayTime))
	if growth < maxGrowth {
		return growth
	}
	for _, k := range c.heap { // order is kept
		k.upper /= growth
		k.excess /= growth
	}
	c.origin = c.latest
	return 1
}

// use returns the decayed use of a caller that is certain, in requests.
func (c *Counter) use(now time.Time, caller queue.Caller) float64 {
	growth := c.advance(now)
	k := c.callers[caller]
	if k == nil {
		return 0
	}
	return (k.upper - k.excess) / growth
}

// Level returns the level of a caller's use per weight. A caller that is not counted has level 0.
func (c *Counter) Level(now time.Time, caller queue.Caller, weight float64) uint8 {
	use := c.estimate(now, caller) * c.scale / max(weight, 1)
	level, found := slices.BinarySearch(bounds[:], use)
	if found {
		level++
	}
	return uint8(level)
}

// estimate returns the expected use of a caller.
func (c *Counter) estimate(now time.Time, caller queue.Caller) float64 {
	if c.mean == 0 || now.Sub(c.meanAt) >= meanInterval {
		c.mean, c.meanAt = c.meanUse(now), now
	}
	if c.mean == 0 {
		return 0
	}
	return (c.use(now, caller) + 1) / (1 + 1/c.mean)
}

// meanUse returns the mean use of the callers that were counted within decayTime: those with more than what is left
// of one request after that time.
func (c *Counter) meanUse(now time.Time) float64 {
	growth := c.advance(now)
	seen, sum := 0, 0.0
	for _, k := range c.heap {
		if use := (k.upper - k.excess) / growth; use > 1/math.E {
			seen++
			sum += use
		}
	}
	return sum / float64(max(seen, 1))
}

// bounds are the estimates from which a caller has each level above 0. They are a factor of two apart up to 16, where
// the standard deviation of a count is a quarter of it, and the square root of two from there on. Within a level, a
// caller that opens more flows gets more.
var bounds = [MaxLevel]float64{minUse, 8, 16, 23, 32, 45, 64, 91, 128, 181, 256, 362, 512, 724, 1024}

// Use is what one caller uses, as shown to operators.
type Use struct {
	Caller   queue.Caller `json:"caller"`
	Requests float64      `json:"requests"` // decayed over some seconds, at this entry
}

// Heaviest returns the n callers that use the most, heaviest first.
func (c *Counter) Heaviest(now time.Time, n int) (list []Use) {
	for _, k := range c.heap {
		list = append(list, Use{Caller: k.caller, Requests: c.use(now, k.caller)})
	}
	slices.SortFunc(list, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Caller.String(), b.Caller.String()))
	})
	return list[:min(n, len(list))]
}

// counts is a heap of counts.
type counts []*count

func (h counts) Len() int           { return len(h) }
func (h counts) Less(i, j int) bool { return h[i].upper < h[j].upper }
func (h counts) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *counts) Push(k any) {
	added, _ := k.(*count)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface. No count is ever removed, only replaced.
func (h *counts) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
