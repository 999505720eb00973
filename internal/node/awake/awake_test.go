package awake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A busy machine delays a tick; a stopped process misses many. Only the second
// may make a process doubt what it knows.
func TestPauseIsToldFromDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, Pause(now, now.Add(Tick)), time.Duration(0))
	assert.Equal(t, Pause(now, now.Add(Threshold-1)), time.Duration(0))
	assert.Equal(t, Pause(now, now.Add(time.Minute)), time.Minute-Tick)
}
