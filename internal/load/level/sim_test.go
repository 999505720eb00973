package level

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
)

// The tests of this file simulate entries before a service whose agents queue flows, refuse by estimate after some
// visits, and report with the flows they open. Time advances in steps of a millisecond.
const (
	numServers  = 45
	numEntries  = 20
	slots       = 2
	serviceTime = 17 * time.Millisecond
	timeout     = time.Second
	maxVisits   = 4
	visitTime   = 500 * time.Microsecond
	retries     = 2
	tick        = time.Millisecond
	capacity    = float64(numServers*slots) / 0.017 // requests a second
)

// request is a request of one caller and its attempts.
type request struct {
	entry, priority, tries int
	first                  time.Time
}

// simServer is a server with its agent.
type simServer struct {
	running []running
	queues  [msgs.NumWaits][]request
}

type running struct {
	request
	until time.Time
}

func (s *simServer) wait(p int) time.Duration {
	n := len(s.running) - slots + 1
	for _, q := range s.queues[:p+1] {
		n += len(q)
	}
	return time.Duration(max(n, 0)) * serviceTime / slots
}

func (s *simServer) estimate() msgs.Estimate {
	var waits [msgs.NumWaits]time.Duration
	for p := range waits {
		waits[p] = s.wait(p)
	}
	return msgs.NewEstimate(serviceTime, waits)
}

// simulation is one run and its results.
type simulation struct {
	demand    func(at time.Duration) float64 // as a multiple of the capacity
	duration  time.Duration
	without   bool          // the level is off
	staleness time.Duration // shortest time between two reports of an agent to an entry
	lost      float64       // part of the messages from agents that are lost
	cutOff    bool          // the first entry hears and reaches the first half of the agents only
	low       float64       // part of the requests that has priority 1; the others have 0

	random   *rand.Rand
	gates    [numEntries]*Gate
	servers  [numServers]simServer
	reported [numEntries][numServers]time.Time
	asked    [2]int
	inTime   [2]int
	refused  int // attempts
	visits   int // of refused attempts
	wasted   time.Duration
	took     time.Duration   // of all requests answered in time
	byEntry  [numEntries]int // refusals at the entry
	bySecond []int           // answered in time, by second
	lastLow  time.Duration   // when an entry last refused a flow itself
}

var begin = time.Unix(1_700_000_000, 0)

func agentAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}) }

func (p *simulation) run() *simulation {
	p.random = rand.New(rand.NewPCG(1, 2))
	for i := range p.gates {
		p.gates[i] = New(rand.New(rand.NewPCG(uint64(i), 3)))
	}
	due := 0.0
	var again []request
	p.bySecond = make([]int, p.duration/time.Second+2)
	for at := time.Duration(0); at < p.duration; at += tick {
		now := begin.Add(at)
		retried := again
		again = nil
		for due += p.demand(at) * capacity * tick.Seconds(); due >= 1; due-- {
			r := request{entry: p.random.IntN(numEntries), first: now}
			if p.random.Float64() < p.low {
				r.priority = 1
			}
			p.asked[r.priority]++
			retried = append(retried, r)
		}
		for _, r := range retried {
			if !p.attempt(now, r) && r.tries < retries {
				r.tries++
				r.entry = p.random.IntN(numEntries)
				again = append(again, r)
			}
		}
		for i := range p.servers {
			p.serve(now, i)
		}
	}
	return p
}

// attempt simulates one attempt and reports whether a server has taken it.
func (p *simulation) attempt(now time.Time, r request) bool {
	left := r.first.Add(timeout).Sub(now)
	if !p.without && !p.gates[r.entry].Admit(now, "svc", r.priority, left, numServers) {
		p.refused++
		p.byEntry[r.entry]++
		p.lastLow = now.Sub(begin)
		return false
	}
	best, agent := time.Duration(1<<62), 0
	for v := 1; v <= maxVisits; v++ {
		i := p.random.IntN(numServers)
		if p.isolated(r.entry, i) && v == 1 {
			return true // the opening packet is lost
		}
		if w := p.servers[i].wait(r.priority); w < best {
			best, agent = w, i
		}
		if best == 0 {
			break
		}
	}
	if best+serviceTime > left {
		p.returned(now, r, agent)
		return false
	}
	q := &p.servers[agent].queues[r.priority]
	*q = append(*q, r)
	return true
}

