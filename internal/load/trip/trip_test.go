package trip

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_700_000_000, 0)

// A server breaks off whatever comes. It gets one flow each 400 ms, and all again from its first answer.
func TestFailingServerGetsAFlowNowAndThen(t *testing.T) {
	var b Breaker
	for range failuresToTrip - 1 {
		assert.Assert(t, !b.RecordFailure(now))
		assert.Assert(t, b.Allows(now))
	}
	assert.Assert(t, b.RecordFailure(now))
	allowed := 0
	for i := range 100 {
		if b.Allows(now.Add(time.Duration(i) * 20 * time.Millisecond)) {
			allowed++
			assert.Assert(t, !b.RecordFailure(now), "it is open already")
		}
	}
	assert.Equal(t, allowed, 4)
	b.RecordAnswer()
	assert.Assert(t, b.Allows(now))
}

// A tenth of the requests is broken off, at random, as by a server with a fault in one of its paths. Its callers would rather have it.
func TestServerThatFailsNowAndThenStays(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var b Breaker
	opened := 0
	for range 10_000 {
		if random.IntN(10) > 0 {
			b.RecordAnswer()
		} else if b.RecordFailure(now) {
			opened++
		}
	}
	assert.Assert(t, opened <= 1, opened)
}

// Fifty servers, five of which break off everything for as long as the load lasts; callers try three times. Compared in the same run are
// placing by requests under way alone, which is the version before, and a random server.
func TestCallersFailLessOften(t *testing.T) {
	const servers, failing, requests = 50, 5, 20_000
	play := func(choose func(*rand.Rand, []Breaker, time.Time) int) (lost int) {
		random := rand.New(rand.NewPCG(3, 4))
		breakers := make([]Breaker, servers)
		at := now
		for range requests {
			at = at.Add(time.Millisecond)
			served := false
			for range 3 {
				s := choose(random, breakers, at)
				if s < failing {
					breakers[s].RecordFailure(at)
					continue
				}
				breakers[s].RecordAnswer()
				served = true
				break
			}
			if !served {
				lost++
			}
		}
		return lost
	}
	idle := func(r *rand.Rand) int { // three in ten of the busy ones are idle, the failing ones always
		if r.IntN(4) == 0 {
			return r.IntN(failing)
		}
		return r.IntN(servers)
	}
	byLoad := play(func(r *rand.Rand, _ []Breaker, _ time.Time) int { return idle(r) })
	random := play(func(r *rand.Rand, _ []Breaker, _ time.Time) int { return r.IntN(servers) })
	tripped := play(func(r *rand.Rand, b []Breaker, at time.Time) int {
		s := idle(r)
		if !b[s].Allows(at) {
			s = r.IntN(servers) // handed back, and placed again
		}
		return s
	})
	t.Logf("lost of %d: by load %d, at random %d, with breakers %d", requests, byLoad, random, tripped)
	assert.Assert(t, tripped < byLoad/5 && tripped <= random)
}
