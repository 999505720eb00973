package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/detect"
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
// sends reaches a caller either, since it goes by the agent. What looks alike and is not:
//   - Only the way between the entry and the agent is broken: the helpers reach it.
//   - The entry is cut off, or only what it sends is lost: nobody answers any of its questions.
//   - The entry was frozen: its time doesn't count (package detect).
//   - Another server holds the flow than the one that this entry was told first, as after a freeze: only flows whose owner is
//     proved are told (owner.Places).
//   - The agent restarts: it is back after 0.7 s. It is stopped as planned: it has said so, and is never lost.

// lostAfter is when an agent is lost: 0.95 s after the first unanswered packet. Killed ones are back after 0.65 s.
var lostAfter = detect.Bounds{Doubt: 150 * time.Millisecond, Wait: 200 * time.Millisecond, Checks: 4}

const (
	// helpers is how many other agents ask a doubted one too.
	helpers = 2
	// endingsPerTick paces the resets after a loss: 2,000 a second, so that those callers' next tries
	// don't come all at once to the servers that are left.
	endingsPerTick = 100
)

// doubt is an agent in doubt.
type doubt struct {
	*detect.Detector
	answers uint64 // of agents to this entry when the doubt began
}

// doubt notes that an agent has left a packet unanswered.
func (e *Entry) doubt(now time.Time, agent netip.Addr) {
	if e.Off.Lost || e.Ctrl.Leaving(agent) {
		return
	}
	d := e.doubted[agent]
	if d == nil {
		d = &doubt{detect.New(lostAfter), e.answers}
		d.Tick(now)
		e.doubted[agent] = d
	}
	d.Asked(now)
}

// lost says whether an agent is lost.
func (e *Entry) lost(agent netip.Addr) bool {
	d := e.doubted[agent]
	return d != nil && d.Lost()
}

// clear ends all doubt about an agent.
func (e *Entry) clear(agent netip.Addr) {
	d := e.doubted[agent]
	if d == nil {
		return
	}
	delete(e.doubted, agent)
	if d.Lost() {
		e.Events.State("agent-back").Stringer("agent", agent).Send()
	}
}

// watchDoubted asks the agents in doubt, and notes who is lost.
func (e *Entry) watchDoubted(now time.Time) {
	v := e.Log.View()
	for agent, d := range e.doubted {
		if _, there := v.Server(agent); !there || e.agents.Lost() || e.Ctrl.Leaving(agent) {
			delete(e.doubted, agent)
			continue
		}
		switch d.Tick(now) {
		case detect.Check:
			others := e.some(v.Homes.Agents(), helpers)
			e.Vouch.Ask(agent, others)
			for _, o := range others {
				e.Vouch.Ask(o, nil) // whose answer shows that this entry is heard
			}
			asks.Inc()
		case detect.Lost:
			if d.answers == e.answers {
				delete(e.doubted, agent) // nobody hears this entry
				continue
			}
			before := len(e.ending)
			e.ending = append(e.ending, e.flows.Of(agent)...)
			e.Events.State("agent-lost").Stringer("agent", agent).Int("flows", len(e.ending)-before).Uint64("revision", v.Revision).Send()
		case detect.Fine:
		}
	}
}

// tellEnding tells some callers that their flows' agent is lost, if it still is.
func (e *Entry) tellEnding(now time.Time) {
	n := min(len(e.ending), endingsPerTick)
	for _, f := range e.ending[:n] {
		p := e.flows.Get(f)
		if p == nil {
			continue
		}
		if e.lost(p.Owner) {
			e.end(now, f, p)
		}
	}
	e.ending = e.ending[n:]
}

// end resets an open flow and forgets it.
func (e *Entry) end(now time.Time, f segs.Flow, p *owner.Places) {
	e.flows.Delete(f)
	e.packet = e.Codec.Reset(e.packet[:0], segs.Segment{Flow: f, Flags: segs.Ack, Ack: p.Ack})
	e.Wire.ToCaller(f.Caller, e.packet)
	resets("lost")
	age, _ := e.Ctrl.Age(now)
	e.Events.Flow(event.Failure, "owner-lost", f).Stringer("agent", p.Owner).
		Uint64("revision", e.Log.Revision()).Dur("age", age).Send()
}