// returned records a flow that an agent returns as busy.
func (p *simulation) returned(now time.Time, r request, agent int) {
	p.refused++
	p.visits += maxVisits
	p.wasted += maxVisits * visitTime
	if !p.isLost(r.entry, agent) {
		p.gates[r.entry].Refused(now, "svc", agentAddr(agent), r.priority)
	}
}

func (p *simulation) isolated(entry, server int) bool {
	return p.cutOff && entry == 0 && server >= numServers/2
}

func (p *simulation) isLost(entry, server int) bool {
	return p.isolated(entry, server) || p.random.Float64() < p.lost
}

// serve ends and begins requests at a server.
func (p *simulation) serve(now time.Time, i int) {
	s := &p.servers[i]
	kept := s.running[:0]
	for _, r := range s.running {
		if now.Before(r.until) {
			kept = append(kept, r)
			continue
		}
		if r.until.Sub(r.first) <= timeout {
			p.inTime[r.priority]++
			p.took += r.until.Sub(r.first)
			p.bySecond[now.Sub(begin)/time.Second]++
		}
	}
	s.running = kept
	for pr := range s.queues {
		for len(s.running) < slots && len(s.queues[pr]) > 0 {
			r := s.queues[pr][0]
			s.queues[pr] = s.queues[pr][1:]
			if now.Add(serviceTime).After(r.first.Add(timeout)) {
				p.returned(now, r, i)
				continue
			}
			took := serviceTime + time.Duration(p.random.IntN(17)-8)*tick
			s.running = append(s.running, running{r, now.Add(took)})
			p.sendReport(now, r, i)
		}
	}
}

// sendReport sends what an agent reports when its server opens a flow.
func (p *simulation) sendReport(now time.Time, r request, i int) {
	if p.isLost(r.entry, i) {
		return
	}
	p.gates[r.entry].Opened(now, "svc", r.priority)
	if last := &p.reported[r.entry][i]; now.Sub(*last) >= p.staleness {
		*last = now
		p.gates[r.entry].Report(now, "svc", agentAddr(i), p.servers[i].estimate())
	}
}

func steady(times float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return times }
}

// answered returns the requests answered in time as a part of those that could be.
func (p *simulation) answered() float64 {
	asked := float64(p.asked[0] + p.asked[1])
	return float64(p.inTime[0]+p.inTime[1]) / min(asked, capacity*p.duration.Seconds())
}

func (p *simulation) visitsPerRefusal() float64 {
	return float64(p.visits) / float64(max(p.refused, 1))
}

// meanTook returns the mean time of the requests answered in time.
func (p *simulation) meanTook() time.Duration { return p.took / time.Duration(p.inTime[0]+p.inTime[1]) }

// Guards against overload in which every refused flow costs visits to several full agents, and against a
// level that refuses flows while servers are idle, or leaves queues as long as callers wait at most.
func TestOverloadIsRefusedWithFewVisitsAndServersStayBusy(t *testing.T) {
	for _, times := range []float64{1.1, 1.5, 2, 5, 9} {
		with := (&simulation{demand: steady(times), duration: 10 * time.Second}).run()
		without := (&simulation{demand: steady(times), duration: 10 * time.Second, without: true}).run()
		for name, p := range map[string]*simulation{"with": with, "without": without} {
			t.Logf("%.1f %s: answered %.3f after %v, refused %d, visits per refusal %.2f, time until refused %v", times, name,
				p.answered(), p.meanTook(), p.refused, p.visitsPerRefusal(), p.wasted/time.Duration(max(p.refused, 1)))
		}
		assert.Assert(t, with.answered() >= without.answered()-0.01 && with.answered() > 0.95)
		if times >= 2 {
			assert.Assert(t, with.visitsPerRefusal() < without.visitsPerRefusal()/2)
			assert.Assert(t, with.meanTook() < without.meanTook())
		}
	}
}

