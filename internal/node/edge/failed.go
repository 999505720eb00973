package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// Resetting the flows of a failed agent.
//
// Failure: an instance beside a server loses power, freezes or is cut off from all others. Callers' packets
// of its flows are lost and the callers don't learn of it. Each caller waits until its deadline, and in a
// pool of flows every further flow that is used fails in the same way.
//
// Guard: repeated data, or an opening packet without an answer, makes the agent suspected, and it is probed
// directly and by way of other agents. After four unanswered rounds the agent has failed, and this entry
// resets the flows of the agent that it knows. A request that may run twice then runs elsewhere within its
// deadline, and an idle flow is no longer in the pool.
//
// Why the guard is safe: a failed agent has answered neither this entry nor the helpers for most of a
// second, so nothing that its server sends reaches a caller either, since it goes by way of the agent.
// Package doubt lists what looks like a failure and is none. In addition:
//   - A server other than the first that this entry recorded may hold the flow, as after a freeze. Only
//     flows whose owner is confirmed are reset (owner.EntryFlow).

// resetsPerTick paces the resets after a failure to 2,000 a second, so that the next attempts of those
// callers don't all reach the remaining servers at once.
const resetsPerTick = 100

// suspect records that an agent has left a packet unanswered.
func (e *Entry) suspect(now time.Time, agent netip.Addr) {
	if !e.Off.Lost && !e.Control.Leaving(agent) {
		e.suspects.Suspect(now, agent)
	}
}

// clear ends any suspicion of an agent.
func (e *Entry) clear(now time.Time, agent netip.Addr) {
	if e.suspects.MarkAlive(now, agent) {
		e.Events.State("agent-back").Stringer("agent", agent).Send()
	}
}

// checkSuspects probes the suspected agents and queues the flows of agents that have failed to be reset.
func (e *Entry) checkSuspects(now time.Time) {
	v := e.Log.View()
	exempt := func(agent netip.Addr) bool { return e.reach.Failed() || e.Control.Leaving(agent) }
	for _, agent := range e.suspects.Tick(now, v.Homes.Agents(), exempt) {
		before := len(e.toReset)
		e.toReset = append(e.toReset, e.flows.OwnedBy(agent)...)
		e.Events.State("agent-lost").Stringer("agent", agent).Int("flows", len(e.toReset)-before).Stringer("revision", v.Revision).Send()
	}
}

// notifyFailed sends a home the agents that this entry knows to have failed, since the home may be about to
// forward a packet to one of them.
func (e *Entry) notifyFailed(now time.Time, v *belief.View, home netip.Addr) {
	list := e.suspects.FailuresFor(now, home)
	if len(list) == 0 {
		return
	}
	m := msgs.Failed{Header: msgs.Header{Revision: v.Revision}, Agents: list}
	e.buf = m.AppendTo(e.buf[:0])
	e.Wire.ToPeer(home, e.buf)
}

// resetFailedFlows resets some of the queued flows, unless their agent is alive again.
func (e *Entry) resetFailedFlows(now time.Time) {
	n := min(len(e.toReset), resetsPerTick)
	for _, f := range e.toReset[:n] {
		p := e.flows.Get(f)
		if p == nil {
			continue
		}
		if e.suspects.Failed(p.Owner) {
			e.reset(now, f, p)
		}
	}
	e.toReset = e.toReset[n:]
}

// reset resets an open flow and deletes it.
func (e *Entry) reset(now time.Time, f segs.Flow, p *owner.EntryFlow) {
	e.flows.Delete(f)
	e.packet = e.Codec.Reset(e.packet[:0], segs.Segment{Flow: f, Flags: segs.Ack, Ack: p.Ack})
	e.Wire.ToCaller(f.Caller, e.packet)
	countReset("lost")
	age, _ := e.Control.Age(now)
	e.Events.Flow(event.Failure, "owner-lost", f).Stringer("agent", p.Owner).
		Stringer("revision", e.Log.Revision()).Dur("age", age).Send()
}
