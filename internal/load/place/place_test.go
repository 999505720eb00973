package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

// quiet is a server with idle slots that works like the others.
var quiet = Hint{Running: 1, Utilization: 0.3, Service: 20 * time.Millisecond}

// full is a server without an idle slot.
var full = Hint{Running: 4, Waiting: 2, Utilization: 0.3, Service: 20 * time.Millisecond}

// seven is the placer of server 1 of seven in three failure domains, with a fresh report of each peer.
func seven() *Placer {
	p := New(Self{ID: 1, Domain: "zg-a"}, rand.New(rand.NewPCG(1, 2)))
	var servers []Server
	for id := uint32(1); id <= 7; id++ {
		servers = append(servers, Server{ID: id, Slots: 4, Domain: []string{"zg-c", "zg-a", "zg-b"}[id%3]})
	}
	p.SetServers(now, servers)
	for id := uint32(2); id <= 7; id++ {
		p.Report(now, id, quiet)
	}
	return p
}

// spread counts where n requests go that all start at once.
func spread(p *Placer, own Hint, n int) map[uint32]int {
	counts := map[uint32]int{}
	for range n {
		c := p.Choose(now, own, nil)
		counts[c.Server]++
		p.Sent(c.Server)
	}
	return counts
}

func TestOwnServerFirst(t *testing.T) {
	assert.Equal(t, seven().Choose(now, quiet, nil), Choice{1, Own})
}

func TestFullServerPassesOnToIdlePeers(t *testing.T) {
	counts := spread(seven(), full, 12)
	assert.Equal(t, counts[1], 0)
	for id, n := range counts {
		assert.Assert(t, n <= 3, "server %d got %d of 12", id, n) // 3 slots are idle there
	}
}

func TestNearPeerAmongEqualOnes(t *testing.T) {
	p, near := seven(), 0
	for range 100 {
		if c := p.Choose(now, full, nil); c.Server == 4 || c.Server == 7 {
			near++ // the two peers in zg-a; two choices meet one of them in 9 of 15 pairs
		}
	}
	assert.Assert(t, near > 45 && near < 75, near)
}

// Two servers are twice as busy as the rest. The own server, the busiest, passes on
// work although it has an idle slot, or one fund's callers would wait longer than another's.
func TestBusierServerGivesWork(t *testing.T) {
	own := quiet
	own.Utilization = 0.6
	assert.Equal(t, seven().Choose(now, own, nil).Reason, Balance)
}

// A server turned five times slower. It has idle slots, but its requests are placed elsewhere.
func TestSlowOwnServerPassesOn(t *testing.T) {
	own := quiet
	own.Service = 100 * time.Millisecond
	assert.Equal(t, seven().Choose(now, own, nil).Reason, Slow)
}

// A peer reports four idle slots for ever and refuses whatever it is sent. It is
// asked less and less often, not with every request.
func TestLyingReportIsOutweighedByRefusals(t *testing.T) {
	p, asked := seven(), 0
	for n := range 1000 {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		for id := uint32(2); id <= 7; id++ {
			p.Report(at, id, quiet)
		}
		p.Report(at, 3, Hint{Service: time.Millisecond})
		c := p.Choose(at, full, nil)
		p.Sent(c.Server)
		if c.Server == 3 {
			asked++
			p.Ended(at, 3, Shed, time.Millisecond)
			continue
		}
		p.Ended(at, c.Server, Answered, 20*time.Millisecond)
	}
	assert.Assert(t, asked < 20, asked)
}

// A server answers 500 within a millisecond, so it always looks idle and would draw the
// service's requests. It is ejected, comes back for a probe, and is out longer each time.
func TestFailFastServerIsEjected(t *testing.T) {
	p, failed := seven(), 0
	for n := range 3000 {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		for id := uint32(2); id <= 7; id++ {
			p.Report(at, id, quiet)
		}
		c := p.Choose(at, full, nil)
		p.Sent(c.Server)
		if c.Server != 3 {
			p.Ended(at, c.Server, Answered, 20*time.Millisecond)
			continue
		}
		failed++
		p.Ended(at, 3, Failed, time.Millisecond)
	}
	assert.Assert(t, failed < 40, failed)
}

// The fault is in front of all servers, so all of them fail. Were all ejected, the
// one that is left would get everything.
func TestEjectionHasACeiling(t *testing.T) {
	p := seven()
	for id := uint32(1); id <= 7; id++ {
		for range 10 {
			p.Sent(id)
			p.Ended(now, id, Failed, time.Millisecond)
		}
	}
	assert.Equal(t, len(p.Ejected(now)), 3)
}

// Three of seven servers crash. None of their agents may go on sending callers'
// requests into the void because no more than half of the servers may be ejected.
func TestUnreachableServersAreOutBeyondTheCeiling(t *testing.T) {
	p := seven()
	for _, id := range []uint32{1, 3, 5} {
		p.Sent(id)
		p.Ended(now, id, Unreachable, time.Millisecond)
	}
	assert.Assert(t, p.Down(now))
	counts := spread(p, quiet, 100)
	assert.Equal(t, counts[1]+counts[3]+counts[5], 0)
	assert.Equal(t, p.Choose(now.Add(firstDown), quiet, nil), Choice{1, Own}) // tried again
}

// Callers of this agent hold a hundred feeds open. They take no slot, so its server is not full.
func TestOpenFeedsDoNotFillTheOwnServer(t *testing.T) {
	p := seven()
	for range 100 {
		p.Sent(1)
	}
	assert.Equal(t, p.Choose(now, quiet, nil), Choice{1, Own})
}

// A server joins with empty caches. It gets one request at a time first, not as many as it has slots.
func TestColdServerStartsSlowly(t *testing.T) {
	p := seven()
	p.Joined(now, 5)
	p.Report(now, 5, Hint{})
	assert.Assert(t, spread(p, full, 10)[5] <= 1)
	assert.Equal(t, p.state(5).open(now.Add(Default.SlowStart), Default), 4.0)
}

// All hold the same old report that one server is idle. None of them sends it more
// than its slots, and the report fades.
func TestOldReportDrawsNoMoreThanItsSlots(t *testing.T) {
	p := seven()
	for id := uint32(2); id <= 7; id++ {
		p.Report(now, id, full)
	}
	p.Report(now, 6, Hint{Service: 20 * time.Millisecond})
	own := full
	own.Waiting = 0 // as long as the one at server 6 once its slots are taken
	assert.Equal(t, spread(p, own, 8)[6], 4)
}

func TestLeavingAndTriedServersGetNothing(t *testing.T) {
	p := seven()
	p.Report(now, 2, Hint{Leaving: true})
	for range 100 {
		c := p.Choose(now, Hint{Leaving: true}, []uint32{3, 4, 5, 6})
		assert.Equal(t, c, Choice{7, Avoid})
	}
	assert.Equal(t, p.Choose(now, Hint{Leaving: true}, []uint32{3, 4, 5, 6, 7}).Reason, NoServer)
}

func TestUsageForgets(t *testing.T) {
	u := Usage{Window: time.Second}
	u.Set(now, 4, 4)
	u.Set(now.Add(10*time.Second), 0, 4)
	assert.Assert(t, u.Share(now.Add(10*time.Second)) > 0.99)
	assert.Assert(t, u.Share(now.Add(20*time.Second)) < 0.01)
}