// Guards against a level that oscillates, or keeps servers idle, because what it knows is old, and against one
// that reports push down until it refuses nearly everything.
func TestOldAndLostReportsKeepServersBusy(t *testing.T) {
	for _, times := range []float64{1.1, 2, 9} {
		for _, staleness := range []time.Duration{time.Second, 5 * time.Second} {
			for _, lost := range []float64{0, 0.3} {
				t.Run(fmt.Sprintf("%.1f, reports every %v, %.1f lost", times, staleness, lost), func(t *testing.T) {
					t.Parallel()
					p := (&simulation{demand: steady(times), duration: 10 * time.Second, staleness: staleness, lost: lost}).run()
					t.Logf("answered %.3f, visits per refusal %.2f, by second %v", p.answered(), p.visitsPerRefusal(), p.bySecond[:10])
					assert.Assert(t, p.answered() > 0.95)
				})
			}
		}
	}
}

// Guards against flows refused after the overload has ended, beyond the time for which flows wait at servers,
// the time in which returned flows lose their weight, and the steps from the lowest level to full admission,
// also when servers seldom report that they have room.
func TestLevelRecoversAfterOverload(t *testing.T) {
	steps := time.Duration(math.Ceil(math.Log(1/probePart)/math.Log(riseFactor))) + 1
	for _, staleness := range []time.Duration{0, time.Second, 5 * time.Second} {
		burst := func(at time.Duration) float64 {
			if at < 5*time.Second {
				return 9
			}
			return 0.7
		}
		p := (&simulation{demand: burst, duration: 14 * time.Second, staleness: staleness}).run()
		t.Logf("reports every %v: last refusal by an entry %v after the burst; answered by second %v", staleness, p.lastLow-5*time.Second, p.bySecond)
		assert.Assert(t, p.lastLow < 5*time.Second+timeout+2*averageTime+steps*stepInterval)
	}
}

// Guards against a lower priority that is admitted in place of a higher one.
func TestHigherPriorityIsRefusedLast(t *testing.T) {
	p := (&simulation{demand: steady(2), duration: 10 * time.Second, low: 0.7}).run() // the high priority takes 0.6 of the capacity
	high := float64(p.inTime[0]) / float64(p.asked[0])
	t.Logf("high priority %.3f, all %.3f of the capacity", high, p.answered())
	assert.Assert(t, high > 0.98)
	assert.Assert(t, p.answered() > 0.95)
}

// Guards against an entry that refuses flows for servers that it doesn't hear.
func TestEntryCutOffFromHalfOfTheAgentsRefusesNothing(t *testing.T) {
	p := (&simulation{demand: steady(5), duration: 5 * time.Second, cutOff: true}).run()
	assert.Equal(t, p.byEntry[0], 0)
	assert.Assert(t, p.byEntry[1] > 0)
}

// Guards against flows refused in a burst that the servers' queues absorb.
func TestAbsorbedBurstsAreNotRefused(t *testing.T) {
	for _, times := range []float64{1.8, 4} {
		excess := 0.6 * timeout.Seconds() / (times - 1) // seconds until queues are 0.6 of the longest wait
		burst := func(at time.Duration) float64 {
			if math.Mod(at.Seconds(), 4) < excess {
				return times
			}
			return 0.5
		}
		without := (&simulation{demand: burst, duration: 12 * time.Second, without: true}).run()
		with := (&simulation{demand: burst, duration: 12 * time.Second}).run()
		t.Logf("%.1f: without %.4f, %d refused; with %.4f, %d refused", times, without.answered(), without.refused, with.answered(), with.refused)
		assert.Equal(t, without.refused, 0)
		assert.Equal(t, with.refused, 0)
	}
}

// Guards against a level that falls in a deployment that can serve everything.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	p := (&simulation{demand: steady(0.9), duration: 10 * time.Second}).run()
	assert.Equal(t, p.refused, 0)
}
