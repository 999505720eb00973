package quick

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	sheet   = netip.MustParseAddrPort("198.18.0.1:443")
	archive = netip.MustParseAddrPort("198.18.0.2:443")
)

// server answers some forty requests a second.
type server struct {
	watch *Breaker
	now   time.Time
	rand  *rand.Rand
	turns int // how often the breaker turned
}

func newServer(seed uint64) *server {
	return &server{watch: New(), now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1))}
}

// good is the time of a good answer around a median.
func (s *server) good(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.5*s.rand.NormFloat64()))
}

// run lets the server answer for a while, a part of the requests by errors. While the breaker is open it gets few.
func (s *server) run(d time.Duration, called netip.AddrPort, median time.Duration, failing float64) (failed int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(25 * time.Millisecond) {
		if !s.watch.Allows(s.now) {
			continue
		}
		took := s.good(median)
		if s.rand.Float64() < failing {
			took = 4 * time.Millisecond
			failed++
		}
		if s.watch.RecordAnswer(s.now, called, took) {
			s.turns++
		}
	}
	return failed
}

// Guards against a server that fails all or some of its requests at once and gets the most flows.
func TestServerThatFailsAtOnceGetsFewFlows(t *testing.T) {
	for _, failing := range []float64{1, 0.7, 0.4} {
		for seed := range uint64(20) {
			s := newServer(seed)
			s.run(10*time.Second, sheet, 47*time.Millisecond, 0)
			failed := s.run(6*time.Second, sheet, 47*time.Millisecond, failing)
			assert.Assert(t, failed <= 40, "%d of 240 at %v, seed %d", failed, failing, seed)
			s.run(6*time.Second, sheet, 47*time.Millisecond, 0)
			assert.Assert(t, !s.watch.Open(), "it answers again, seed %d", seed)
		}
	}
}

// Guards against good servers that get no flows.
func TestGoodServerIsLeftAlone(t *testing.T) {
	for seed := range uint64(20) {
		s := newServer(seed)
		s.run(time.Minute, sheet, 47*time.Millisecond, 0)
		s.run(time.Minute, archive, 4*time.Millisecond, 0)
		assert.Equal(t, s.turns, 0, "seed %d", seed)
	}
}

// Guards against a server that looks failed after a time in which all was slow, or waited.
func TestServerIsLeftAloneAfterSlowTimes(t *testing.T) {
	for seed := range uint64(20) {
		s := newServer(seed)
		s.run(20*time.Second, sheet, 47*time.Millisecond, 0)
		s.run(6*time.Second, sheet, 400*time.Millisecond, 0)
		s.run(20*time.Second, sheet, 47*time.Millisecond, 0)
		assert.Equal(t, s.turns, 0, "seed %d", seed)
	}
}

// Guards against a service whose requests have turned short and whose servers count as failed for good.
func TestShorterRequestsAreLearned(t *testing.T) {
	s := newServer(1)
	s.run(20*time.Second, sheet, 47*time.Millisecond, 0)
	for range 2000 { // each is given to it, as all others turn flows away too
		s.now = s.now.Add(25 * time.Millisecond)
		s.watch.RecordAnswer(s.now, sheet, s.good(5*time.Millisecond))
	}
	assert.Assert(t, !s.watch.Open())
}
