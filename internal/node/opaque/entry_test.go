package opaque

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/node/stamp"
)

// Guards against an entry that shuts down while routers still send to it, as they do for a second after its
// readiness has ended. The entry must run as long as packets arrive, and end soon after the last one.
func TestStopWaitsUntilPacketsCease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lastPacket stamp.Time
		began := time.Now()
		go func() {
			for range 20 {
				lastPacket.Set(time.Now())
				time.Sleep(50 * time.Millisecond)
			}
		}()
		waitNoPackets(&lastPacket, 5*time.Second)
		took := time.Since(began)
		assert.Assert(t, took > time.Second+stopIdle-2*stopPollEvery && took < time.Second+stopIdle+2*stopPollEvery, "%s", took)
	})
}

// Guards against a shutdown that never ends because routers keep sending to the entry, as they do if too
// few other entries are ready. The entry must end within its limit.
func TestStopEndsWhileCallersGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lastPacket stamp.Time
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
					lastPacket.Set(time.Now())
				}
			}
		}()
		began := time.Now()
		waitNoPackets(&lastPacket, 5*time.Second)
		close(done)
		assert.Assert(t, time.Since(began) <= 5*time.Second+stopPollEvery)
	})
}
