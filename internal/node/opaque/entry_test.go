package opaque

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// An entry is asked to stop. The routers go on sending to it for a second, and then do not; it must stay for
// as long as packets come, and end soon after.
func TestStopWaitsUntilPacketsCease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuiet(time.Now())
		began := time.Now()
		go func() {
			for range 20 {
				q.note(time.Now())
				time.Sleep(50 * time.Millisecond)
			}
		}()
		q.wait(5 * time.Second)
		took := time.Since(began)
		assert.Assert(t, took > time.Second+quietFor-2*stopStep && took < time.Second+quietFor+2*stopStep, "%s", took)
	})
}

// The routers never stop, because too few other entries are ready. The entry ends in time by itself.
func TestStopEndsWhileCallersGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuiet(time.Now())
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
					q.note(time.Now())
				}
			}
		}()
		began := time.Now()
		q.wait(5 * time.Second)
		close(done)
		assert.Assert(t, time.Since(began) <= 5*time.Second+stopStep)
	})
}

// The time of day jumps ahead while packets come. Only the steady clock counts, so the entry isn't taken for quiet.
func TestJumpOfTheTimeOfDayIsNoSilence(t *testing.T) {
	start := time.Now()
	q := newQuiet(start)
	q.note(start.Add(time.Second))
	assert.Equal(t, q.since(start.Add(1200*time.Millisecond)), 200*time.Millisecond)
	assert.Equal(t, time.Duration(q.last.Load()), time.Second, "counted from the start, not by the time of day")
}
