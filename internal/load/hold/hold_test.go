package hold

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/parts"
)

var now = time.Unix(1_700_000_000, 0)

const (
	target        = 150 * time.Millisecond
	maxWait       = 1350 * time.Millisecond
	secondCopyAge = 600 * time.Millisecond // age of a flow at the second retransmission
)

// callers wait for maxWait, and send no copies whose absence would tell that they have left.
var callers = segs.CallerTiming{GiveUp: maxWait + 50*time.Millisecond}

func flow(n int) segs.Flow { return segs.Flow{CallerPort: uint16(n)} }

func waiting(n, priority int, age time.Duration) *QueuedFlow {
	return &QueuedFlow{Flow: flow(n), Priority: priority, FirstSent: now.Add(-age), Target: target}
}

func order(q *Queue) (ports []int) {
	for w := q.Next(now, Server{Slots: 1}); w != nil; w = q.Next(now, Server{Slots: 1}) {
		ports = append(ports, int(w.Flow.CallerPort))
	}
	return ports
}

// Guards against serving flows oldest first after an outage: the first requests are late in any case, and
// new requests then become late too. Newest first, only the requests that are late anyway miss their target.
func TestFlowsThatCanMeetTheirTargetComeFirst(t *testing.T) {
	q := New(callers, parts.Off{})
	for _, w := range []*QueuedFlow{
		waiting(1, 2, 800*time.Millisecond), waiting(2, 2, 500*time.Millisecond), waiting(3, 2, 50*time.Millisecond),
		waiting(4, 1, 60*time.Millisecond), waiting(5, 2, 10*time.Millisecond), waiting(6, 1, 700*time.Millisecond),
	} {
		assert.Assert(t, q.Add(now, w, 10) == nil)
	}
	assert.DeepEqual(t, order(q), []int{4, 5, 3, 6, 1, 2})
}

// A flow is admitted when a slot becomes free.
func TestServerGetsNoMoreThanItHasSlotsFor(t *testing.T) {
	q := New(callers, parts.Off{})
	q.Add(now, waiting(1, 2, 0), 10)
	assert.Assert(t, q.Next(now, Server{Expected: 3, Slots: 2, Lowest: 2}) == nil)
	assert.Assert(t, q.Next(now, Server{Expected: 2, Slots: 2, Lowest: 2}) != nil)
}

// Guards against refusing feeds, which have a higher priority and a flow each, three times as often as
// lookups in a long burst: requests on open flows are not queued here and keep every slot busy.
func TestUrgentFlowsAreAdmittedToBusyServer(t *testing.T) {
	q := New(callers, parts.Off{})
	q.Add(now, waiting(1, 1, 0), 10)
	assert.Assert(t, q.Next(now, Server{Expected: 6, Slots: 2, Lowest: 2}) == nil)
	assert.Assert(t, q.Next(now, Server{Expected: 5, Slots: 2, Lowest: 2}) != nil)
}

// If more flows wait than can be served, the last in order is refused at once, so that its caller does
// not wait in vain. A new flow is kept if it comes before the last one.
func TestFullQueueRefusesTheLast(t *testing.T) {
	q := New(callers, parts.Off{})
	q.Add(now, waiting(1, 2, 900*time.Millisecond), 2)
	q.Add(now, waiting(2, 2, 400*time.Millisecond), 2)
	last := q.Add(now, waiting(3, 1, 0), 2)
	assert.Equal(t, last.Flow, flow(2))
	last = q.Add(now, waiting(4, 2, 300*time.Millisecond), 2)
	assert.Equal(t, last.Flow, flow(4))
}

func TestFlowWaitsNoLongerThanItsCaller(t *testing.T) {
	q := New(callers, parts.Off{})
	q.Add(now, waiting(1, 2, secondCopyAge), 10)
	assert.Assert(t, q.Next(now.Add(maxWait-secondCopyAge+time.Millisecond), Server{Slots: 2, Lowest: 2}) == nil)
	assert.Equal(t, q.Len(), 0)
}

