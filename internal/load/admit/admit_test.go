package admit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/queue"
	"mangowinch/internal/work/result"
)

var (
	start = time.Unix(1_000_000, 0)
	fundA = queue.Caller{Name: "fund-a"}
	fundB = queue.Caller{Name: "fund-b"}
)

var limits = Limits{
	Slots: 4,
	Classes: []docs.Class{
		{Name: "claim", Kind: docs.Lookup, Queue: 8},
		{Name: "trace", Kind: docs.Feed, Queue: 4},
		{Name: "scan", Kind: docs.Upload, Queue: 4},
	},
	Callers: []docs.Caller{{Name: "fund-a", Weight: 1}, {Name: "fund-b", Weight: 1}},
}

// testGate is a gate with the clock and the request IDs of one test.
type testGate struct {
	*Gate
	now time.Time
	id  uint64
}

func newTestGate(l Limits) *testGate {
	return &testGate{Gate: New(l, rand.New(rand.NewPCG(1, 2))), now: start}
}

func (b *testGate) arrive(class string, c queue.Caller, left time.Duration) Decision {
	b.id++
	return b.Arrive(b.now, Request{ID: b.id, Class: class, Caller: c, Deadline: b.now.Add(left)})
}

// learn runs lookups to completion, each with the given service time.
func (b *testGate) learn(took time.Duration) {
	for range 8 {
		b.arrive("claim", fundA, time.Minute)
		b.now = b.now.Add(took)
		b.Done(b.now, b.id, took)
	}
}

// Guards against overload in which every caller waits past its deadline: a request that cannot be
// answered in time is refused on arrival, and an admitted request waits less than its time left.
func TestRefusesLateRequestsOnArrival(t *testing.T) {
	b := newTestGate(limits)
	b.learn(100 * time.Millisecond)
	for range 4 {
		assert.Equal(t, b.arrive("claim", fundA, 250*time.Millisecond).Verdict, Run)
	}
	assert.Equal(t, b.arrive("claim", fundA, 600*time.Millisecond).Verdict, Wait)
	d := b.arrive("claim", fundA, 150*time.Millisecond)
	assert.Equal(t, d.Verdict, Refuse)
	assert.Equal(t, d.Reason, result.DeadlineUnmeetable)
	assert.Assert(t, d.RetryAfter >= minRetryAfter && d.RetryAfter <= 5*minRetryAfter, d.RetryAfter)
}

// Guards against uploads of several seconds that occupy every slot while short lookups wait.
func TestUploadsLeaveSlotsToLookups(t *testing.T) {
	b := newTestGate(limits)
	for range 2 {
		assert.Equal(t, b.arrive("scan", fundA, time.Minute).Verdict, Run)
	}
	assert.Equal(t, b.arrive("scan", fundA, time.Minute).Verdict, Wait)
	assert.Equal(t, b.arrive("claim", fundB, time.Second).Verdict, Run)
	assert.Equal(t, b.arrive("claim", fundB, time.Second).Verdict, Run)
}

// Guards against a share of the slots that rounds down to zero for uploads.
func TestSingleSlotTakesAllKinds(t *testing.T) {
	l := limits
	l.Slots = 1
	assert.Equal(t, newTestGate(l).arrive("scan", fundA, time.Minute).Verdict, Run)
}

// Guards against a continuous load of lookups that keeps a waiting upload out.
func TestLookupsDoNotKeepUploadsOut(t *testing.T) {
	b := newTestGate(limits)
	b.learn(100 * time.Millisecond)
	var running []uint64
	for range 4 {
		b.arrive("claim", fundA, time.Minute)
		running = append(running, b.id)
	}
	b.arrive("scan", fundB, time.Minute)
	scan := b.id
	for range 4 {
		b.arrive("claim", fundA, time.Minute)
		b.now = b.now.Add(100 * time.Millisecond)
		c := b.Done(b.now, running[0], 100*time.Millisecond)
		running = append(running[1:], c.Started...)
	}
	assert.Assert(t, slices.Contains(running, scan))
}

// Guards against open feeds that occupy the slots: a feed releases its slot with the first byte of its
// answer.
func TestOpenFeedsHoldNoSlot(t *testing.T) {
	b := newTestGate(limits)
	for range 100 {
		assert.Equal(t, b.arrive("trace", fundA, time.Second).Verdict, Run)
		b.Done(b.now, b.id, 10*time.Millisecond)
	}
	assert.Equal(t, b.Stats().Running, 0)
}

// Guards against a caller that fills the queue: it is refused at once when it has used its part, and
// another caller still finds room.
func TestHeavyCallerLeavesRoom(t *testing.T) {
	b := newTestGate(limits)
	waiting := 0
	for range 100 {
		if d := b.arrive("claim", fundA, time.Minute); d.Verdict == Wait {
			waiting++
		} else if d.Verdict == Refuse {
			assert.Equal(t, d.Reason, result.OverFairShare)
		}
	}
	assert.Equal(t, waiting, 4) // of 8
	assert.Equal(t, b.arrive("claim", fundB, time.Minute).Verdict, Wait)
}

