package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/usage"
)

var now = time.Unix(1_700_000_000, 0)

// onlyDomain is the share of entries where there is one failure domain.
func onlyDomain() float64 { return 1 }

func newTestShares() *shares {
	return newShares(&Config{Shares: &usage.Callers{SiteBits: 32}})
}

// flowOf returns the nth flow of a caller.
func flowOf(caller byte, n int) segs.Flow {
	return segs.Flow{Caller: [4]byte{100, 64, 0, caller}, CallerPort: uint16(n), Port: 443}
}

// Guards against an entry that counts callers' use, or panics, where its settings ask for no shares or switch them off.
func TestNothingIsCountedWithoutSettings(t *testing.T) {
	for _, s := range []*shares{newShares(&Config{}), newShares(&Config{Shares: &usage.Callers{}, Off: parts.Off{Shares: true}})} {
		assert.Assert(t, s == nil)
		assert.Equal(t, s.open(now, flowOf(1, 1)), uint8(0))
		s.charge(now, flowOf(1, 1))
		s.tick(now, onlyDomain)
		_, _, first := s.refuse(now, flowOf(1, 1), now, true)
		assert.Assert(t, !first)
	}
}

// Guards against a caller that is charged for flows which no server has opened, and against flows and
// requests that are charged twice, or not at all because the message Opened was lost.
func TestOnlyOpenFlowsAndTheirRequestsAreCharged(t *testing.T) {
	e := &Entry{shares: newTestShares()}
	use := func() (requests float64) {
		for _, u := range e.shares.counter.Heaviest(now, 1) {
			requests = u.Requests
		}
		return requests
	}
	for n := range 20 {
		e.shares.open(now, flowOf(1, n))
		e.shares.refuse(now, flowOf(1, n), now.Add(time.Second), true)
	}
	assert.Equal(t, use(), 0.0)
	p, lost := &owner.EntryFlow{}, &owner.EntryFlow{}
	e.chargeOpened(now, p, flowOf(1, 1))
	e.chargeOpened(now, p, flowOf(1, 1))
	p.Requests = 1
	e.chargeRequest(now, p, flowOf(1, 1))
	assert.Equal(t, use(), 1.0)
	p.Requests = 2
	e.chargeRequest(now, p, flowOf(1, 1))
	assert.Equal(t, use(), 2.0)
	lost.Requests = 1
	e.chargeRequest(now, lost, flowOf(1, 2))
	e.chargeOpened(now, lost, flowOf(1, 2))
	assert.Equal(t, use(), 3.0)
}

// Guards against a refused caller whose next flow isn't seen as a retry, and against new flows that are.
func TestFlowAfterARefusalIsARetry(t *testing.T) {
	s := newTestShares()
	count := func(at time.Time, f segs.Flow) uint64 {
		before := retried.Get()
		s.open(at, f)
		return retried.Get() - before
	}
	assert.Equal(t, count(now, flowOf(1, 1)), uint64(0))
	s.refuse(now, flowOf(1, 1), now.Add(time.Second), true)
	assert.Equal(t, count(now, flowOf(2, 1)), uint64(0), "another caller")
	other := flowOf(1, 2)
	other.Port = 80
	assert.Equal(t, count(now, other), uint64(0), "another address")
	assert.Equal(t, count(now, flowOf(1, 3)), uint64(1))
	assert.Equal(t, count(now, flowOf(1, 4)), uint64(0), "only one flow was refused")
	s.refuse(now, flowOf(1, 4), now.Add(time.Second), true)
	assert.Equal(t, count(now.Add(time.Second), flowOf(1, 5)), uint64(0), "too late")
}

// Guards against a line for each refusal, and against memory that grows with the number of callers.
func TestExclusionIsReportedOnce(t *testing.T) {
	s := newTestShares()
	for n := range 20 {
		s.charge(now, flowOf(1, n))
	}
	_, level, first := s.refuse(now, flowOf(1, 1), now, false)
	assert.Assert(t, level > 0 && !first, "a refusal for another reason")
	reported := 0
	for caller := range 2 * maxExcluded {
		for n := range 20 {
			s.charge(now, flowOf(byte(caller), n))
		}
		for n := range 10 {
			if _, _, first := s.refuse(now, flowOf(byte(caller), n), now.Add(time.Second), true); first {
				reported++
			}
		}
	}
	assert.Equal(t, reported, maxExcluded)
	s.open(now, flowOf(250, 1))
	_, level, first = s.refuse(now, flowOf(250, 1), now, true)
	assert.Assert(t, level == 0 && !first, "a caller that uses little")
	for i := range 2 * maxRefused {
		f := segs.Flow{Caller: [4]byte{100, 65, byte(i >> 8), byte(i)}}
		s.open(now, f)
		s.refuse(now, f, now.Add(time.Second), true)
	}
	assert.Equal(t, len(s.refused), maxRefused)
	s.tick(now.Add(2*exclusionTime), onlyDomain)
	assert.Assert(t, len(s.refused) == 0 && len(s.excluded) == 0)
}
