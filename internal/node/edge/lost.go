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

// An agent that is lost, and the flows that it owned.
//
// The failure: an instance beside a server loses power, freezes or is cut off from everybody. Callers' packets of its flows go
// nowhere, and nobody tells the callers: each waits until its deadline, and of a pool of flows each next
// one that is used is lost in the same way.
//
// The guard: data that comes again, or an opening packet without an answer, puts the agent in doubt, and it is asked directly and by way of
// other agents. When four rounds have had no answer, the agent is lost, and the callers of its flows that this
// entry knows are told by a reset: a request that may run twice runs elsewhere within its deadline, and a flow that
// rests is not there to be used.
//
// Why it holds. A lost agent answers neither this entry nor the helpers for most of a second, so nothing that its server
// sends reaches a caller either, since it goes by the agent. Package doubt says what looks alike and is no loss. Besides:
//   - Another server holds the flow than the one that this entry was told first, as after a freeze: only flows whose owner is
//     proved are told (owner.EntryFlow).

// endingsPerTick paces the resets after a loss: 2,000 a second, so that those callers' next tries
// don't come all at once to the servers that are left.
const endingsPerTick = 100

// doubt notes that an agent has left a packet unanswered.
func (e *Entry) doubt(now time.Time, agent netip.Addr) {
	if !e.Off.Lost && !e.Ctrl.Leaving(agent) {
		e.doubted.Suspect(now, agent)
	}
}

// clear ends all doubt about an agent.
func (e *Entry) clear(now time.Time, agent netip.Addr) {
	if e.doubted.MarkAlive(now, agent) {
		e.Events.State("agent-back").Stringer("agent", agent).Send()
	}
}

// watchDoubted asks the agents in doubt, and notes who is lost.
func (e *Entry) watchDoubted(now time.Time) {
	v := e.Log.View()
	exempt := func(agent netip.Addr) bool { return e.agents.Failed() || e.Ctrl.Leaving(agent) }
	for _, agent := range e.doubted.Tick(now, v.Homes.Agents(), exempt) {
		before := len(e.ending)
		e.ending = append(e.ending, e.flows.OwnedBy(agent)...)
		e.Events.State("agent-lost").Stringer("agent", agent).Int("flows", len(e.ending)-before).Stringer("revision", v.Revision).Send()
	}
}

// tellLost tells a home whom this entry knows to be lost: the home may be about to pass a packet on to one of them.
func (e *Entry) tellLost(now time.Time, v *belief.View, home netip.Addr) {
	list := e.doubted.FailuresFor(now, home)
	if len(list) == 0 {
		return
	}
	m := msgs.Failed{Header: msgs.Header{Revision: v.Revision}, Agents: list}
	e.buf = m.AppendTo(e.buf[:0])
	e.Wire.ToPeer(home, e.buf)
}

// tellEnding tells some callers that their flows' agent is lost, if it still is.
func (e *Entry) tellEnding(now time.Time) {
	n := min(len(e.ending), endingsPerTick)
	for _, f := range e.ending[:n] {
		p := e.flows.Get(f)
		if p == nil {
			continue
		}
		if e.doubted.Failed(p.Owner) {
			e.end(now, f, p)
		}
	}
	e.ending = e.ending[n:]
}

// end resets an open flow and forgets it.
func (e *Entry) end(now time.Time, f segs.Flow, p *owner.EntryFlow) {
	e.flows.Delete(f)
	e.packet = e.Codec.Reset(e.packet[:0], segs.Segment{Flow: f, Flags: segs.Ack, Ack: p.Ack})
	e.Wire.ToCaller(f.Caller, e.packet)
	resets("lost")
	age, _ := e.Ctrl.Age(now)
	e.Events.Flow(event.Failure, "owner-lost", f).Stringer("agent", p.Owner).
		Stringer("revision", e.Log.Revision()).Dur("age", age).Send()
}
