package route

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func servers(n int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: uint32(i + 1), Weight: 1})
	}
	return list
}

func choice(t Table, key uint64) uint32 { return t.Choose(nil, key, 1).Server }

// Shares of new flows follow the weights, for imbalance is what the registry
// weighs most. 200,000 keys give a standard error under 0.2 percent here.
func TestSharesFollowWeights(t *testing.T) {
	list := servers(7)
	list[2].Weight = 3
	count := make(map[uint32]float64)
	const keys = 200_000
	for k := range uint64(keys) {
		count[choice(Table{Current: list}, mix(k))]++
	}
	for _, s := range list {
		want := s.Weight / 9
		got := count[s.ID] / keys
		assert.Assert(t, math.Abs(got-want) < 0.01*want+0.003, "server %d: %f, want %f", s.ID, got, want)
	}
}

// A server joins while flows are half open. Only flows that the new server takes
// may change hands; all others must be chosen as before.
func TestJoinMovesOnlyItsShare(t *testing.T) {
	before, after := Table{Current: servers(7)}, Table{Current: servers(8)}
	moved := 0
	for k := range uint64(20_000) {
		a, b := choice(before, mix(k)), choice(after, mix(k))
		if a != b {
			assert.Equal(t, b, uint32(8))
			moved++
		}
	}
	assert.Assert(t, moved > 2000 && moved < 3000, "moved %d of 20000, want about 2500", moved)
}

// A server leaves by its own word. No new flow goes to it while another serves;
// when all leave, one is still named, so that callers get an answer.
func TestLeavingServerIsLastChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(5)
		all := true
		for i := range list {
			list[i].Leaving = rapid.Bool().Draw(t, "leaving")
			all = all && list[i].Leaving
		}
		c := (&Table{Current: list}).Choose(nil, rapid.Uint64().Draw(t, "key"), 3)
		assert.Equal(t, len(c.Candidates), 3)
		assert.Assert(t, all || !list[c.Server-1].Leaving)
	})
}

// Two entries have two documents. The one with the newer must also name the
// server that the older one's flows went to, or the second half of a first flight
// is lost at the wrong server.
func TestFormerChoiceIsNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.Uint64().Draw(t, "key")
		now := Table{Current: servers(8), Previous: servers(7)}
		former := choice(Table{Current: servers(7)}, key)
		c := now.Choose(nil, key, 3)
		assert.Assert(t, c.Server == former || c.HasFormer && last(c.Candidates) == former, "%+v lacks %d", c, former)
		assert.Assert(t, len(c.Candidates) <= 4)
	})
}

func last(ids []uint32) uint32 { return ids[len(ids)-1] }

// A server dies without a word. Callers' first attempts vanish; after three in
// half a second the entry passes it over, tries it again now and then, and takes
// it back at its first frame.
func TestSilentServerIsPassedOver(t *testing.T) {
	w := NewDetector()
	w.Retain([]uint32{1, 2, 3, 4})
	now := time.Unix(1000, 0)
	assert.Assert(t, !w.SentOpening(now, 2))
	assert.Assert(t, !w.SentOpening(now.Add(UnresponsiveAfter/2), 2))
	now = now.Add(UnresponsiveAfter)
	assert.Assert(t, w.SentOpening(now, 2))
	assert.Assert(t, w.Unresponsive(now, 2))
	now = now.Add(RetryAfter)
	assert.Assert(t, !w.Unresponsive(now, 2))
	w.SentOpening(now, 2)
	assert.Assert(t, w.Unresponsive(now, 2))
	assert.Assert(t, w.Received(now, 2))
	assert.Assert(t, !w.Unresponsive(now, 2))
}

// An entry loses its own link and hears nobody. If it condemned all servers but
// one, that one would get all flows once the link is back.
func TestSilenceOfMostIsNotBelieved(t *testing.T) {
	w := NewDetector()
	w.Retain([]uint32{1, 2, 3, 4})
	now := time.Unix(1000, 0)
	silent := 0
	for range 20 {
		now = now.Add(UnresponsiveAfter)
		for id := range uint32(4) {
			if w.SentOpening(now, id+1) {
				silent++
			}
		}
	}
	assert.Equal(t, silent, 2)
}
