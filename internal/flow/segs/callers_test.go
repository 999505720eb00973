package segs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The number of copies gives the time for which a caller has waited. Any copy after the last known one has
// the age of that one.
func TestAgeFollowsFromCopies(t *testing.T) {
	c := CallerTiming{SendTimes: []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}, GiveUp: 1400 * time.Millisecond}
	assert.Equal(t, c.Age(0), time.Duration(0))
	assert.Equal(t, c.Age(2), 600*time.Millisecond)
	assert.Equal(t, c.Age(9), 600*time.Millisecond)
	assert.Equal(t, CallerTiming{}.Age(3), time.Duration(0))
	assert.Equal(t, c.OpenWindow(), 1350*time.Millisecond)
	assert.Equal(t, CallerTiming{}.OpenWindow(), time.Duration(0))
}
