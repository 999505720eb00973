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

// Each server's share of new flows must equal its share of the weights, because an even load is the
// requirement with the greatest weight. With 200,000 keys the standard error is under 0.2 percent.
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

// A server joins while flows are half open. Only flows that the new server takes may move; all others must
// stay.
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

// A leaving server must not be chosen while there is another one. If all servers leave, one must still be
// named, so that callers get an answer.
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

// Two entries have different documents. The one with the newer document must also name the server to which
// the other one sends a flow, or the second half of a first flight is lost at the wrong server.
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

// A server fails, and callers' first attempts remain without an answer. After three of them within half a
// second, the entry must send it no new flows except for one from time to time, and use it again after its
// first frame.
func TestSilentServerIsPassedOver(t *testing.T) {
	d := NewDetector()
	d.Retain([]uint32{1, 2, 3, 4})
	now := time.Unix(1000, 0)
	assert.Assert(t, !d.SentOpening(now, 2))
	assert.Assert(t, !d.SentOpening(now.Add(UnresponsiveAfter/2), 2))
	now = now.Add(UnresponsiveAfter)
	assert.Assert(t, d.SentOpening(now, 2))
	assert.Assert(t, d.Unresponsive(now, 2))
	now = now.Add(RetryAfter)
	assert.Assert(t, !d.Unresponsive(now, 2))
	d.SentOpening(now, 2)
	assert.Assert(t, d.Unresponsive(now, 2))
	assert.Assert(t, d.Received(now, 2))
	assert.Assert(t, !d.Unresponsive(now, 2))
}

// An entry loses its own link and receives no frames. If all servers but one counted as unresponsive, that
// one would get all flows when the link is back.
func TestUnresponsiveServersAreBounded(t *testing.T) {
	d := NewDetector()
	d.Retain([]uint32{1, 2, 3, 4})
	now := time.Unix(1000, 0)
	unresponsive := 0
	for range 20 {
		now = now.Add(UnresponsiveAfter)
		for id := range uint32(4) {
			if d.SentOpening(now, id+1) {
				unresponsive++
			}
		}
	}
	assert.Equal(t, unresponsive, 2)
}
