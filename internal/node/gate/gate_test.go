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

// Ten callers' lookups of 10 ms come at once before one slot and a queue of four. Five run,
// never two at a time; five are refused the moment they come.
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

// A caller goes away while its lookup waits. The lookup behind it must get the
// slot, and the slot must not be lost with the one that left.
func TestGoneCallerFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		first, _ := g.Enter(t.Context(), lookup(time.Second))
		ctx, leave := context.WithCancel(t.Context())
		gone := make(chan result.Result)
		go func() {
			_, res := g.Enter(ctx, lookup(time.Second))
			gone <- res
		}()
		synctest.Wait()
		leave()
		assert.Equal(t, (<-gone).Reason, result.Gone)
		first.Release()
		next, _ := g.Enter(t.Context(), lookup(time.Second))
		assert.Assert(t, next != nil)
		next.Release()
		assert.Equal(t, g.Stats().Running, 0)
	})
}

// A lookup waits behind one that takes too long. It is answered when it can no
// longer make its deadline, not when the slot is free.
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

// The server is told to leave while work waits. All of it comes back at once as not
// run, to be placed elsewhere; what runs goes on.
func TestDrainGivesWaitingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		first, _ := g.Enter(t.Context(), lookup(time.Minute))
		back := make(chan result.Result)
		go func() {
			_, res := g.Enter(t.Context(), lookup(time.Minute))
			back <- res
		}()
		synctest.Wait()
		g.Drain()
		assert.Equal(t, (<-back).Reason, result.LeavingServer)
		assert.Equal(t, g.Stats().Running, 1)
		first.Release()
	})
}

// Story: a server is down for ten seconds. Those who come late in the outage are told to stay away
// for longer than the first, and not all for the same time.
func TestComeBackFollowsTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(admit.Limits{Slots: 4})
		first := g.RetryAfter()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			g.RetryAfter()
		}
		told := map[time.Duration]bool{}
		for range 10 {
			last := g.RetryAfter()
			assert.Assert(t, last >= 10*time.Second && first < last)
			told[last] = true
		}
		assert.Assert(t, len(told) > 1)
	})
}

// A server fails every lookup in a millisecond for a while. Its estimate must stay what
// answered lookups took: else, once the server is well, more is let in than it can
// answer in time.
func TestFailuresMeasureNothing(t *testing.T) {
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
			pass.Release() // the second call counts for nothing
		}
		assert.DeepEqual(t, g.Stats().Classes[0], before)
		assert.Equal(t, g.Stats().Running, 0)
	})
}
