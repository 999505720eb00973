package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/load/detect"
	"mangowinch/internal/node/doubt"
)

// Detecting that the entry is cut off from the rest of the system.
//
// Failure: the path from an entry to all other processes breaks while callers and routers still reach the
// entry. The entry still answers the routers' readiness checks, so they keep sending callers of its zone to
// it, and each of their packets is lost. The opening packets are lost until the caller gives up after 1.4
// s, three times in a row.
//
// Guard: an agent answers an opening packet at once, whether it accepts, queues or returns the flow. An
// entry that gets no answer probes several agents. If none of two rounds is answered, the entry becomes not
// ready and refuses new flows, and the caller's next attempt arrives by another entry. Messages from other
// entries don't count, because entries behind the same cut still receive each other's. Nor do beacons,
// which still arrive if only what the entry sends is lost.

// reachBounds declares the entry cut off 0.55 s after the first opening packet that no agent answered.
// Answers take 2 ms between failure domains, 20 ms between regions, and about 100 ms through a full link.
var reachBounds = detect.Config{SuspectAfter: 150 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond, Probes: 2}

// probeFanout is the number of agents that are probed in a round. With 1% of the packets lost in each
// direction, all four probes of a round go unanswered once in six million rounds.
const probeFanout = 4

// MarkAlive records that another process is alive, because a message arrived from it or from a process
// that has received one from it.
func (e *Entry) MarkAlive(now time.Time, from netip.Addr) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.Log.View().Server(from); ok && e.reach.AwaitingReply() {
		e.Prober.Probe(from, nil, doubt.NoRound) // the agent may just have started and be able to answer
	}
	e.clear(now, from)
}

// ProbeAnswered records that another process has answered a probe of a round.
func (e *Entry) ProbeAnswered(now time.Time, from netip.Addr, round uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects.Acked(now, from, round)
	e.agentAnswered(from)
}

// agentAnswered records that another process has answered something that this entry sent.
func (e *Entry) agentAnswered(from netip.Addr) {
	if _, ok := e.Log.View().Server(from); !ok {
		return
	}
	if e.reach.Received() {
		e.Events.State("reached").Send()
	}
}

// ReachesAgents reports whether agents answer this entry.
func (e *Entry) ReachesAgents() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.reach.Failed()
}

// checkReach probes some agents if opening packets have gone unanswered.
func (e *Entry) checkReach(now time.Time) {
	switch e.reach.Tick(now, detect.Open) {
	case detect.Probe:
		for _, a := range e.sample(e.Log.View().Homes.Agents(), probeFanout) {
			e.Prober.Probe(a, nil, doubt.NoRound)
		}
		reachProbes.Inc()
	case detect.Failed:
		e.Events.State("cut-off").Int("agents", len(e.Log.View().Homes.Agents())).Send()
	case detect.None:
	}
}

// sample returns at most n of the addresses, selected at random.
func (e *Entry) sample(all []netip.Addr, n int) (sampled []netip.Addr) {
	for _, i := range e.Rand.Perm(len(all)) {
		if len(sampled) == n {
			break
		}
		sampled = append(sampled, all[i])
	}
	return sampled
}
