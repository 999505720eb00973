package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/load/detect"
	"mangowinch/internal/node/doubt"
)

// An entry that is cut off from the rest of the system.
//
// The failure: the way from an entry to all other processes breaks while callers and the routers still reach it. It
// answers the routers' question whether it is ready, so they go on sending a zone's callers to it, and each of their packets is
// lost: opening ones until the caller gives up after 1.4 s, three times over.
//
// The guard: an agent answers an opening packet at once, whether it takes the flow, lets it wait or hands it back. An
// entry that gets no answer asks several agents whether they are alive, and if none of two rounds is answered, it
// is not ready and refuses new flows: the caller's next try comes by another entry. Other entries say nothing about it, as
// those behind the same cut go on hearing each other, nor do beacons, which still come if only what the entry sends is lost.

// cutOff is when an entry takes itself for cut off: 0.55 s after the first opening packet that nobody answered. Answers take 2 ms between
// domains, 20 ms between regions, and some 100 ms through a full link.
var cutOff = detect.Config{SuspectAfter: 150 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond, Probes: 2}

// askAgents is how many agents are asked in a round: with a hundredth of the packets lost each way, a round of
// four goes unanswered once in six million.
const askAgents = 4

// ProcessAlive notes that another process is alive: a message has come from it, or from one that has heard it.
func (e *Entry) ProcessAlive(now time.Time, from netip.Addr) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.Log.View().Server(from); ok && e.agents.AwaitingReply() {
		e.Prober.Probe(from, nil, doubt.NoRound) // an agent that greets others has just started
	}
	e.clear(now, from)
}

// ProbeAnswered notes that another process has answered a question of a round.
func (e *Entry) ProbeAnswered(now time.Time, from netip.Addr, round uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.doubted.Acked(now, from, round)
	e.answered(from)
}

// answered notes that another process has answered something that this entry sent.
func (e *Entry) answered(from netip.Addr) {
	if _, ok := e.Log.View().Server(from); !ok {
		return
	}
	if e.agents.Received() {
		e.Events.State("reached").Send()
	}
}

// ReachesAgents says whether agents answer the entry.
func (e *Entry) ReachesAgents() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.agents.Failed()
}

// watch asks agents when they are silent.
func (e *Entry) watch(now time.Time) {
	switch e.agents.Tick(now, detect.Open) {
	case detect.Probe:
		for _, a := range e.some(e.Log.View().Homes.Agents(), askAgents) {
			e.Prober.Probe(a, nil, doubt.NoRound)
		}
		asks.Inc()
	case detect.Failed:
		e.Events.State("cut-off").Int("agents", len(e.Log.View().Homes.Agents())).Send()
	case detect.None:
	}
}

// some picks at most n of the addresses at random.
func (e *Entry) some(all []netip.Addr, n int) (picked []netip.Addr) {
	for _, i := range e.Rand.Perm(len(all)) {
		if len(picked) == n {
			break
		}
		picked = append(picked, all[i])
	}
	return picked
}
