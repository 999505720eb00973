package speed

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	called  = netip.MustParseAddrPort("198.18.0.1:443")
	another = netip.MustParseAddrPort("198.18.0.2:443")
)

const (
	usual    = 40 * time.Millisecond
	interval = 25 * time.Millisecond
)

// sample returns a request's time: about usual, and seven times that for the given part of the requests.
func sample(random *rand.Rand, tail float64) time.Duration {
	t := float64(usual) * math.Exp(0.25*random.NormFloat64())
	if random.Float64() < tail {
		t *= 7
	}
	return time.Duration(t)
}

// spread returns the standard deviation of an estimate over its mean.
func spread(estimates []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, e := range estimates {
		sum += e
		squares += e * e
	}
	n := float64(len(estimates))
	return math.Sqrt(squares/n-sum*sum/n/n) / (sum / n)
}

// Guards against estimates that are spread more by a few long requests than by the servers' speeds. An estimate
// compares servers, so what counts is how far it strays from its own mean. Without a tail the geometric
// and the arithmetic mean stray equally; if 3% of the requests take seven times as long, the geometric one strays half
// as much, and less than servers differ.
func TestTailHardlyMovesTheEstimate(t *testing.T) {
	for _, tail := range []float64{0, 0.03} {
		random := rand.New(rand.NewPCG(1, 2))
		var m Meter
		now, arithmetic := start, usual.Seconds()
		var geometrics, arithmetics []float64
		for i := range 20_000 {
			now = now.Add(interval)
			took := sample(random, tail)
			m.Record(now, called, took)
			arithmetic += minWeight * (took.Seconds() - arithmetic)
			if i > 200 {
				geometrics = append(geometrics, m.Overall(now, nil).Seconds())
				arithmetics = append(arithmetics, arithmetic)
			}
		}
		g, a := spread(geometrics), spread(arithmetics)
		t.Logf("tail %.2f: geometric %.3f, arithmetic %.3f", tail, g, a)
		assert.Assert(t, g < 0.08)
		if tail == 0 {
			assert.Assert(t, g < 1.1*a)
		} else {
			assert.Assert(t, g < 0.6*a)
		}
	}
}

// Guards against a slow-down that stays unnoticed: after as many requests as the mean extends over, a server that
// takes three times as long is seen to take at least twice as long.
func TestSlowDownIsSeenWithinTheWindow(t *testing.T) {
	var m Meter
	now := start
	for range 100 {
		now = now.Add(interval)
		m.Record(now, called, usual)
	}
	for range 24 {
		now = now.Add(interval)
		m.Record(now, called, 3*usual)
	}
	assert.Assert(t, m.Overall(now, nil) > 2*usual*95/100)
}

// inProgress returns that the oldest request in progress to each address has lasted for the given time.
func inProgress(lasted time.Duration) func(netip.AddrPort) time.Duration {
	return func(netip.AddrPort) time.Duration { return lasted }
}

// Guards against a sudden slow-down that shows only with the first answer. A request in progress counts once it has lasted longer than expected, and more if no answer has come for a while.
func TestRequestInProgressCounts(t *testing.T) {
	var m Meter
	now := start
	for range 100 {
		now = now.Add(interval)
		m.Record(now, called, usual)
	}
	before := m.Overall(now, nil)
	assert.Equal(t, m.Overall(now, inProgress(usual/2)), before)
	assert.Assert(t, m.Overall(now, inProgress(7*usual)) < before*11/10, "one of the tail among many answers")
	later := now.Add(pause)
	assert.Assert(t, m.Overall(later, inProgress(pause)) > 2*before, "no answer for a while")
}

// Guards against a server that counts as slow long after its recovery because it is seldom used.
func TestRecoveryIsSeenByAFewAnswers(t *testing.T) {
	var m Meter
	now := start
	for range 100 {
		now = now.Add(interval)
		m.Record(now, called, 10*usual)
	}
	for range 8 {
		now = now.Add(pause)
		m.Record(now, called, usual)
	}
	assert.Assert(t, m.Overall(now, nil) < usual*13/10)
}

// Guards against an agent that reports what it measured minutes ago as if it were new. A request in progress that takes
// longer than expected still says that the server is slow, and the first answer afterwards counts as after a start.
func TestOldSamplesAreForgotten(t *testing.T) {
	var m Meter
	for i := range 100 {
		m.Record(start.Add(time.Duration(i-99)*interval), called, 8*usual)
	}
	before := m.Overall(start.Add(sampleLifetime-1), nil)
	assert.Assert(t, before > 7*usual)
	later := start.Add(sampleLifetime)
	assert.Equal(t, m.Overall(later, nil), time.Duration(0))
	assert.Equal(t, m.Overall(later, inProgress(usual)), time.Duration(0))
	assert.Assert(t, m.Overall(later, inProgress(sampleLifetime)) > before)
	m.Record(later, another, 3*usual)
	assert.Assert(t, m.Overall(later, nil).Round(time.Microsecond) == 3*usual, "only the address with a sample counts")
	m.Record(later, called, usual)
	assert.Assert(t, m.Overall(later, nil) < usual*11/10, "the samples before have no weight")
}

// Guards against an overall figure in which an address that is seldom called counts as much as one that is often.
func TestOverallIsWeightedByShare(t *testing.T) {
	var m Meter
	now := start
	assert.Equal(t, m.Overall(now, nil), time.Duration(0))
	for i := range 4000 {
		now = now.Add(interval)
		if i%4 == 0 {
			m.Record(now, another, 100*time.Millisecond)
		} else {
			m.Record(now, called, 20*time.Millisecond)
		}
	}
	overall := m.Overall(now, nil)
	assert.Assert(t, overall > 39*time.Millisecond && overall < 41*time.Millisecond, "%v", overall)
	m.Reset()
	assert.Equal(t, m.Overall(now, nil), time.Duration(0))
}

// Guards against memory that grows with the called addresses, and against estimates outside of what was measured.
func TestEstimatesStayWithinSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Meter
		now, least, most := start, time.Duration(math.MaxInt64), time.Duration(0)
		for range rapid.IntRange(1, 600).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "gap")))
			took := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "took"))
			port := rapid.Uint16Range(1, 400).Draw(t, "port")
			m.Record(now, netip.AddrPortFrom(called.Addr(), port), took)
			least, most = min(least, took), max(most, took)
		}
		assert.Assert(t, len(m.kinds) <= maxAddresses)
		overall := m.Overall(now, nil)
		assert.Assert(t, overall >= least-least/1000-1 && overall <= most+most/1000, "%v of %v to %v", overall, least, most)
	})
}
