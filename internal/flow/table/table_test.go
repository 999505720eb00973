package table

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const maxHops = 4

// walk takes a datagram through the agents until one keeps or drops it.
func walk(now time.Time, agents map[uint32]*Table, leaving map[uint32]bool, at uint32, d Datagram) (end uint32, hops int, last Decision) {
	for {
		last = agents[at].Decide(now, d, !leaving[at])
		if last.Verdict != Forward {
			return at, d.Hops, last
		}
		at = last.Server
		d.Stage = last.Stage
		d.Hops++
	}
}

func newAgents(n uint32) map[uint32]*Table {
	m := make(map[uint32]*Table)
	for id := uint32(1); id <= n; id++ {
		m[id] = New(id, 100, maxHops)
	}
	return m
}

// A caller's first flight is two datagrams. They reach two entries, of which only
// the second has the new document and ranks server 2 first, where the first ranked
// server 1. Both datagrams must end at server 1.
func TestSecondHalfOfFirstFlightFindsItsServer(t *testing.T) {
	now := time.Unix(1000, 0)
	agents := newAgents(3)
	end, _, _ := walk(now, agents, nil, 1, Datagram{Key: 9, Candidates: []uint32{1, 2, 3}})
	assert.Equal(t, end, uint32(1))
	end, hops, _ := walk(now, agents, nil, 2, Datagram{Key: 9, Candidates: []uint32{2, 3, 1}, HasFormer: true})
	assert.Equal(t, end, uint32(1))
	assert.Equal(t, hops, 1)
}

// The same, but the flow is new: server 1 does not know it and hands it back, and
// server 2 keeps it.
func TestNewFlowIsHandedBack(t *testing.T) {
	agents := newAgents(3)
	end, hops, _ := walk(time.Unix(1000, 0), agents, nil, 2, Datagram{Key: 9, Candidates: []uint32{2, 3, 1}, HasFormer: true})
	assert.Equal(t, end, uint32(2))
	assert.Equal(t, hops, 2)
}

// A document moves a flow's choice from server 1 to server 2, and server 1 has just
// died. What server 2 asks it is lost. The caller's second attempt must be kept by
// server 2; it used to be asked about again, for as long as entries named server 1.
func TestDeadFormerChoiceIsAskedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	second := New(2, 100, maxHops)
	d := Datagram{Key: 9, Candidates: []uint32{2, 3, 1}, HasFormer: true}
	assert.Equal(t, second.Decide(now, d, true).Verdict, Forward)
	assert.Equal(t, second.Decide(now.Add(time.Millisecond), d, true).Verdict, Forward)
	assert.Equal(t, second.Decide(now.Add(300*time.Millisecond), d, true).Verdict, Keep)
}

// A server starts to leave and an entry does not know. New flows that it gets must
// go on to the next candidate; one that is half open stays.
func TestLeavingServerPassesNewFlowsOn(t *testing.T) {
	now := time.Unix(1000, 0)
	agents := newAgents(3)
	c := []uint32{1, 2, 3}
	end, _, _ := walk(now, agents, nil, 1, Datagram{Key: 5, Candidates: c})
	assert.Equal(t, end, uint32(1))
	leaving := map[uint32]bool{1: true}
	end, _, _ = walk(now, agents, leaving, 1, Datagram{Key: 5, Candidates: c})
	assert.Equal(t, end, uint32(1))
	end, _, _ = walk(now, agents, leaving, 1, Datagram{Key: 6, Candidates: c})
	assert.Equal(t, end, uint32(2))
}

// All servers leave at once. The flow is kept by one of them, which answers its
// requests "not run" instead of leaving callers without a word.
func TestAllLeavingStillAnswers(t *testing.T) {
	agents := newAgents(3)
	all := map[uint32]bool{1: true, 2: true, 3: true}
	end, _, d := walk(time.Unix(1000, 0), agents, all, 1, Datagram{Key: 6, Candidates: []uint32{1, 2, 3}})
	assert.Equal(t, d.Verdict, Keep)
	assert.Equal(t, end, uint32(3))
}

// Servers 1 and 4 leave, and server 2 is the choice of the document before. The
// datagram is asked about, handed back and passed on twice; the fourth hop used to
// drop it, and the caller heard nothing. Found by TestHopsAreBounded.
func TestLastHopKeeps(t *testing.T) {
	leaving := map[uint32]bool{1: true, 4: true}
	end, hops, d := walk(time.Unix(1000, 0), newAgents(4), leaving, 1, Datagram{Key: 1, Candidates: []uint32{1, 4, 2}, HasFormer: true})
	assert.Equal(t, d.Verdict, Keep)
	assert.Equal(t, end, uint32(2))
	assert.Equal(t, hops, maxHops)
}

// Views differ in any way: no datagram may travel more than maxHops, and one that
// names its server gets there in one hop.
func TestHopsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := newAgents(4)
		leaving := rapid.MapOf(rapid.Uint32Range(1, 4), rapid.Bool()).Draw(t, "leaving")
		for range rapid.IntRange(1, 20).Draw(t, "datagrams") {
			d := Datagram{
				Key:         rapid.Uint64Range(1, 5).Draw(t, "key"),
				NamesServer: rapid.Bool().Draw(t, "named"),
				Server:      rapid.Uint32Range(1, 4).Draw(t, "server"),
				Candidates:  rapid.SliceOfNDistinct(rapid.Uint32Range(1, 4), 1, 4, rapid.ID).Draw(t, "candidates"),
				HasFormer:   rapid.Bool().Draw(t, "asked"),
			}
			end, hops, last := walk(time.Unix(1000, 0), agents, leaving, rapid.Uint32Range(1, 4).Draw(t, "at"), d)
			assert.Assert(t, hops <= maxHops)
			assert.Equal(t, last.Verdict, Keep)
			assert.Assert(t, !d.NamesServer || end == d.Server && hops <= 1)
		}
	})
}

// Somebody floods an agent with openers. Its memory must stay bounded, and flows
// must go on to open.
func TestFloodTakesNoMemory(t *testing.T) {
	a := New(1, 100, maxHops)
	now := time.Unix(1000, 0)
	for k := range uint64(100_000) {
		now = now.Add(time.Millisecond)
		d := a.Decide(now, Datagram{Key: k, Candidates: []uint32{1}}, true)
		assert.Equal(t, d.Verdict, Keep)
		assert.Assert(t, a.Size() <= 200)
	}
}