// Guards against refusing every request after a slow period: without new runs the old estimate would
// never be corrected.
func TestSlowPeriodDoesNotCloseTheGate(t *testing.T) {
	b := newTestGate(limits)
	b.learn(2 * time.Second)
	assert.Equal(t, b.arrive("claim", fundA, 500*time.Millisecond).Verdict, Run)
}

// Guards against counting requests that fail within a millisecond as fast service.
func TestFailuresDoNotLowerTheEstimate(t *testing.T) {
	b := newTestGate(limits)
	b.learn(100 * time.Millisecond)
	before := b.Stats().Classes[0].Mean
	for range 20 {
		b.arrive("claim", fundA, time.Second)
		b.Done(b.now, b.id, 0)
	}
	assert.Equal(t, b.Stats().Classes[0].Mean, before)
}

func TestExpireAnswersAtTheLatestStart(t *testing.T) {
	b := newTestGate(limits)
	b.learn(100 * time.Millisecond)
	for range 5 {
		b.arrive("claim", fundA, time.Second)
	}
	due := b.NextExpiry()
	assert.Equal(t, due, b.now.Add(900*time.Millisecond))
	assert.Equal(t, len(b.Expire(due.Add(-1)).Refused), 0)
	assert.Equal(t, b.Expire(due).Refused[0].Reason, result.Expired)
	assert.Assert(t, b.NextExpiry().IsZero())
}

// When the server is drained, running requests continue and waiting requests are returned exactly once.
func TestDrainHandsOutWhatWaits(t *testing.T) {
	b := newTestGate(limits)
	for range 6 {
		b.arrive("claim", fundA, time.Minute)
	}
	assert.DeepEqual(t, b.Drain(), []uint64{5, 6})
	assert.DeepEqual(t, b.Running(), []uint64{1, 2, 3, 4})
	assert.Equal(t, len(b.Done(b.now, 1, time.Second).Started), 0)
}

// When a new document reduces the slots, running requests continue; when it adds slots, waiting requests
// start.
func TestSetLimitsStartsWaitingRequests(t *testing.T) {
	b := newTestGate(limits)
	for range 6 {
		b.arrive("claim", fundA, time.Minute)
	}
	l := limits
	l.Slots = 2
	assert.Equal(t, len(b.SetLimits(b.now, l).Started), 0)
	assert.Equal(t, len(b.Done(b.now, 1, time.Second).Started), 0)
	l.Slots = 6
	assert.DeepEqual(t, b.SetLimits(b.now, l).Started, []uint64{5, 6})
}

// Guards against a Retry-After that counts occasional refusals of the last hour as a shortage: the first
// refusals of a real shortage have a short Retry-After, later ones a longer one.
func TestRetryAfterFollowsTheShortage(t *testing.T) {
	b := newTestGate(limits)
	for range 3600 {
		for range 40 {
			b.arrive("claim", fundA, time.Second)
			b.Done(b.now, b.id, 10*time.Millisecond)
		}
		b.RetryAfter(b.now)
		b.now = b.now.Add(time.Second)
	}
	first := b.RetryAfter(b.now)
	assert.Assert(t, first <= 5*minRetryAfter, first)
	for range 100 {
		b.now = b.now.Add(100 * time.Millisecond)
		b.RetryAfter(b.now)
	}
	last := b.RetryAfter(b.now)
	assert.Assert(t, last >= 10*time.Second && last <= 50*time.Second, last)
}

// For any order of events, each request is started at most once, ends up either started or refused, and
// the limits of slots and queues hold.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestGate(limits)
		settled, running := map[uint64]int{}, map[uint64]bool{}
		apply := func(c Change) {
			for _, id := range c.Started {
				settled[id]++
				running[id] = true
			}
			for _, r := range c.Refused {
				settled[r.ID]++
			}
		}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			id := rapid.Uint64Range(0, b.id).Draw(t, "id")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				class := rapid.SampledFrom([]string{"claim", "trace", "scan", "none"}).Draw(t, "class")
				d := b.arrive(class, rapid.SampledFrom([]queue.Caller{fundA, fundB, {}}).Draw(t, "caller"), time.Second)
				if d.Verdict != Wait {
					settled[b.id]++
				}
				running[b.id] = d.Verdict == Run
			case 3:
				apply(b.Done(b.now, id, 300*time.Millisecond))
				running[id] = false
			case 4:
				apply(b.Expire(b.now))
			case 5:
				if !running[id] && settled[id] == 0 && id > 0 {
					settled[id]++ // a waiting request was cancelled
				}
				apply(b.Cancel(b.now, id))
				running[id] = false
			}
			assert.Assert(t, len(b.Running()) <= limits.Slots && b.longInFlight() < limits.Slots)
			assert.Assert(t, b.Stats().Waiting <= 8+4+4)
		}
		for _, id := range b.Drain() {
			settled[id]++
		}
		for id := uint64(1); id <= b.id; id++ {
			assert.Equal(t, settled[id], 1)
		}
	})
}
