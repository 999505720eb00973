package local

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// Agents that are lost while flows are looked for.
//
// The failure: a failure domain loses power, or an instance is cut off. Its agents answer no question, so that no search ends, of
// whatever flow, and callers of flows that nobody holds wait until their deadlines: those of the lost servers, whose
// packets now come by entries that don't know them.
//
// The guard: an agent that has left a lead's questions unanswered, or to which a home has passed on a packet and that hasn't been heard
// lately, is in doubt (package doubt). When it is lost, rounds don't wait for it, and its flows are looked for, as another server may hold
// them. Who knows of lost agents tells whom it asks or answers: an entry the homes, a home the lead, a lead the homes.
//
// Why it holds: nothing that a lost agent's server sends reaches a caller, since it goes by the agent. If half of all agents or more are
// lost, it may be the lead that is cut off, with some others: then nobody is left out.

// present returns the agents whose answers a lead waits for.
func (a *Agent) present() []netip.Addr {
	all := a.Log.View().Homes.Agents()
	if a.doubted.AllHealthy() {
		return all
	}
	present := slices.DeleteFunc(slices.Clone(all), a.doubted.Failed)
	if 2*len(present) <= len(all) {
		return all
	}
	return present
}

const (
	// passedFor is how long a packet is kept that was passed on to a flow's owner: an owner that doesn't answer is lost by then.
	passedFor = 1500 * time.Millisecond
	// mostPassed bounds the memory for it, one packet of 1.2 KB each.
	mostPassed = 1024
)

// passing is a packet that a home has passed on to a flow's owner.
type passing struct {
	owner  netip.Addr
	carry  msgs.Forward
	packet []byte
	at     time.Time
}

// keepPassed keeps a packet that goes to an owner which hasn't been heard lately, and puts the owner in doubt.
func (a *Agent) keepPassed(now time.Time, owner netip.Addr, m msgs.Forward, s *segs.Segment) {
	if a.Off.Lost || a.Control.Leaving(owner) {
		return
	}
	a.doubted.SuspectUnlessSeen(now, owner)
	if s.Len == 0 || len(a.passed) >= mostPassed || !a.doubted.Suspected(owner) {
		return
	}
	p := passing{owner: owner, carry: m, packet: slices.Clone(m.Packet), at: now}
	p.carry.Packet = p.packet
	a.passed[s.Flow] = p
}

// seekPassed looks for the flows whose owners are lost, by the packets that were passed on to them, and forgets those that have come.
func (a *Agent) seekPassed(now time.Time) {
	for f, p := range a.passed {
		switch {
		case a.doubted.Failed(p.owner):
			delete(a.passed, f)
			if s, err := a.Codec.Decode(p.packet, segs.CallerEnd); err == nil {
				a.searchFor(now, p.carry, &s)
			}
		case !a.doubted.Suspected(p.owner) || now.Sub(p.at) > passedFor:
			delete(a.passed, f)
		}
	}
}

// tellLost tells a process whom this agent knows to be lost, so that it needn't find out by itself.
func (a *Agent) tellLost(now time.Time, to netip.Addr) {
	list := a.doubted.FailuresFor(now, to)
	if len(list) == 0 {
		return
	}
	m := msgs.Failed{Header: a.head(), Agents: list}
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(to, a.buf)
}

// doubtAll notes that agents have left a question unanswered.
func (a *Agent) doubtAll(now time.Time, agents []netip.Addr) {
	if a.Off.Lost {
		return
	}
	for _, other := range agents {
		if other != a.Self && !a.Control.Leaving(other) {
			a.doubted.Suspect(now, other)
		}
	}
}

// watchDoubted asks the agents in doubt, and notes who is lost.
func (a *Agent) watchDoubted(now time.Time) {
	v := a.Log.View()
	for _, other := range a.doubted.Tick(now, v.Homes.Agents(), a.Control.Leaving) {
		a.Events.State("agent-lost").Stringer("agent", other).Stringer("revision", v.Revision).Send()
	}
	a.seekPassed(now)
}

// MarkAlive notes that another process is alive: a message has come from it, or from one that has heard it.
func (a *Agent) MarkAlive(now time.Time, from netip.Addr) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.doubted.MarkAlive(now, from) {
		a.Events.State("agent-back").Stringer("agent", from).Send()
	}
}

// ProbeAnswered notes that another process has answered a question of a round.
func (a *Agent) ProbeAnswered(now time.Time, from netip.Addr, round uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.doubted.Acked(now, from, round)
}
