package doubt

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// baseRTT is the round-trip time without any queue.
const baseRTT = 3 * time.Millisecond

// link is one direction of the observer's own link. It keeps the order of packets.
type link struct {
	delay func(at time.Time) time.Duration
	loss  float64
	last  time.Time
}

// transit returns when a packet that is handed over at a given time arrives. It returns false if the packet
// is lost.
func (l *link) transit(r *rand.Rand, at time.Time) (arrival time.Time, ok bool) {
	arrival = at.Add(l.delay(at))
	if arrival.Before(l.last) {
		arrival = l.last
	}
	l.last = arrival
	return arrival, r.Float64() >= l.loss
}

// answer is an answer in transit to the observer.
type answer struct {
	at    time.Time
	agent netip.Addr
	round uint32
}

// simulation is an observer behind a link of its own, and agents of which some are down.
type simulation struct {
	now        time.Time
	monitor    *Monitor
	agents     []netip.Addr
	down       map[netip.Addr]bool
	out, in    link
	rand       *rand.Rand
	inFlight   []answer
	failed     map[netip.Addr]time.Time
	probesSent int
	// anyAnswer selects a weaker guard, by which any answer at all shows that the observer's path is open.
	anyAnswer bool
}

var observer = netip.AddrFrom4([4]byte{10, 0, 0, 1})

func noDelay(time.Time) time.Duration { return 0 }

func constantDelay(d time.Duration) func(time.Time) time.Duration {
	return func(time.Time) time.Duration { return d }
}

func newSimulation(agents int, seed uint64) *simulation {
	w := &simulation{now: now, down: map[netip.Addr]bool{}, failed: map[netip.Addr]time.Time{}, rand: rand.New(rand.NewPCG(seed, 2))}
	w.out.delay, w.in.delay = noDelay, noDelay
	for i := range agents {
		w.agents = append(w.agents, addr(i))
	}
	w.monitor = New(observer, w, rand.New(rand.NewPCG(seed, 1)))
	return w
}

// Probe implements Prober.
func (w *simulation) Probe(target netip.Addr, helpers []netip.Addr, round uint32) {
	w.send(target, round, false)
	for _, h := range helpers {
		w.send(target, round, w.down[h])
	}
}

// send transmits a probe and the answer to it, if there is one.
func (w *simulation) send(target netip.Addr, round uint32, helperDown bool) {
	w.probesSent++
	arrival, ok := w.out.transit(w.rand, w.now)
	if !ok || helperDown || w.down[target] {
		return
	}
	i, _ := slices.BinarySearchFunc(w.inFlight, arrival, func(a answer, t time.Time) int { return a.at.Compare(t) })
	w.inFlight = slices.Insert(w.inFlight, i, answer{at: arrival.Add(baseRTT), agent: target, round: round})
}

// advance runs the monitor for a time.
func (w *simulation) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.deliver()
		for _, a := range w.monitor.Tick(w.now, w.agents, noneExempt) {
			w.failed[a] = w.now
		}
	}
}

// deliver passes the answers that have come through the link by now to the monitor.
func (w *simulation) deliver() {
	for len(w.inFlight) > 0 && !w.inFlight[0].at.Add(w.in.delay(w.inFlight[0].at)).After(w.now) {
		a := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		if w.rand.Float64() < w.in.loss {
			continue
		}
		w.monitor.MarkAlive(w.now, a.agent)
		w.monitor.Acked(w.now, a.agent, a.round)
		if w.anyAnswer {
			for _, r := range w.monitor.rounds.open {
				r.unanswered = nil
			}
		}
	}
}

// suspectFor raises suspicions repeatedly for a time: of all agents that are down, and of each live agent
// with a probability of 1/3. Unless the link has a queue, something is received from each live agent,
// without a probe, with a probability of 1/3.
func (w *simulation) suspectFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for _, a := range w.agents {
			if w.down[a] || w.rand.IntN(3) == 0 {
				w.monitor.Suspect(w.now, a)
			}
			if !w.down[a] && w.out.delay(w.now)+w.in.delay(w.now) == 0 && w.rand.IntN(3) == 0 {
				w.monitor.MarkAlive(w.now, a)
			}
		}
		w.advance(200 * time.Millisecond)
	}
}

// Guards against an observer behind a long queue on its own link that takes agents that answer for failed.
func TestObserverBehindAQueueFailsNoAgent(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, way := range []string{"out", "in", "both"} {
			w := newSimulation(20, 1)
			if way != "in" {
				w.out.delay = constantDelay(delay)
			}
			if way != "out" {
				w.in.delay = constantDelay(delay)
			}
			w.suspectFor(20 * time.Second)
			assert.Equal(t, len(w.failed), 0, "%v %s", delay, way)
		}
	}
}

// Guards against live agents that count as failed while a queue on the observer's link grows and drains.
func TestChangingQueueFailsNoAgent(t *testing.T) {
	w := newSimulation(20, 1)
	w.out.delay = func(at time.Time) time.Duration {
		return at.Sub(now) % (4 * time.Second) / 2
	}
	w.in.delay = constantDelay(400 * time.Millisecond)
	w.suspectFor(30 * time.Second)
	assert.Equal(t, len(w.failed), 0)
}

