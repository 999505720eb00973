package warm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

// Guards against a cold server that gets more than it bears in some second, wherever that second begins.
func TestNoSecondHasMoreThanStated(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(0.2, 40).Draw(r, "rate")
		var l Limiter
		l.SetCold(now, 10*time.Second)
		var taken []time.Time
		at := now
		for range 200 {
			at = at.Add(time.Duration(rapid.IntRange(0, 60).Draw(r, "ms")) * time.Millisecond)
			if l.Allows(at, rate) {
				l.Record(at)
				taken = append(taken, at)
			}
		}
		most := max(1, int(rate))
		for i := range taken {
			if j := i + most; j < len(taken) {
				assert.Assert(r, taken[j].Sub(taken[i]) >= window)
			}
		}
	})
}

// Guards against a service without a stated rate, or a warm server, that is limited.
func TestNothingIsLimitedWithoutARateOrWhenWarm(t *testing.T) {
	var l Limiter
	for range 100 {
		assert.Assert(t, l.Allows(now, 5), "warm")
		l.Record(now)
	}
	l.SetCold(now, time.Second)
	assert.Assert(t, !l.Allows(now, 5))
	assert.Assert(t, l.Allows(now, 0), "no rate")
	assert.Assert(t, l.Allows(now.Add(time.Second), 5), "warm again")
}

// Guards against a server that is taken for warm because an older word said so.
func TestColdAtLeast(t *testing.T) {
	var l Limiter
	l.ExtendCold(now, 2*time.Second)
	l.ExtendCold(now, time.Second)
	assert.Assert(t, l.Cold(now.Add(1500*time.Millisecond)))
	l.SetCold(now, 0)
	assert.Assert(t, !l.Cold(now))
}
