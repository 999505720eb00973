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

// An entry places a row of flows before any report comes back. They must not all go to the server that was least
// busy a moment ago.
func TestOwnPlacingsCountUntilTheNextReport(t *testing.T) {
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

// A server that hangs has nothing under way and looks idle.
func TestSilentServerComesLast(t *testing.T) {
	c := New("zg-a", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(2)
	c.Report(now, agent(1), msgs.Load{Busy: 4, Flows: 20})
	c.NoReply(now, agent(0))
	assert.Equal(t, choose(t, c, now, list), agent(1))
	assert.Equal(t, choose(t, c, now.Add(silentFor), list), agent(0))
	c.NoReply(now, agent(0))
	c.Accepted(agent(0))
	assert.Equal(t, choose(t, c, now, list), agent(0))
}

// The order of last resorts: refused, silent, draining.
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

// A near server is used until its work is over a far one's by what the distance costs.
func TestNearServerIsUsedWhileItIsNotMuchBusier(t *testing.T) {
	c := New("zg-b", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(2)
	list[1].Domain = "zg-b"
	assert.Equal(t, choose(t, c, now, list), agent(1))
	c.Report(now, agent(1), msgs.Load{Busy: distance - 1})
	assert.Equal(t, choose(t, c, now, list), agent(1))
	c.Report(now, agent(1), msgs.Load{Busy: distance + 1})
	assert.Equal(t, choose(t, c, now, list), agent(0))
}

// Servers are replaced one after the other. A new one holds no flows yet, the near ones hold a hundred each, most of
// them at rest; for half a minute two of five new flows went to new servers in other failure domains, and all their
// bytes crossed the border. An open flow counted as seven times the work that it brings.
func TestFlowsAtRestSendNoNewOnesFar(t *testing.T) {
	c := New("zg-b", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(2)
	list[1].Domain = "zg-b"
	for range 2 * flowWorkOver {
		c.Report(now, agent(0), msgs.Load{Busy: 0, Flows: 0})
		c.Report(now, agent(1), msgs.Load{Busy: 2, Flows: 130})
	}
	assert.Equal(t, choose(t, c, now, list), agent(1))
}

// Flows that ask often are work: of two near servers the one with fewer of them is chosen, also when both are
// idle at the moment of their reports.
func TestFlowsThatAskOftenCount(t *testing.T) {
	c := New("zg-a", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(3)
	for range 2 * flowWorkOver {
		c.Report(now, agent(2), msgs.Load{Busy: 4, Flows: 50})
	}
	c.Report(now, agent(0), msgs.Load{Flows: 60})
	c.Report(now, agent(1), msgs.Load{Flows: 20})
	assert.Equal(t, choose(t, c, now, list), agent(1))
}

func TestColdServerGetsLess(t *testing.T) {
	c := New("zg-a", rand.New(rand.NewPCG(1, 2)), parts.Off{})
	list := candidates(2)
	list[0].Cold = true
	assert.Equal(t, choose(t, c, now, list), agent(1))
}

// Without a mechanism the choice is as if it weren't there.
func TestPartsCanBeSwitchedOff(t *testing.T) {
	without := func(off parts.Off) *Chooser { return New("zg-a", rand.New(rand.NewPCG(1, 2)), off) }
	list := candidates(2)
	c := without(parts.Off{Reports: true})
	c.Report(now, agent(1), msgs.Load{Busy: 40})
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
