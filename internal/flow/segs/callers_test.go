package segs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A copy tells how long its caller has waited; one that comes after all known copies is as old as the last.
func TestCopiesTellTheAgeOfAFlow(t *testing.T) {
	c := CallerTiming{SendTimes: []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}, GiveUp: 1400 * time.Millisecond}
	assert.Equal(t, c.Age(0), time.Duration(0))
	assert.Equal(t, c.Age(2), 600*time.Millisecond)
	assert.Equal(t, c.Age(9), 600*time.Millisecond)
	assert.Equal(t, CallerTiming{}.Age(3), time.Duration(0))
	assert.Equal(t, c.OpenWindow(), 1350*time.Millisecond)
	assert.Equal(t, CallerTiming{}.OpenWindow(), time.Duration(0))
}
