package local

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// Failed agents during owner lookups.
//
// Failure: a failure domain loses power, or an instance is cut off. Its agents answer no question, so no lookup
// of any flow ends. Callers of flows that no server holds any more wait until their deadlines: those are the
// flows of the failed servers, whose packets now arrive through entries that have no record of them.
//
// Guard: an agent is suspected (package doubt) if it has left a lead's questions unanswered, or if a home has
// forwarded a packet to it and has received nothing from it lately. Once it has failed, rounds do not wait for
// it, and its flows are looked up, as another server may hold them. Processes that know of failed agents notify
// those that they ask or answer: entries notify homes, homes leads, and leads homes.
//
// This is sufficient because nothing that a failed agent's server sends can reach a caller, as it would pass
// through that agent. If half of all agents or more seem to have failed, it may be the lead that is cut off,
// together with some others: then rounds wait for every agent.

// expectedAgents returns the agents whose answers a lead waits for.
func (a *Agent) expectedAgents() []netip.Addr {
	all := a.Log.View().Homes.Agents()
	if a.suspects.AllHealthy() {
		return all
	}
	present := slices.DeleteFunc(slices.Clone(all), a.suspects.Failed)
	if 2*len(present) <= len(all) {
		return all
	}
	return present
}

const (
	// forwardedRetention is how long a packet that was forwarded to a flow's owner is kept. An owner that does
	// not answer has been declared failed by then.
	forwardedRetention = 1500 * time.Millisecond
	// maxForwarded bounds the memory for these packets, which take up to 1.2 KB each.
	maxForwarded = 1024
)

// forwardedPacket is a packet that a home has forwarded to a flow's owner.
type forwardedPacket struct {
	owner   netip.Addr
	message msgs.Forward
	packet  []byte
	at      time.Time
}

// keepForwarded keeps a packet that is forwarded to an owner from which nothing has been received lately, and
// suspects the owner.
func (a *Agent) keepForwarded(now time.Time, owner netip.Addr, m msgs.Forward, s *segs.Segment) {
	if a.Off.Lost || a.Control.Leaving(owner) {
		return
	}
	a.suspects.SuspectUnlessSeen(now, owner)
	if s.Len == 0 || len(a.forwardedPackets) >= maxForwarded || !a.suspects.Suspected(owner) {
		return
	}
	p := forwardedPacket{owner: owner, message: m, packet: slices.Clone(m.Packet), at: now}
	p.message.Packet = p.packet
	a.forwardedPackets[s.Flow] = p
}

// lookUpForwarded starts a lookup of the flows whose owners have failed, with the packets that were forwarded
// to these owners. It drops the packets whose owners are no longer suspected.
func (a *Agent) lookUpForwarded(now time.Time) {
	for f, p := range a.forwardedPackets {
		switch {
		case a.suspects.Failed(p.owner):
			delete(a.forwardedPackets, f)
			if s, err := a.Codec.Decode(p.packet, segs.CallerEnd); err == nil {
				a.startLookup(now, p.message, &s)
			}
		case !a.suspects.Suspected(p.owner) || now.Sub(p.at) > forwardedRetention:
			delete(a.forwardedPackets, f)
		}
	}
}

// sendFailed notifies a process of the failed agents, so that it need not detect them by itself.
func (a *Agent) sendFailed(now time.Time, to netip.Addr) {
	list := a.suspects.FailuresFor(now, to)
	if len(list) == 0 {
		return
	}
	m := msgs.Failed{Header: a.head(), Agents: list}
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(to, a.buf)
}

// suspectAll notes that agents have left a question unanswered.
func (a *Agent) suspectAll(now time.Time, agents []netip.Addr) {
	if a.Off.Lost {
		return
	}
	for _, other := range agents {
		if other != a.Self && !a.Control.Leaving(other) {
			a.suspects.Suspect(now, other)
		}
	}
}

// checkSuspects probes the suspected agents and logs those that have failed.
func (a *Agent) checkSuspects(now time.Time) {
	v := a.Log.View()
	for _, other := range a.suspects.Tick(now, v.Homes.Agents(), a.Control.Leaving) {
		a.Events.State("agent-lost").Stringer("agent", other).Stringer("revision", v.Revision).Send()
	}
	a.lookUpForwarded(now)
}

// MarkAlive notes that another process is alive: a message has arrived from it, or an acknowledgement of an
// indirect probe of it.
func (a *Agent) MarkAlive(now time.Time, from netip.Addr) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.suspects.MarkAlive(now, from) {
		a.Events.State("agent-back").Stringer("agent", from).Send()
	}
}

// ProbeAnswered notes that another process has answered a question of a probe round.
func (a *Agent) ProbeAnswered(now time.Time, from netip.Addr, round uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspects.Acked(now, from, round)
}
