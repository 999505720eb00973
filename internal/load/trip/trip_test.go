package trip

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_700_000_000, 0)

// A server that aborts every request receives one flow every 400 ms, and all flows again after its first
// answer.
func TestFailingServerGetsOneFlowPerProbeInterval(t *testing.T) {
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
			assert.Assert(t, !b.RecordFailure(now), "the breaker is open already")
		}
	}
	assert.Equal(t, allowed, 4)
	b.RecordAnswer()
	assert.Assert(t, b.Allows(now))
}

// Guards against opening the breaker of a server that aborts a tenth of its requests at random, as with a
// fault in one of its code paths: its callers are better off with that server than without it.
func TestServerWithOccasionalFailuresIsNotTripped(t *testing.T) {
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

// With breakers, fewer requests fail than with placement by load alone or with random placement, if five of
// fifty servers abort every request and callers try three times. All three are compared on the same load.
func TestBreakersReduceFailures(t *testing.T) {
	const servers, failing, requests = 50, 5, 20_000
	simulate := func(choose func(*rand.Rand, []Breaker, time.Time) int) (failed int) {
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
				failed++
			}
		}
		return failed
	}
	pickIdle := func(r *rand.Rand) int { // failing servers always look idle; three in ten of the others are idle
		if r.IntN(4) == 0 {
			return r.IntN(failing)
		}
		return r.IntN(servers)
	}
	byLoad := simulate(func(r *rand.Rand, _ []Breaker, _ time.Time) int { return pickIdle(r) })
	random := simulate(func(r *rand.Rand, _ []Breaker, _ time.Time) int { return r.IntN(servers) })
	withBreakers := simulate(func(r *rand.Rand, b []Breaker, at time.Time) int {
		s := pickIdle(r)
		if !b[s].Allows(at) {
			s = r.IntN(servers) // returned and placed again
		}
		return s
	})
	t.Logf("failed of %d: by load %d, at random %d, with breakers %d", requests, byLoad, random, withBreakers)
	assert.Assert(t, withBreakers < byLoad/5 && withBreakers <= random)
}
