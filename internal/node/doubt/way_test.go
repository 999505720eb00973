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

// far is the way there and back without any queue.
const far = 3 * time.Millisecond

// link is one direction of the observer's own link. What goes through keeps its order.
type link struct {
	delay func(at time.Time) time.Duration
	loss  float64
	last  time.Time
}

// pass returns when something that is handed over at a time is through, unless it is lost.
func (l *link) pass(r *rand.Rand, at time.Time) (through time.Time, ok bool) {
	through = at.Add(l.delay(at))
	if through.Before(l.last) {
		through = l.last
	}
	l.last = through
	return through, r.Float64() >= l.loss
}

// answer is one that is on its way to the observer.
type answer struct {
	at    time.Time
	agent netip.Addr
	round uint32
}

// world is an observer behind a link of its own, and agents of which some are gone.
type world struct {
	now     time.Time
	watch   *Monitor
	agents  []netip.Addr
	gone    map[netip.Addr]bool
	out, in link
	rand    *rand.Rand
	coming  []answer
	lost    map[netip.Addr]time.Time
	asked   int
	// anyAnswer is the guard that any answer at all speaks for the observer's way.
	anyAnswer bool
}

var observer = netip.AddrFrom4([4]byte{10, 0, 0, 1})

func free(time.Time) time.Duration { return 0 }

func always(d time.Duration) func(time.Time) time.Duration {
	return func(time.Time) time.Duration { return d }
}

func newWorld(agents int, seed uint64) *world {
	w := &world{now: now, gone: map[netip.Addr]bool{}, lost: map[netip.Addr]time.Time{}, rand: rand.New(rand.NewPCG(seed, 2))}
	w.out.delay, w.in.delay = free, free
	for i := range agents {
		w.agents = append(w.agents, addr(i))
	}
	w.watch = New(observer, w, rand.New(rand.NewPCG(seed, 1)))
	return w
}

// Probe is part of Voucher.
func (w *world) Probe(target netip.Addr, helpers []netip.Addr, round uint32) {
	w.send(target, round, false)
	for _, h := range helpers {
		w.send(target, round, w.gone[h])
	}
}

// send carries a question, and its answer if there is one.
func (w *world) send(target netip.Addr, round uint32, helperGone bool) {
	w.asked++
	there, ok := w.out.pass(w.rand, w.now)
	if !ok || helperGone || w.gone[target] {
		return
	}
	i, _ := slices.BinarySearchFunc(w.coming, there, func(a answer, t time.Time) int { return a.at.Compare(t) })
	w.coming = slices.Insert(w.coming, i, answer{at: there.Add(far), agent: target, round: round})
}

// step lets some time pass, in which callers repeat what the agents have left unanswered.
func (w *world) step(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.receive()
		for _, a := range w.watch.Tick(w.now, w.agents, nobody) {
			w.lost[a] = w.now
		}
	}
}

// receive hands over what has come through the link by now.
func (w *world) receive() {
	for len(w.coming) > 0 && !w.coming[0].at.Add(w.in.delay(w.coming[0].at)).After(w.now) {
		a := w.coming[0]
		w.coming = w.coming[1:]
		if w.rand.Float64() < w.in.loss {
			continue
		}
		w.watch.MarkAlive(w.now, a.agent)
		w.watch.Acked(w.now, a.agent, a.round)
		if w.anyAnswer {
			for _, r := range w.watch.rounds.open {
				r.silent = nil
			}
		}
	}
}

// press doubts agents again and again for a while: those that are gone, and a third of the others each time. A third is heard without
// being asked.
func (w *world) press(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for _, a := range w.agents {
			if w.gone[a] || w.rand.IntN(3) == 0 {
				w.watch.Suspect(w.now, a)
			}
			if !w.gone[a] && w.out.delay(w.now)+w.in.delay(w.now) == 0 && w.rand.IntN(3) == 0 {
				w.watch.MarkAlive(w.now, a)
			}
		}
		w.step(200 * time.Millisecond)
	}
}

// Guards against an observer that waits behind its own queue and takes agents that answer for lost.
func TestObserverBehindAQueueLosesNobody(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, way := range []string{"out", "in", "both"} {
			w := newWorld(20, 1)
			if way != "in" {
				w.out.delay = always(delay)
			}
			if way != "out" {
				w.in.delay = always(delay)
			}
			w.press(20 * time.Second)
			assert.Equal(t, len(w.lost), 0, "%v %s", delay, way)
		}
	}
}

