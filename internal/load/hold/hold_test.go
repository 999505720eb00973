package hold

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/segs"
)

var now = time.Unix(1_700_000_000, 0)

const (
	target     = 150 * time.Millisecond
	patience   = 1350 * time.Millisecond
	secondCopy = 600 * time.Millisecond // the age of a flow whose second copy comes
)

func flow(n int) segs.Flow { return segs.Flow{CallerPort: uint16(n)} }

func waiting(n, priority int, age time.Duration) *QueuedFlow {
	return &QueuedFlow{Flow: flow(n), Priority: priority, FirstSent: now.Add(-age), Target: target}
}

func order(q *Queue) (ports []int) {
	for w := q.Next(now, 0, 1, 0); w != nil; w = q.Next(now, 0, 1, 0) {
		ports = append(ports, int(w.Flow.CallerPort))
	}
	return ports
}

// After an outage of a second the callers' first requests are late whatever happens, and new ones come that
// can be in time. Oldest first, all are late; the new ones first, only those that are late anyway.
func TestFlowsThatCanBeInTimeGoFirst(t *testing.T) {
	q := New(patience)
	for _, w := range []*QueuedFlow{
		waiting(1, 2, 800*time.Millisecond), waiting(2, 2, 500*time.Millisecond), waiting(3, 2, 50*time.Millisecond),
		waiting(4, 1, 60*time.Millisecond), waiting(5, 2, 10*time.Millisecond), waiting(6, 1, 700*time.Millisecond),
	} {
		assert.Assert(t, q.Add(now, w, 10) == nil)
	}
	assert.DeepEqual(t, order(q), []int{4, 5, 3, 6, 1, 2})
}

// A server has all its slots busy; a flow is let in as soon as one is free.
func TestServerGetsNoMoreThanItHasSlotsFor(t *testing.T) {
	q := New(patience)
	q.Add(now, waiting(1, 2, 0), 10)
	assert.Assert(t, q.Next(now, 3, 2, 2) == nil)
	assert.Assert(t, q.Next(now, 2, 2, 2) != nil)
}

// In a long burst requests on open flows, which never wait, keep every slot busy. Feeds, of a higher priority
// and each on a flow of its own, then were turned away three times as often as lookups.
func TestUrgentFlowsAreLetInToABusyServer(t *testing.T) {
	q := New(patience)
	q.Add(now, waiting(1, 1, 0), 10)
	assert.Assert(t, q.Next(now, 6, 2, 2) == nil)
	assert.Assert(t, q.Next(now, 5, 2, 2) != nil)
}

// More wait than can be served. The one that would go last is refused at once, so that its caller
// doesn't wait in vain, and the newcomer stays if it goes before.
func TestFullQueueRefusesTheLast(t *testing.T) {
	q := New(patience)
	q.Add(now, waiting(1, 2, 900*time.Millisecond), 2)
	q.Add(now, waiting(2, 2, 400*time.Millisecond), 2)
	last := q.Add(now, waiting(3, 1, 0), 2)
	assert.Equal(t, last.Flow, flow(2))
	last = q.Add(now, waiting(4, 2, 300*time.Millisecond), 2)
	assert.Equal(t, last.Flow, flow(4))
}

func TestNobodyWaitsLongerThanItsCaller(t *testing.T) {
	q := New(patience)
	q.Add(now, waiting(1, 2, secondCopy), 10)
	assert.Assert(t, q.Next(now.Add(patience-secondCopy+time.Millisecond), 0, 2, 2) == nil)
	assert.Equal(t, q.Len(), 0)
}

// Whatever comes in which order, nothing is lost or doubled, and the bound holds.
func TestQueueKeepsAll(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := New(patience)
		limit := rapid.IntRange(1, 8).Draw(r, "limit")
		in := rapid.SliceOfN(rapid.IntRange(0, 1300), 0, 20).Draw(r, "ages")
		out := 0
		for i, age := range in {
			if q.Add(now, waiting(i+1, i%3, time.Duration(age)*time.Millisecond), limit) != nil {
				out++
			}
			assert.Assert(r, q.Len() <= limit)
		}
		seen := map[int]bool{}
		for _, p := range order(q) {
			assert.Assert(r, !seen[p])
			seen[p] = true
		}
		assert.Equal(r, out+len(seen), len(in))
	})
}
