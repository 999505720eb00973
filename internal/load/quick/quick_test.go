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
	lookups = netip.MustParseAddrPort("198.18.0.1:443")
	uploads = netip.MustParseAddrPort("198.18.0.2:443")
)

// server simulates a server that answers about forty requests per second.
type server struct {
	breaker     *Breaker
	now         time.Time
	rand        *rand.Rand
	transitions int // number of times the breaker opened or closed
}

func newServer(seed uint64) *server {
	return &server{breaker: New(), now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1))}
}

// good returns the duration of a good answer, distributed around a median.
func (s *server) good(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.5*s.rand.NormFloat64()))
}

// run lets the server answer requests for a while, some of them with errors, and returns the number of
// errors. While the breaker is open the server receives few requests.
func (s *server) run(d time.Duration, called netip.AddrPort, median time.Duration, failing float64) (failed int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(25 * time.Millisecond) {
		if !s.breaker.Allows(s.now) {
			continue
		}
		took := s.good(median)
		if s.rand.Float64() < failing {
			took = 4 * time.Millisecond
			failed++
		}
		if s.breaker.RecordAnswer(s.now, called, took, true) {
			s.transitions++
		}
	}
	return failed
}

// Guards against placing the most flows on a server that fails all or some of its requests immediately.
func TestServerThatFailsImmediatelyGetsFewFlows(t *testing.T) {
	for _, failing := range []float64{1, 0.7, 0.4} {
		for seed := range uint64(20) {
			s := newServer(seed)
			s.run(10*time.Second, lookups, 47*time.Millisecond, 0)
			failed := s.run(6*time.Second, lookups, 47*time.Millisecond, failing)
			assert.Assert(t, failed <= 40, "%d of 240 at %v, seed %d", failed, failing, seed)
			s.run(6*time.Second, lookups, 47*time.Millisecond, 0)
			assert.Assert(t, !s.breaker.Open(), "breaker still open although the server has recovered, seed %d", seed)
		}
	}
}

// Guards against opening the breaker of a good server.
func TestBreakerStaysClosedForGoodServer(t *testing.T) {
	for seed := range uint64(20) {
		s := newServer(seed)
		s.run(time.Minute, lookups, 47*time.Millisecond, 0)
		s.run(time.Minute, uploads, 4*time.Millisecond, 0)
		assert.Equal(t, s.transitions, 0, "seed %d", seed)
	}
}

// Guards against opening the breaker when answers return to normal after a period in which all of them
// were slow or queued.
func TestBreakerStaysClosedAfterSlowPeriod(t *testing.T) {
	for seed := range uint64(20) {
		s := newServer(seed)
		s.run(20*time.Second, lookups, 47*time.Millisecond, 0)
		s.run(6*time.Second, lookups, 400*time.Millisecond, 0)
		s.run(20*time.Second, lookups, 47*time.Millisecond, 0)
		assert.Equal(t, s.transitions, 0, "seed %d", seed)
	}
}

// Guards against a breaker that never closes again after all requests of a service have become short.
func TestShorterRequestsAreLearned(t *testing.T) {
	s := newServer(1)
	s.run(20*time.Second, lookups, 47*time.Millisecond, 0)
	for range 2000 { // every flow is placed here because all other servers return it too
		s.now = s.now.Add(25 * time.Millisecond)
		s.breaker.RecordAnswer(s.now, lookups, s.good(5*time.Millisecond), true)
	}
	assert.Assert(t, !s.breaker.Open())
}

// Guards against taking a server that is full, and answers at once that it has not run a request, for one that
// fails its requests: agents would return new flows just when there is no room elsewhere.
func TestBreakerStaysClosedForFullServer(t *testing.T) {
	s := newServer(1)
	s.run(20*time.Second, lookups, 47*time.Millisecond, 0)
	learned := *s.breaker.kinds[lookups]
	full := func(free bool) (changed bool) {
		for range 200 {
			s.now = s.now.Add(25 * time.Millisecond)
			changed = s.breaker.RecordAnswer(s.now, lookups, s.good(150*time.Millisecond), free) || changed
			changed = s.breaker.RecordAnswer(s.now, lookups, time.Millisecond, free) || changed
			changed = s.breaker.RecordAnswer(s.now, lookups, time.Millisecond, free) || changed
		}
		return changed
	}
	assert.Assert(t, !full(false))
	assert.Equal(t, *s.breaker.kinds[lookups], learned, "what is not judged is not learned")
	assert.Assert(t, full(true), "the same answers of a server with free slots open the breaker")
}

// Guards against a server that fails at once and is not noticed because it refused requests while it was full: the
// breaker must open after as few answers as if it had never been full.
func TestFailureIsNoticedAfterFullPeriod(t *testing.T) {
	for seed := range uint64(20) {
		s := newServer(seed)
		s.run(20*time.Second, lookups, 47*time.Millisecond, 0)
		for range 1000 {
			s.breaker.RecordAnswer(s.now, lookups, time.Millisecond, false)
		}
		for range 3 {
			assert.Assert(t, !s.breaker.Open())
			s.breaker.RecordAnswer(s.now, lookups, 4*time.Millisecond, true)
		}
		assert.Assert(t, s.breaker.Open(), "seed %d", seed)
	}
}