// Guards against an observer on a lossy link that takes agents that answer for failed.
func TestLossyLinkFailsNoAgent(t *testing.T) {
	for _, loss := range []float64{0.1, 0.3, 0.5, 0.8} {
		for seed := range uint64(10) {
			w := newSimulation(20, seed)
			w.out.loss, w.in.loss = loss, loss
			w.suspectFor(20 * time.Second)
			assert.Equal(t, len(w.failed), 0, "loss %v, seed %d", loss, seed)
		}
	}
}

// Guards against a detector that never declares a failure: an agent is down, and the observer's link is
// free, has a queue, or is lossy.
func TestDownAgentIsDetected(t *testing.T) {
	for _, c := range []struct {
		name    string
		out, in time.Duration
		loss    float64
		within  time.Duration
	}{
		{name: "free", within: 1000 * time.Millisecond},
		{name: "drops", loss: 0.01, within: 1000 * time.Millisecond},
		{name: "queue", out: 100 * time.Millisecond, within: 1000 * time.Millisecond},
		{name: "longer queue", out: 300 * time.Millisecond, within: 3 * time.Second},
		{name: "both ways", out: 300 * time.Millisecond, in: 300 * time.Millisecond, within: 6 * time.Second},
	} {
		w := newSimulation(20, 1)
		w.out.delay, w.in.delay = constantDelay(c.out), constantDelay(c.in)
		w.out.loss, w.in.loss = c.loss, c.loss
		w.down[addr(7)] = true
		w.suspectFor(10 * time.Second)
		assert.Equal(t, len(w.failed), 1, c.name)
		took := w.failed[addr(7)].Sub(now)
		assert.Assert(t, took <= c.within, "%s: %v", c.name, took)
	}
}

// Guards against late detection when a whole failure domain is down, because agents of that domain are the
// witnesses.
func TestFailureOfADomainIsDetectedInTime(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(60, seed)
		for i := range 20 {
			w.down[addr(3*i)] = true
		}
		for _, a := range w.agents {
			w.monitor.MarkAlive(w.now.Add(-time.Duration(w.rand.IntN(1000))*time.Millisecond), a)
		}
		w.suspectFor(3 * time.Second)
		assert.Equal(t, len(w.failed), 20)
		for a, at := range w.failed {
			assert.Assert(t, at.Sub(now) <= 1200*time.Millisecond, "%v after %v", a, at.Sub(now))
		}
	}
}

// Guards against an observer that probes all agents of a failure domain that is down in one tick, over a
// link that carries callers' packets too.
func TestProbesPerTickAreBounded(t *testing.T) {
	for _, agents := range []int{64, 250} {
		w := newSimulation(agents, 1)
		for i := range agents / 2 {
			w.down[addr(i)] = true
			w.monitor.Suspect(w.now, addr(i))
		}
		most := 0
		for range 100 {
			before := w.probesSent
			w.advance(tick)
			most = max(most, w.probesSent-before)
		}
		assert.Assert(t, most <= maxProbesPerTick*(1+maxHelpers)+maxWitnesses, "%d of %d agents", most, agents)
		assert.Equal(t, len(w.failed), agents/2)
		for a, at := range w.failed {
			assert.Assert(t, at.Sub(now) <= 2*time.Second, "%v after %v", a, at.Sub(now))
		}
	}
}

// Guards against live agents that count as failed: whatever queues the observer's link has, an agent that
// has been up since the suspicion began must not fail.
func TestLiveAgentNeverFails(t *testing.T) {
	rapid.Check(t, checkRandomQueues)
}

// Guards against a simulation in which no agent can be wrongly declared failed: with the weaker guard, by
// which any answer shows an open path, live agents must fail.
func TestWeakerGuardFailsLiveAgents(t *testing.T) {
	w := newSimulation(20, 1)
	w.anyAnswer = true
	w.out.delay = constantDelay(time.Second)
	w.suspectFor(20 * time.Second)
	assert.Assert(t, len(w.failed) > 0)
}

func checkRandomQueues(r *rapid.T) {
	w := newSimulation(rapid.IntRange(3, 12).Draw(r, "agents"), rapid.Uint64().Draw(r, "seed"))
	since := map[netip.Addr]time.Time{} // when an agent came up again
	for range 20 {
		w.out.delay = constantDelay(time.Duration(rapid.IntRange(0, 3000).Draw(r, "out")) * time.Millisecond)
		w.in.delay = constantDelay(time.Duration(rapid.IntRange(0, 3000).Draw(r, "in")) * time.Millisecond)
		a := rapid.SampledFrom(w.agents).Draw(r, "agent")
		switch rapid.IntRange(0, 3).Draw(r, "event") {
		case 0:
			w.down[a] = true
		case 1:
			delete(w.down, a)
			since[a] = w.now
		}
		w.suspectFor(time.Duration(rapid.IntRange(1, 10).Draw(r, "for")) * 200 * time.Millisecond)
		for failed, at := range w.failed {
			up := !w.down[failed] && at.Sub(since[failed]) > 8*time.Second
			assert.Assert(r, !up, "%v was declared failed after %v", failed, at.Sub(now))
		}
	}
}
