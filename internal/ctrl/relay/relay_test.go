package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// inForce is the time within which a change has to be in force everywhere.
const inForce = 7 * time.Second

// A change must be in force within 7 s at all entries, and at agents that receive no packets, while the
// platform receives few calls.
func TestChangeReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.platform.texts["tracing-core1"] = "tracing-core servers=7"
		f.platform.texts["tracing-core2"] = "tracing-core servers=7 changed"
		f.platform.set("tracing-core", 1)
		f.entries(100)
		for n := range 7 {
			f.agent("tracing-core", n)
		}
		f.awaitAll(time.Minute, "tracing-core", 1)
		time.Sleep(time.Minute)
		start := time.Now()
		f.mu.Lock()
		f.calls, f.bytes = 0, 0
		f.mu.Unlock()
		f.platform.set("tracing-core", 2)
		took := f.awaitAll(inForce, "tracing-core", 2)
		t.Logf("in force everywhere after %v, %d messages, %d bytes", took, f.calls, f.bytes)
		assert.Assert(t, f.platform.peakRate(start) < 100, "%d calls in a second", f.platform.peakRate(start))
	})
}