// For any order of arrivals, no flow is lost or duplicated and the queue's limit holds.
func TestNoFlowIsLostOrDuplicated(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := New(callers, parts.Off{})
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

// Guards against callers that get more because they open more flows: within a priority, a caller that uses
// less is served first and is the last to be refused. Neither lateness nor priority is overridden.
func TestCallersThatUseLessComeFirst(t *testing.T) {
	q := New(callers, parts.Off{})
	for n, usage := range []uint8{3, 0, 1, 0} {
		w := waiting(n+1, 1, time.Duration(n)*time.Millisecond)
		w.Usage = usage
		assert.Assert(t, q.Add(now, w, 6) == nil)
	}
	late := waiting(5, 1, 800*time.Millisecond)
	urgent := waiting(6, 0, 0)
	urgent.Usage = 9
	q.Add(now, late, 6)
	q.Add(now, urgent, 6)
	assert.Equal(t, q.Add(now, waiting(7, 1, 0), 6), late)
	assert.Equal(t, q.Add(now, waiting(8, 1, time.Second), 6).Flow, flow(8))
	assert.Equal(t, q.Add(now, waiting(9, 1, 0), 6).Flow, flow(1), "the highest level is refused first")
	assert.Equal(t, order(q)[0], 6)
}

// Guards against opening a flow whose caller has given up the request, although it would still await the opening.
func TestFlowWaitsNoLongerThanItsRequest(t *testing.T) {
	q := New(callers, parts.Off{})
	w := waiting(1, 2, secondCopyAge)
	w.Timeout = time.Second
	q.Add(now, w, 10)
	assert.Equal(t, len(q.Expire(now.Add(time.Second-secondCopyAge))), 0)
	expired := q.Expire(now.Add(time.Second - secondCopyAge + time.Millisecond))
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, q.Len(), 0)
}

// Guards against estimates of no wait at a server without room, and of a wait that ignores those who wait.
func TestWaitsFollowQueueAndPace(t *testing.T) {
	const service = 20 * time.Millisecond
	q := New(segs.CallerTiming{GiveUp: time.Minute}, parts.Off{})
	busy := Server{Expected: 6, Slots: 2, Lowest: 2, Service: service}
	assert.Equal(t, q.Waits(now, Server{Slots: 2, Lowest: 2, Service: service}), [msgs.NumWaits]time.Duration{})
	assert.Equal(t, q.Waits(now, busy)[2], service/2, "by the service time alone")
	at := now
	for n := range 40 { // one opening in 50 ms
		q.Add(at, &QueuedFlow{Flow: flow(n), Priority: 2, FirstSent: at, Target: time.Minute}, 100)
		if n >= 4 {
			assert.Assert(t, q.Next(at, Server{Expected: 2, Slots: 2, Lowest: 2}) != nil)
		}
		at = at.Add(50 * time.Millisecond)
	}
	got := q.Waits(at, busy)
	assert.Assert(t, got[2] > 150*time.Millisecond && got[2] < 300*time.Millisecond, "%v for the fifth of one each 50 ms", got[2])
	assert.Equal(t, got[1], service/2, "nobody waits")
}

// Guards against callers that are not told that their request can't be answered before its timeout, and against
// flows returned although they can.
func TestFlowIsReturnedWhenItsServiceNoLongerFits(t *testing.T) {
	for _, c := range []struct{ average, needed time.Duration }{
		{20 * time.Millisecond, 20 * time.Millisecond},
		{10 * time.Second, target * (100 - onTimePercent) / 100}, // of a server that also gets long requests
	} {
		q := New(callers, parts.Off{})
		w := waiting(1, 2, 0)
		w.Timeout = time.Second
		q.Add(now, w, 10)
		q.Add(now, waiting(2, 2, 0), 10) // without a timeout
		last := now.Add(w.Timeout - c.needed)
		assert.Equal(t, len(q.TooLate(last, c.average)), 0)
		assert.Equal(t, len(q.TooLate(last.Add(time.Millisecond), 0)), 0, "service time unknown")
		late := q.TooLate(last.Add(time.Millisecond), c.average)
		assert.Assert(t, len(late) == 1 && late[0] == w)
		assert.Equal(t, q.Len(), 1)
	}
}

// Guards against estimates that count a pause of the process, in which nothing could be opened, as waiting.
func TestWaitsAfterPause(t *testing.T) {
	q := New(segs.CallerTiming{GiveUp: time.Minute}, parts.Off{})
	busy := Server{Expected: 6, Slots: 2, Lowest: 2, Service: 20 * time.Millisecond}
	q.Add(now, &QueuedFlow{Flow: flow(1), Priority: 2, FirstSent: now, Target: time.Minute}, 10)
	got := q.Waits(now.Add(5*time.Second), busy)[2]
	assert.Assert(t, got <= 2*paceWindow, "%v for the second flow", got)
}

// Guards against a flow that is never told that its time is over because its route has a timeout and no target.
func TestTooLateWithoutTarget(t *testing.T) {
	q := New(callers, parts.Off{})
	w := waiting(1, 2, 0)
	w.Target, w.Timeout = 0, time.Second
	q.Add(now, w, 10)
	assert.Equal(t, len(q.TooLate(now.Add(960*time.Millisecond), 40*time.Millisecond)), 0)
	assert.Equal(t, len(q.TooLate(now.Add(961*time.Millisecond), 40*time.Millisecond)), 1)
}
