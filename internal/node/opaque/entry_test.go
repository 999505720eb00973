package opaque

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/node/stamp"
)

// An entry is asked to stop. The routers go on sending to it for a second, and then do not; it must stay for
// as long as packets come, and end soon after.
func TestStopWaitsUntilPacketsCease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var used stamp.Time
		began := time.Now()
		go func() {
			for range 20 {
				used.Set(time.Now())
				time.Sleep(50 * time.Millisecond)
			}
		}()
		waitNoPackets(&used, 5*time.Second)
		took := time.Since(began)
		assert.Assert(t, took > time.Second+stopIdle-2*stopPollEvery && took < time.Second+stopIdle+2*stopPollEvery, "%s", took)
	})
}

// The routers never stop, because too few other entries are ready. The entry ends in time by itself.
func TestStopEndsWhileCallersGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var used stamp.Time
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
					used.Set(time.Now())
				}
			}
		}()
		began := time.Now()
		waitNoPackets(&used, 5*time.Second)
		close(done)
		assert.Assert(t, time.Since(began) <= 5*time.Second+stopPollEvery)
	})
}
