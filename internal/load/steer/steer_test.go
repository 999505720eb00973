package steer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/parts"
)

var now = time.Unix(1_700_000_000, 0)

func agent(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}) }

func candidates(n int) (list []Candidate) {
	for i := range n {
		list = append(list, Candidate{Agent: agent(i), Domain: "zg-a", Slots: 4})
	}
	return list
}

func choose(t *testing.T, c *Chooser, at time.Time, list []Candidate) netip.Addr {
	t.Helper()
	a, ok := c.Choose(at, list, nil)
	assert.Assert(t, ok)
	return a
}

// Guards against an entry that sends a burst of flows to the server that was least busy in the last
// report: flows placed since then count as work.
func TestPlacedFlowsCountUntilNextReport(t *testing.T) {
	c := New("zg-a", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(4)
	got := map[netip.Addr]int{}
	for range 40 {
		a := choose(t, c, now, list)
		c.Placed(a)
		got[a]++
	}
	for a, n := range got {
		assert.Assert(t, n >= 8 && n <= 12, "%s: %d", a, n)
	}
}

// Guards against placing flows on a hung server, which has no requests in progress and looks idle.
func TestServerWithoutReplyComesLast(t *testing.T) {
	c := New("zg-a", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(2)
	c.Report(now, agent(1), msgs.Load{Busy: 4, Flows: 20}, msgs.Estimate{})
	c.NoReply(now, agent(0))
	assert.Equal(t, choose(t, c, now, list), agent(1))
	assert.Equal(t, choose(t, c, now.Add(noReplyFor), list), agent(0))
	c.NoReply(now, agent(0))
	c.Accepted(agent(0))
	assert.Equal(t, choose(t, c, now, list), agent(0))
}

// Servers that refused, did not answer or are draining are still used, in this order, if there is no other.
func TestServersOfLastResortAreStillUsed(t *testing.T) {
	c := New("zg-a", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(3)
	c.Refused(now, agent(0))
	c.NoReply(now, agent(1))
	list[2].Draining = true
	assert.Equal(t, choose(t, c, now, list), agent(0))
	assert.Equal(t, choose(t, c, now, list[1:]), agent(1))
	assert.Equal(t, choose(t, c, now, list[2:]), agent(2))
	_, ok := c.Choose(now, list, []netip.Addr{agent(0), agent(1), agent(2)})
	assert.Assert(t, !ok)
}

// A server of the own domain is used until its work exceeds that of a remote server by crossDomainWork.
func TestLocalServerIsPreferredUnlessMuchBusier(t *testing.T) {
	c := New("zg-b", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(2)
	list[1].Domain = "zg-b"
	assert.Equal(t, choose(t, c, now, list), agent(1))
	c.Report(now, agent(1), msgs.Load{Busy: crossDomainWork - 1}, msgs.Estimate{})
	assert.Equal(t, choose(t, c, now, list), agent(1))
	c.Report(now, agent(1), msgs.Load{Busy: crossDomainWork + 1}, msgs.Estimate{})
	assert.Equal(t, choose(t, c, now, list), agent(0))
}

// Guards against idle flows that count as work. During a rolling replacement new servers hold no flows
// while local servers hold a hundred each, most of them idle. When an open flow counted as seven times its
// real work, two of five new flows went to new servers in other domains for half a minute, and all their
// traffic crossed domains.
func TestIdleFlowsDoNotSendNewFlowsToOtherDomains(t *testing.T) {
	c := New("zg-b", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(2)
	list[1].Domain = "zg-b"
	for range 2 * flowWorkWindow {
		c.Report(now, agent(0), msgs.Load{Busy: 0, Flows: 0}, msgs.Estimate{})
		c.Report(now, agent(1), msgs.Load{Busy: 2, Flows: 130}, msgs.Estimate{})
	}
	assert.Equal(t, choose(t, c, now, list), agent(1))
}

// Flows with frequent requests count as work: of two local servers that both report no requests in
// progress, the one with fewer such flows is chosen.
func TestFlowsWithFrequentRequestsCount(t *testing.T) {
	c := New("zg-a", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(3)
	for range 2 * flowWorkWindow {
		c.Report(now, agent(2), msgs.Load{Busy: 4, Flows: 50}, msgs.Estimate{})
	}
	c.Report(now, agent(0), msgs.Load{Flows: 60}, msgs.Estimate{})
	c.Report(now, agent(1), msgs.Load{Flows: 20}, msgs.Estimate{})
	assert.Equal(t, choose(t, c, now, list), agent(1))
}

func TestColdServerGetsLess(t *testing.T) {
	c := New("zg-a", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(2)
	list[0].Cold = true
	assert.Equal(t, choose(t, c, now, list), agent(1))
}

// A mechanism that is switched off has no influence on the choice.
func TestPartsCanBeSwitchedOff(t *testing.T) {
	without := func(off parts.Off) *Chooser { return New("zg-a", rand.New(rand.NewPCG(1, 2)), off) }
	list := candidates(2)
	c := without(parts.Off{Reports: true})
	c.Report(now, agent(1), msgs.Load{Busy: 40}, msgs.Estimate{})
	c.Placed(agent(0))
	assert.Equal(t, choose(t, c, now, list), agent(1))
	c = without(parts.Off{Avoid: true})
	c.NoReply(now, agent(1))
	c.Placed(agent(0))
	assert.Equal(t, choose(t, c, now, list), agent(1))
	c = without(parts.Off{Cold: true})
	list[1].Cold = true
	c.Placed(agent(0))
	assert.Equal(t, choose(t, c, now, list), agent(1))
	c = without(parts.Off{Distance: true})
	list[1].Cold, list[1].Domain = false, "zg-b"
	c.Placed(agent(0))
	assert.Equal(t, choose(t, c, now, list), agent(1))
}

// simulateFullServers simulates twenty entries before ten servers with short queues, of which each reports to an entry
// only with that entry's flows, and returns the flows opened as a part of what the servers can open. Loads do not
// count flows in queues. The given function is called for each flow that a server returns as busy.
func simulateFullServers(seed uint64, demand float64, busy func(c *Chooser, at time.Time, a netip.Addr, l msgs.Load)) (part float64) {
	const entries, servers, maxQueue, took, duration = 20, 10, 3, 20, 60_000 // took, duration in ms
	random := rand.New(rand.NewPCG(seed, 1))
	list := candidates(servers)
	choosers := make([]*Chooser, entries)
	for i := range choosers {
		choosers[i] = New("zg-a", rand.New(rand.NewPCG(seed, uint64(i))), parts.Off{})
	}
	var queues [servers][]int // entries of the waiting flows
	var next [servers]int
	opened, due := 0, 0.0
	for ms := range duration {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		for i, q := range queues {
			if len(q) == 0 || ms < next[i] {
				continue
			}
			c := choosers[q[0]]
			queues[i], next[i] = q[1:], ms+took
			opened++
			c.Accepted(agent(i))
			c.ReportLoad(at, agent(i), msgs.Load{Busy: 1})
		}
		times := 0.6 * demand
		if ms%1500 < 250 {
			times = 3 * demand // a burst
		}
		for due += times * servers / took; due >= 1; due-- {
			e := random.IntN(entries)
			a, _ := choosers[e].Choose(at, list, nil)
			choosers[e].Placed(a)
			i := int(a.As4()[3])
			if len(queues[i]) < maxQueue {
				queues[i] = append(queues[i], e)
			} else {
				busy(choosers[e], at, a, msgs.Load{Busy: 1})
			}
		}
	}
	return float64(opened) * took / servers / duration
}

// Guards against servers that stand idle after a burst because they returned a flow as busy in it: only entries
// whose own flows they open would learn that they have room again. Their load says as much as is needed.
func TestFullServersAreUsedAgainAtOnce(t *testing.T) {
	for _, demand := range []float64{1.1, 1.5, 2} {
		reported := simulateFullServers(1, demand, func(c *Chooser, at time.Time, a netip.Addr, l msgs.Load) { c.ReportLoad(at, a, l) })
		avoided := simulateFullServers(1, demand, func(c *Chooser, at time.Time, a netip.Addr, _ msgs.Load) { c.Refused(at, a) })
		t.Logf("demand %.1f: opened %.3f, with avoidance %.3f", demand, reported, avoided)
		assert.Assert(t, reported > avoided)
	}
}
