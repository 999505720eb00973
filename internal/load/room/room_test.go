package room

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/msgs"
)

var now = time.Unix(1_700_000_000, 0)

// fleet returns servers of a service, with one slot and 10 ms a request each, of which the given number are busy.
func fleet(n, busy int) (list []Server) {
	for i := range n {
		s := Server{ID: fmt.Sprint("s", i), Agent: fmt.Sprint("a", i), Service: "svc", Domain: fmt.Sprint("zg-", i%2), Open: true, Slots: 1}
		s.Known, s.ServiceMillis = true, 10
		if i < busy {
			s.Busy = 1
		}
		list = append(list, s)
	}
	return list
}

// Guards against an order that is believed free because demand beyond the servers' work isn't counted, or
// because higher priorities pay for lower ones.
func TestOutlookAgainstOfferedLoad(t *testing.T) {
	r := Report{Servers: fleet(10, 10), Demands: []Demand{
		{Service: "svc", Priority: 0, Asked: 1000, Opened: 800},
		{Service: "svc", Priority: 1, Asked: 1000, Opened: 200},
	}}
	now, without := r.Outlooks(nil), r.Outlooks([]string{"zg-1"})
	assert.DeepEqual(t, now, []Outlook{{Service: "svc", Servers: 10, Known: true, Capacity: 1000, Offered: 2000, Percent: 50,
		RefusedPercent: map[int]float64{0: 0, 1: 100}}})
	assert.DeepEqual(t, without, []Outlook{{Service: "svc", Servers: 5, Known: true, Capacity: 500, Offered: 2000, Percent: 75,
		RefusedPercent: map[int]float64{0: 50, 1: 100}}})
}

// Guards against servers counted as room though they take no flows, or without any measured service time.
func TestClosedAndUnmeasuredServers(t *testing.T) {
	r := Report{Servers: fleet(4, 0)}
	r.Servers[0].Open = false
	r.Servers[1].ServiceMillis = 0
	var closed, unknown int
	capacity := 0.0
	for _, s := range r.Sums() {
		closed += s.Closed
		unknown += s.Unknown
		capacity += s.Capacity
	}
	assert.Assert(t, closed == 1 && unknown == 1 && capacity == 300)
	for i := range r.Servers {
		r.Servers[i].ServiceMillis = 0
	}
	assert.Assert(t, !r.Outlooks(nil)[0].Known)
}

func drawReport(t *rapid.T) (r Report) {
	for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
		s := Server{Agent: fmt.Sprint("a", i), ID: fmt.Sprint("s", i), Service: fmt.Sprint("svc", i%2), Domain: fmt.Sprint("zg-", i%3)}
		s.Open, s.Known = rapid.Bool().Draw(t, "open"), rapid.Bool().Draw(t, "known")
		s.Slots, s.Busy = rapid.IntRange(0, 4).Draw(t, "slots"), rapid.IntRange(0, 9).Draw(t, "busy")
		s.ServiceMillis = float64(rapid.IntRange(0, 50).Draw(t, "ms"))
		s.AgeMillis = int64(100*i + rapid.IntRange(0, 99).Draw(t, "age"))
		r.Servers = append(r.Servers, s)
	}
	for p := range rapid.IntRange(0, 3).Draw(t, "priorities") {
		asked := float64(rapid.IntRange(0, 1000).Draw(t, "asked"))
		r.Demands = append(r.Demands, Demand{Service: "svc0", Priority: p, Asked: asked, Opened: asked * rapid.Float64Range(0, 1).Draw(t, "opened"), Percent: 100})
	}
	return r
}

// Guards against an answer by which a larger order costs less than a smaller one, lower priorities are served
// before higher ones, or a part is no part.
func TestLeavingOutMoreNeverRefusesLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawReport(t)
		less, more := r.Outlooks([]string{"zg-0"}), r.Outlooks([]string{"zg-0", "s1", "a5"})
		for i := range more {
			assert.Assert(t, more[i].Percent >= less[i].Percent && more[i].Percent <= 100 && less[i].Percent >= 0)
			last := 0.0
			for p := range 3 {
				refused, ok := more[i].RefusedPercent[p]
				if !ok {
					continue
				}
				assert.Assert(t, refused >= last-1e-9 && refused <= 100 && refused >= less[i].RefusedPercent[p]-1e-9)
				last = refused
			}
		}
	})
}

// Guards against sums that depend on the order in which processes answer, or count a server twice.
func TestMergeTakesEachServerOnceWithItsNewestFigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawReport(t)
		b := Report{Servers: slices.Clone(a.Servers)}
		for i := range b.Servers {
			b.Servers[i].AgeMillis += 50
			b.Servers[i].Busy++
		}
		merged, turned := Merge([]Report{a, b}), Merge([]Report{b, a})
		assert.DeepEqual(t, merged, turned)
		assert.DeepEqual(t, merged, Merge([]Report{a}))
	})
}

// Guards against a service time that is lost because the agent itself, which sends none, has answered too.
func TestMergeKeepsServiceTimesThatOnlyEntriesKnow(t *testing.T) {
	entry := Report{Servers: fleet(2, 1)}
	agent := Report{Servers: slices.Clone(entry.Servers[:1])}
	entry.Servers[0].AgeMillis = 300
	agent.Servers[0].ServiceMillis, agent.Servers[0].Busy = 0, 5
	for _, reports := range [][]Report{{entry, agent}, {agent, entry}} {
		merged := Merge(reports)
		s := merged.Servers[0]
		assert.Assert(t, s.Busy == 5 && s.ServiceMillis == 10 && s.AgeMillis == 300, "%v", s)
	}
}

// Guards against rates that keep the weight of flows long past, and memory that grows with messages.
func TestMeter(t *testing.T) {
	m := NewMeter()
	for i := range 3000 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		m.Arrived(at, "svc", 1)
		if i%2 == 0 {
			m.Opened(at, "svc", 1)
		}
	}
	end := now.Add(30 * time.Second)
	d := m.Demands(end)[0]
	assert.Assert(t, d.Asked > 98 && d.Asked < 102 && d.Opened > 49 && d.Opened < 51, "%v", d)
	assert.Equal(t, len(m.Demands(end.Add(time.Minute))), 0)

	for i := range 2 * maxAgents {
		a := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		m.Report(now, a, msgs.Load{Busy: 2}, msgs.Estimate{Service: 100})
		m.Arrived(now, fmt.Sprint(i), 0)
	}
	assert.Equal(t, len(m.reports), maxAgents)
	assert.Equal(t, len(m.rates), maxRates)
	first := netip.AddrFrom4([4]byte{10, 0, 0, 0})
	m.Retain(now.Add(time.Minute), []netip.Addr{first})
	assert.Equal(t, len(m.reports), 1)
	assert.Equal(t, len(m.rates), 0)
	var s Server
	m.Fill(now.Add(time.Second), first, &s)
	assert.Assert(t, s.Known && s.Busy == 2 && s.ServiceMillis == 10 && s.AgeMillis == 1000)
}