// Guards against agents that are taken for lost while a queue grows and goes again.
func TestSqueezeThatComesAndGoesLosesNobody(t *testing.T) {
	w := newWorld(20, 1)
	w.out.delay = func(at time.Time) time.Duration {
		return at.Sub(now) % (4 * time.Second) / 2
	}
	w.in.delay = always(400 * time.Millisecond)
	w.press(30 * time.Second)
	assert.Equal(t, len(w.lost), 0)
}

// Guards against an observer whose link drops a part of all packets and that takes agents that answer for lost.
func TestObserverBehindALinkThatDropsLosesNobody(t *testing.T) {
	for _, loss := range []float64{0.1, 0.3, 0.5, 0.8} {
		for seed := range uint64(10) {
			w := newWorld(20, seed)
			w.out.loss, w.in.loss = loss, loss
			w.press(20 * time.Second)
			assert.Equal(t, len(w.lost), 0, "loss %v, seed %d", loss, seed)
		}
	}
}

// Guards against guards that find nobody: an agent is gone, the observer's link is free, full for a while, or drops.
func TestAgentThatIsGoneIsLost(t *testing.T) {
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
		w := newWorld(20, 1)
		w.out.delay, w.in.delay = always(c.out), always(c.in)
		w.out.loss, w.in.loss = c.loss, c.loss
		w.gone[addr(7)] = true
		w.press(10 * time.Second)
		assert.Equal(t, len(w.lost), 1, c.name)
		took := w.lost[addr(7)].Sub(now)
		assert.Assert(t, took <= c.within, "%s: %v", c.name, took)
	}
}

// Guards against a failure domain whose loss is found late, since agents of it were asked beside those in doubt.
func TestLossOfAFailureDomainIsFoundInTime(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(60, seed)
		for i := range 20 {
			w.gone[addr(3*i)] = true
		}
		for _, a := range w.agents {
			w.watch.MarkAlive(w.now.Add(-time.Duration(w.rand.IntN(1000))*time.Millisecond), a)
		}
		w.press(3 * time.Second)
		assert.Equal(t, len(w.lost), 20)
		for a, at := range w.lost {
			assert.Assert(t, at.Sub(now) <= 1200*time.Millisecond, "%v after %v", a, at.Sub(now))
		}
	}
}

// Guards against a failure domain's loss in which an observer asks all of it in one tick, over a link that carries callers' packets too.
func TestQuestionsOfATickAreBounded(t *testing.T) {
	for _, agents := range []int{64, 250} {
		w := newWorld(agents, 1)
		for i := range agents / 2 {
			w.gone[addr(i)] = true
			w.watch.Suspect(w.now, addr(i))
		}
		most := 0
		for range 100 {
			before := w.asked
			w.step(tick)
			most = max(most, w.asked-before)
		}
		assert.Assert(t, most <= mostAsks*(1+mostHelpers)+mostWitnesses, "%d of %d agents", most, agents)
		assert.Equal(t, len(w.lost), agents/2)
		for a, at := range w.lost {
			assert.Assert(t, at.Sub(now) <= 2*time.Second, "%v after %v", a, at.Sub(now))
		}
	}
}

// Whatever queues the observer waits behind, whoever has been there since the doubt began is not lost.
func TestAgentThatLivesIsNeverLost(t *testing.T) {
	rapid.Check(t, playQueues)
}

// Guards against a world in which nobody can be lost wrongly: with the guard that takes any answer for a proof, agents that live are.
func TestAnyAnswerIsNoProof(t *testing.T) {
	w := newWorld(20, 1)
	w.anyAnswer = true
	w.out.delay = always(time.Second)
	w.press(20 * time.Second)
	assert.Assert(t, len(w.lost) > 0)
}

func playQueues(r *rapid.T) {
	w := newWorld(rapid.IntRange(3, 12).Draw(r, "agents"), rapid.Uint64().Draw(r, "seed"))
	since := map[netip.Addr]time.Time{} // when an agent came back
	for range 20 {
		w.out.delay = always(time.Duration(rapid.IntRange(0, 3000).Draw(r, "out")) * time.Millisecond)
		w.in.delay = always(time.Duration(rapid.IntRange(0, 3000).Draw(r, "in")) * time.Millisecond)
		a := rapid.SampledFrom(w.agents).Draw(r, "agent")
		switch rapid.IntRange(0, 3).Draw(r, "event") {
		case 0:
			w.gone[a] = true
		case 1:
			delete(w.gone, a)
			since[a] = w.now
		}
		w.press(time.Duration(rapid.IntRange(1, 10).Draw(r, "for")) * 200 * time.Millisecond)
		for lost, at := range w.lost {
			there := !w.gone[lost] && at.Sub(since[lost]) > 8*time.Second
			assert.Assert(r, !there, "%v was lost after %v", lost, at.Sub(now))
		}
	}
}
