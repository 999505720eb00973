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

// bench is a gate with the clock and the request numbers of one test.
type bench struct {
	*Gate
	now time.Time
	id  uint64
}

func newBench(l Limits) *bench {
	return &bench{Gate: New(l, rand.New(rand.NewPCG(1, 2))), now: start}
}

func (b *bench) arrive(class string, c queue.Caller, left time.Duration) Decision {
	b.id++
	return b.Arrive(b.now, Request{ID: b.id, Class: class, Caller: c, Deadline: b.now.Add(left)})
}

// learn runs lookups to their end, each after the given time.
func (b *bench) learn(took time.Duration) {
	for range 8 {
		b.arrive("claim", fundA, time.Minute)
		b.now = b.now.Add(took)
		b.Done(b.now, b.id, took)
	}
}

// A fund sends more than the servers can do. Its callers would all wait past
// their deadlines, and every answer would come too late for somebody. What can't be
// answered in time is refused when it comes; what is let in waits less than its time.
func TestRefusesAtOnceWhatWouldBeLate(t *testing.T) {
	b := newBench(limits)
	b.learn(100 * time.Millisecond)
	for range 4 {
		assert.Equal(t, b.arrive("claim", fundA, 250*time.Millisecond).Verdict, Run)
	}
	assert.Equal(t, b.arrive("claim", fundA, 600*time.Millisecond).Verdict, Wait)
	d := b.arrive("claim", fundA, 150*time.Millisecond)
	assert.Equal(t, d.Verdict, Refuse)
	assert.Equal(t, d.Reason, result.TooLate)
	assert.Assert(t, d.RetryAfter >= leastAfter && d.RetryAfter <= 5*leastAfter, d.RetryAfter)
}

// Heirs upload scans for seconds each. Were every slot theirs, a caseworker's
// lookup of some milliseconds would wait for seconds.
func TestUploadsLeaveSlotsToLookups(t *testing.T) {
	b := newBench(limits)
	for range 2 {
		assert.Equal(t, b.arrive("scan", fundA, time.Minute).Verdict, Run)
	}
	assert.Equal(t, b.arrive("scan", fundA, time.Minute).Verdict, Wait)
	assert.Equal(t, b.arrive("claim", fundB, time.Second).Verdict, Run)
	assert.Equal(t, b.arrive("claim", fundB, time.Second).Verdict, Run)
}

// A server with a single slot still takes uploads.
func TestSingleSlotTakesAllKinds(t *testing.T) {
	l := limits
	l.Slots = 1
	assert.Equal(t, newBench(l).arrive("scan", fundA, time.Minute).Verdict, Run)
}

// Lookups never stop coming. An upload that waits gets a slot all the same.
func TestLookupsDoNotKeepUploadsOut(t *testing.T) {
	b := newBench(limits)
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

// A feed is open for hours. The fifth caseworker still gets one, since a feed gives its
// slot back with the first byte.
func TestOpenFeedsHoldNoSlot(t *testing.T) {
	b := newBench(limits)
	for range 100 {
		assert.Equal(t, b.arrive("trace", fundA, time.Second).Verdict, Run)
		b.Done(b.now, b.id, 10*time.Millisecond)
	}
	assert.Equal(t, b.Stats().Running, 0)
}

// One fund sends without end. It is refused at once when it holds its part of the
// queue, and the other fund still finds room.
func TestHeavyCallerLeavesRoom(t *testing.T) {
	b := newBench(limits)
	waiting := 0
	for range 100 {
		if d := b.arrive("claim", fundA, time.Minute); d.Verdict == Wait {
			waiting++
		} else if d.Verdict == Refuse {
			assert.Equal(t, d.Reason, result.ShedCaller)
		}
	}
	assert.Equal(t, waiting, 4) // of 8
	assert.Equal(t, b.arrive("claim", fundB, time.Minute).Verdict, Wait)
}

// A backend server was slow for a while and is quick again. If nothing were let in
// by the old estimate, it would never be measured again and stay refused for ever.
func TestSlowSpellDoesNotCloseTheGate(t *testing.T) {
	b := newBench(limits)
	b.learn(2 * time.Second)
	assert.Equal(t, b.arrive("claim", fundA, 500*time.Millisecond).Verdict, Run)
}

// A backend server answers 500 within a millisecond. Its failures must not count as quick service.
func TestFailuresDoNotLowerTheEstimate(t *testing.T) {
	b := newBench(limits)
	b.learn(100 * time.Millisecond)
	before := b.Stats().Classes[0].Mean
	for range 20 {
		b.arrive("claim", fundA, time.Second)
		b.Done(b.now, b.id, 0)
	}
	assert.Equal(t, b.Stats().Classes[0].Mean, before)
}

func TestExpireAnswersAtTheLatestStart(t *testing.T) {
	b := newBench(limits)
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

// The backend server leaves. What runs ends on its own; what waits is handed out once to be passed on.
func TestDrainHandsOutWhatWaits(t *testing.T) {
	b := newBench(limits)
	for range 6 {
		b.arrive("claim", fundA, time.Minute)
	}
	assert.DeepEqual(t, b.Drain(), []uint64{5, 6})
	assert.DeepEqual(t, b.Running(), []uint64{1, 2, 3, 4})
	assert.Equal(t, len(b.Done(b.now, 1, time.Second).Started), 0)
}

// The document gives the server fewer slots, then more: nothing that runs is
// stopped, and what waits starts with the new slots.
func TestSetLimitsStartsWhatWaits(t *testing.T) {
	b := newBench(limits)
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

// A server refuses a stray request now and then for an hour, then the service is short for
// ten seconds. The first callers are told to come back soon, not in an hour; the last ones later.
func TestRetryAfterFollowsTheShortage(t *testing.T) {
	b := newBench(limits)
	for range 3600 {
		for range 40 {
			b.arrive("claim", fundA, time.Second)
			b.Done(b.now, b.id, 10*time.Millisecond)
		}
		b.RetryAfter(b.now)
		b.now = b.now.Add(time.Second)
	}
	first := b.RetryAfter(b.now)
	assert.Assert(t, first <= 5*leastAfter, first)
	for range 100 {
		b.now = b.now.Add(100 * time.Millisecond)
		b.RetryAfter(b.now)
	}
	last := b.RetryAfter(b.now)
	assert.Assert(t, last >= 10*time.Second && last <= 50*time.Second, last)
}

// Whatever happens, in any order: each request is started at most once and either
// started or refused in the end, never both, and slots and queues keep their bounds.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(limits)
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
					settled[id]++ // the caller of a waiting request went away
				}
				apply(b.Cancel(b.now, id))
				running[id] = false
			}
			assert.Assert(t, len(b.Running()) <= limits.Slots && b.long() < limits.Slots)
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
