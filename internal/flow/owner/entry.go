// Package owner remembers which agent owns a flow: at an entry to send its packets
// there, at an agent to know the flows of its own server and to be the home of others'.
//
// The owner of a flow is the agent beside the server that holds it. Nothing here is the only copy:
// what a process forgets or never knew is found again through homes (package
// homes) and by asking agents. So tables are bounded, and a full one refuses new flows and
// forgets none that are open.
//
// The package sends nothing and has no clock; it is not safe for concurrent use.
//
// # Usage
//
//	t := owner.NewEntry(limit)
//	p := t.Get(flow)
//	agent, ok := p.For(ack)
package owner

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/segs"
)

// Candidate is an agent to which a flow's opening packet was sent.
type Candidate struct {
	Agent    netip.Addr
	Seq      uint32 // first sequence number of its server, if Opened
	Accepted bool   // its server accepted the flow
}

// EntryFlow is what an entry knows of one flow: the agents tried, the last one last. Two servers
// may both accept when the first was slow and a copy of the opening packet went to
// a second; the caller's acknowledgement tells which one it chose.
type EntryFlow struct {
	Candidates []Candidate
	LastUsed   time.Time // last packet
	Attempts   int       // agents that got an opening packet, also those that refused
	Claimed    bool      // an agent said that it owns the flow
	Returned   bool      // an agent has handed the opening packet back
	Ack        uint32    // what the caller acknowledged last, 0 before its first packet after the opening ones
	// Owner is the agent whose server is known to hold the open flow: the agent has said so, or the caller has acknowledged the
	// number with which the server accepted it. A server that accepted may not be the one that the caller
	// chose, so Candidates alone don't tell. Invalid: not known.
	Owner netip.Addr
	end   uint32 // sequence number after the caller's last data
}

// Observe notes a packet of the open flow and says whether its data is that of the last one again: what the caller sent
// has had no answer.
func (p *EntryFlow) Observe(s *segs.Segment) bool {
	p.Ack = s.Ack
	for _, c := range p.Candidates {
		if !p.Owner.IsValid() && c.Accepted && segs.IsFirstAck(s.Ack, c.Seq) {
			p.Owner = c.Agent
		}
	}
	if s.Len == 0 {
		return false
	}
	end := s.Seq + uint32(s.Len)
	again := end == p.end
	p.end = end
	return again
}

// Tried returns the agents that got an opening packet.
func (p *EntryFlow) Tried() (agents []netip.Addr) {
	for _, c := range p.Candidates {
		agents = append(agents, c.Agent)
	}
	return agents
}

// Last returns the agent tried last.
func (p *EntryFlow) Last() (c *Candidate) {
	if len(p.Candidates) == 0 {
		return nil
	}
	return &p.Candidates[len(p.Candidates)-1]
}

// AgentFor returns the agent for a packet with an acknowledgement: of those whose
// servers accepted, the one whose numbers it is nearest to, else the one tried last.
func (p *EntryFlow) AgentFor(ack uint32) (agent netip.Addr, ok bool) {
	if len(p.Candidates) == 0 {
		return netip.Addr{}, false
	}
	best := p.Last()
	for i := range p.Candidates {
		c := &p.Candidates[i]
		if c.Accepted && (!best.Accepted || segs.Distance(ack, c.Seq) < segs.Distance(ack, best.Seq)) {
			best = c
		}
	}
	return best.Agent, true
}

// MarkAccepted notes that an agent's server accepted the flow.
func (p *EntryFlow) MarkAccepted(agent netip.Addr, seq uint32) {
	for i := range p.Candidates {
		if p.Candidates[i].Agent == agent {
			p.Candidates[i].Seq, p.Candidates[i].Accepted = seq, true
			return
		}
	}
	p.Candidates = append(p.Candidates, Candidate{Agent: agent, Seq: seq, Accepted: true})
}

// MarkReturned notes that an agent has handed the opening packet back. If it had said that the flow waits there, nobody has the flow now;
// remembered as waiting, it would be placed nowhere, and its caller would wait until it gives up.
func (p *EntryFlow) MarkReturned(agent netip.Addr) {
	if last := p.Last(); last != nil && last.Agent == agent && !p.Owner.IsValid() {
		p.Claimed = false
	}
}

// Remove removes an agent that doesn't hold the flow.
func (p *EntryFlow) Remove(agent netip.Addr) {
	for i := range p.Candidates {
		if p.Candidates[i].Agent == agent {
			p.Candidates = append(p.Candidates[:i:i], p.Candidates[i+1:]...)
			return
		}
	}
}

// Entry is an entry's table.
type Entry struct {
	limit int
	flows map[segs.Flow]*EntryFlow
	sweep time.Time
}

// NewEntry returns a table of at most limit flows.
func NewEntry(limit int) *Entry {
	return &Entry{limit: limit, flows: map[segs.Flow]*EntryFlow{}}
}

// Len is the number of flows.
func (t *Entry) Len() int { return len(t.flows) }

// Get returns what is known of a flow, or nil.
func (t *Entry) Get(f segs.Flow) *EntryFlow { return t.flows[f] }

// Add begins a flow; it returns nil if the table is full.
func (t *Entry) Add(now time.Time, f segs.Flow) *EntryFlow {
	if p := t.flows[f]; p != nil {
		return p
	}
	if len(t.flows) >= t.limit {
		return nil
	}
	p := &EntryFlow{LastUsed: now}
	t.flows[f] = p
	return p
}

// Delete forgets a flow.
func (t *Entry) Delete(f segs.Flow) { delete(t.flows, f) }

// OwnedBy returns the flows that an agent is known to own and on which the caller has sent something.
func (t *Entry) OwnedBy(agent netip.Addr) (flows []segs.Flow) {
	for f, p := range t.flows {
		if p.Owner == agent && p.Ack != 0 {
			flows = append(flows, f)
		}
	}
	return flows
}

// sweepEvery is how often all flows are looked at.
const sweepEvery = time.Second

// Expire forgets flows without a packet for longer than idle.
func (t *Entry) Expire(now time.Time, idle time.Duration) (expired int) {
	if now.Sub(t.sweep) < sweepEvery {
		return 0
	}
	t.sweep = now
	for f, p := range t.flows {
		if now.Sub(p.LastUsed) > idle {
			delete(t.flows, f)
			expired++
		}
	}
	return expired
}
