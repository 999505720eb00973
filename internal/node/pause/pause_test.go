package pause

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a tick that is delayed on a busy machine and counts as a pause, and against a pause that
// is missed.
func TestPauseIsDistinguishedFromDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, Pause(now, now.Add(Tick)), time.Duration(0))
	assert.Equal(t, Pause(now, now.Add(Threshold-1)), time.Duration(0))
	assert.Equal(t, Pause(now, now.Add(time.Minute)), time.Minute-Tick)
}
