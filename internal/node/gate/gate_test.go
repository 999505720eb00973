package gate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/admit"
	"mangowinch/internal/load/queue"
	"mangowinch/internal/work/result"
)

func newGate() *Gate {
	return New(admit.Limits{
		Slots:   1,
		Classes: []docs.Class{{Name: "lookup", Kind: docs.Lookup, Deadline: time.Second, Queue: 4}},
	})
}

func lookup(deadline time.Duration) Request {
	return Request{Class: "lookup", Caller: queue.Caller{Name: "fund"}, Deadline: time.Now().Add(deadline)}
}

// Guards against slots or a queue beyond their limits. Ten callers send lookups of 10 ms at once to one
// slot and a queue of four. Five run, one at a time, and five are refused on arrival.
func TestSlotsAndQueueAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		var wg sync.WaitGroup
		var mu sync.Mutex
		running, ran, refused := 0, 0, 0
		for i := range 10 {
			wg.Go(func() {
				began := time.Now()
				r := lookup(time.Second)
				r.Caller.Name = fmt.Sprint("fund", i)
				pass, res := g.Enter(t.Context(), r)
				mu.Lock()
				defer mu.Unlock()
				if pass == nil {
					refused++
					assert.Equal(t, res.Outcome, result.NotRun)
					assert.Equal(t, time.Since(began), time.Duration(0))
					return
				}
				running++
				ran++
				assert.Equal(t, running, 1)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				mu.Lock()
				running--
				pass.Release()
			})
		}
		wg.Wait()
		assert.Equal(t, ran, 5)
		assert.Equal(t, refused, 5)
	})
}

// Guards against a slot that is lost with a caller that goes away while its lookup waits. The lookup behind
// it must get the slot.
func TestGoneCallerFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		first, _ := g.Enter(t.Context(), lookup(time.Second))
		ctx, leave := context.WithCancel(t.Context())
		canceled := make(chan result.Result)
		go func() {
			_, res := g.Enter(ctx, lookup(time.Second))
			canceled <- res
		}()
		synctest.Wait()
		leave()
		assert.Equal(t, (<-canceled).Reason, result.CallerGone)
		first.Release()
		next, _ := g.Enter(t.Context(), lookup(time.Second))
		assert.Assert(t, next != nil)
		next.Release()
		assert.Equal(t, g.Stats().Running, 0)
	})
}

// Guards against lookups that wait behind a slow one until the slot is free. A lookup must be answered as
// soon as it can no longer meet its deadline.
func TestWaitingEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		first, _ := g.Enter(t.Context(), lookup(time.Minute))
		pass, res := g.Enter(t.Context(), lookup(100*time.Millisecond))
		assert.Assert(t, pass == nil)
		assert.Equal(t, res.Outcome, result.NotRun)
		first.Release()
	})
}

// Guards against work that keeps waiting at a server that drains. All of it must end at once as not run, to
// be placed elsewhere, while running work continues.
func TestDrainGivesWaitingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		first, _ := g.Enter(t.Context(), lookup(time.Minute))
		drained := make(chan result.Result)
		go func() {
			_, res := g.Enter(t.Context(), lookup(time.Minute))
			drained <- res
		}()
		synctest.Wait()
		g.Drain()
		assert.Equal(t, (<-drained).Reason, result.ServerLeaving)
		assert.Equal(t, g.Stats().Running, 1)
		first.Release()
	})
}

// Guards against callers that all retry at the same time after an outage. A server is down for 10 s.
// Callers refused late in the outage get a longer retry time than the first, and not all the same.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(admit.Limits{Slots: 4})
		first := g.RetryAfter()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			g.RetryAfter()
		}
		seen := map[time.Duration]bool{}
		for range 10 {
			last := g.RetryAfter()
			assert.Assert(t, last >= 10*time.Second && first < last)
			seen[last] = true
		}
		assert.Assert(t, len(seen) > 1)
	})
}

// Guards against failed lookups in the estimate of a class. A server fails every lookup within a
// millisecond for a while. If these counted, more lookups would be admitted than the server can answer in
// time once it works again.
func TestFailuresDoNotCountInTheEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		for range 100 {
			pass, _ := g.Enter(t.Context(), lookup(time.Minute))
			time.Sleep(100 * time.Millisecond)
			pass.Release()
		}
		before := g.Stats().Classes[0]
		for range 100 {
			pass, _ := g.Enter(t.Context(), lookup(time.Minute))
			time.Sleep(time.Millisecond)
			pass.Fail()
			pass.Release() // the second call has no effect
		}
		assert.DeepEqual(t, g.Stats().Classes[0], before)
		assert.Equal(t, g.Stats().Running, 0)
	})
}
