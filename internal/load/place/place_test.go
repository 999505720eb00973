package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

// idleHint is the report of a server with idle slots and the same utilization as its peers.
var idleHint = Hint{Running: 1, Utilization: 0.3, Service: 20 * time.Millisecond}

// fullHint is the report of a server without an idle slot.
var fullHint = Hint{Running: 4, Waiting: 2, Utilization: 0.3, Service: 20 * time.Millisecond}

// newTestPlacer returns the placer of server 1 of seven in three failure domains, with a current report
// of each peer.
func newTestPlacer() *Placer {
	p := New(Self{ID: 1, Domain: "zg-a"}, rand.New(rand.NewPCG(1, 2)))
	var servers []Server
	for id := uint32(1); id <= 7; id++ {
		servers = append(servers, Server{ID: id, Slots: 4, Domain: []string{"zg-c", "zg-a", "zg-b"}[id%3]})
	}
	p.SetServers(now, servers)
	for id := uint32(2); id <= 7; id++ {
		p.Report(now, id, idleHint)
	}
	return p
}

// spread counts the servers selected for n requests that start at the same time.
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
	assert.Equal(t, newTestPlacer().Choose(now, idleHint, nil), Choice{1, Own})
}

func TestFullServerHandsOverToIdlePeers(t *testing.T) {
	counts := spread(newTestPlacer(), fullHint, 12)
	assert.Equal(t, counts[1], 0)
	for id, n := range counts {
		assert.Assert(t, n <= 3, "server %d got %d of 12", id, n) // 3 slots are idle there
	}
}

func TestLocalPeerIsPreferredAmongEqualPeers(t *testing.T) {
	p, local := newTestPlacer(), 0
	for range 100 {
		if c := p.Choose(now, fullHint, nil); c.Server == 4 || c.Server == 7 {
			local++ // the two peers in zg-a; two random picks include one of them in 9 of 15 pairs
		}
	}
	assert.Assert(t, local > 45 && local < 75, local)
}

// A server that is twice as busy as most peers hands over requests although it has an idle slot.
// Otherwise its callers would wait longer than those of other servers.
func TestBusierServerHandsOver(t *testing.T) {
	own := idleHint
	own.Utilization = 0.6
	assert.Equal(t, newTestPlacer().Choose(now, own, nil).Reason, Balance)
}

// A server that has become five times slower hands over requests although it has idle slots.
func TestSlowOwnServerHandsOver(t *testing.T) {
	own := idleHint
	own.Service = 100 * time.Millisecond
	assert.Equal(t, newTestPlacer().Choose(now, own, nil).Reason, Slow)
}

// Guards against a peer that always reports four idle slots and refuses every request: it is selected
// less and less often instead of for every request.
func TestRefusalsOverrideFalseReport(t *testing.T) {
	p, asked := newTestPlacer(), 0
	for n := range 1000 {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		for id := uint32(2); id <= 7; id++ {
			p.Report(at, id, idleHint)
		}
		p.Report(at, 3, Hint{Service: time.Millisecond})
		c := p.Choose(at, fullHint, nil)
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

// Guards against a server that answers 500 within a millisecond, looks idle and attracts the requests of
// the service. The server is ejected, probed, and ejected for a longer time after each failed probe.
func TestFailFastServerIsEjected(t *testing.T) {
	p, failed := newTestPlacer(), 0
	for n := range 3000 {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		for id := uint32(2); id <= 7; id++ {
			p.Report(at, id, idleHint)
		}
		c := p.Choose(at, fullHint, nil)
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

// Guards against ejecting all servers but one when a fault outside the servers makes all of them fail.
func TestEjectionIsLimited(t *testing.T) {
	p := newTestPlacer()
	for id := uint32(1); id <= 7; id++ {
		for range 10 {
			p.Sent(id)
			p.Ended(now, id, Failed, time.Millisecond)
		}
	}
	assert.Equal(t, len(p.Ejected(now)), 3)
}

// Guards against sending requests to crashed servers because the limit on ejected servers is reached:
// three of seven servers are unreachable.
func TestUnreachableServersAreAvoidedBeyondEjectionLimit(t *testing.T) {
	p := newTestPlacer()
	for _, id := range []uint32{1, 3, 5} {
		p.Sent(id)
		p.Ended(now, id, Unreachable, time.Millisecond)
	}
	assert.Assert(t, p.Down(now))
	counts := spread(p, idleHint, 100)
	assert.Equal(t, counts[1]+counts[3]+counts[5], 0)
	assert.Equal(t, p.Choose(now.Add(minDown), idleHint, nil), Choice{1, Own}) // retried after minDown
}

// Guards against counting open feeds as load: they hold no slot.
func TestOpenFeedsDoNotFillTheOwnServer(t *testing.T) {
	p := newTestPlacer()
	for range 100 {
		p.Sent(1)
	}
	assert.Equal(t, p.Choose(now, idleHint, nil), Choice{1, Own})
}

// A server that joins with empty caches receives one request at a time at first, not as many as it has slots.
func TestColdServerStartsSlowly(t *testing.T) {
	p := newTestPlacer()
	p.Joined(now, 5)
	p.Report(now, 5, Hint{})
	assert.Assert(t, spread(p, fullHint, 10)[5] <= 1)
	assert.Equal(t, p.state(5).usableSlots(now.Add(Default.SlowStart), Default), 4.0)
}

// Guards against sending a server more requests than it has slots because of an outdated report that it
// is idle.
func TestOutdatedReportAttractsNoMoreThanIdleSlots(t *testing.T) {
	p := newTestPlacer()
	for id := uint32(2); id <= 7; id++ {
		p.Report(now, id, fullHint)
	}
	p.Report(now, 6, Hint{Service: 20 * time.Millisecond})
	own := fullHint
	own.Waiting = 0 // as long as the queue at server 6 once its slots are taken
	assert.Equal(t, spread(p, own, 8)[6], 4)
}

func TestLeavingAndTriedServersGetNothing(t *testing.T) {
	p := newTestPlacer()
	p.Report(now, 2, Hint{Leaving: true})
	for range 100 {
		c := p.Choose(now, Hint{Leaving: true}, []uint32{3, 4, 5, 6})
		assert.Equal(t, c, Choice{7, Avoid})
	}
	assert.Equal(t, p.Choose(now, Hint{Leaving: true}, []uint32{3, 4, 5, 6, 7}).Reason, NoServer)
}

func TestUsageDecays(t *testing.T) {
	u := Usage{Window: time.Second}
	u.Set(now, 4, 4)
	u.Set(now.Add(10*time.Second), 0, 4)
	assert.Assert(t, u.Share(now.Add(10*time.Second)) > 0.99)
	assert.Assert(t, u.Share(now.Add(20*time.Second)) < 0.01)
}
