// Package owner holds the tables that record which agent owns a flow. An entry uses one (Entry) to send a
// flow's packets to its owner. An agent uses one (Agent) for the flows of its own server, and one (Home) for
// the location records that it keeps as the home of flows.
//
// The owner of a flow is the agent beside the server that holds it. No table is the only copy: a process
// that lacks a record recovers it through the flow's home (package homes) and by querying agents. Tables
// are therefore bounded, and a full one refuses new flows rather than evict open ones.
//
// The package sends nothing and has no clock. It is not safe for concurrent use.
//
// # Usage
//
//	t := owner.NewEntry(limit)
//	p := t.Get(flow)
//	agent, ok := p.AgentFor(ack)
package owner

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/segs"
)

// Candidate is an agent to which a flow's opening packet was sent, or whose server accepted the flow.
type Candidate struct {
	Agent    netip.Addr
	Seq      uint32    // first sequence number of its server, if Accepted
	Accepted bool      // its server has accepted the flow
	Final    bool      // it was sent the opening packet with the request to take the flow itself
	SentAt   time.Time // when the entry first sent the opening packet to it; zero if another process did
}

// EntryFlow is an entry's state of one flow, with the agents tried, the latest one last. Two servers may both
// accept a flow if the first is slow and a copy of the opening packet goes to a second one. The caller's
// acknowledgement then shows which server it chose.
type EntryFlow struct {
	Candidates []Candidate
	LastUsed   time.Time    // last packet
	Attempts   int          // opening packets sent to agents, including refused ones
	Claimed    bool         // an agent has announced that it owns the flow
	Returned   bool         // an agent has returned the opening packet
	Refusers   []netip.Addr // agents that have returned the opening packet since the caller sent it
	OpeningSeq uint32       // sequence number of the caller's opening packet; 0: not seen
	Ack        uint32       // the caller's last acknowledgement; 0 before its first packet after the opening ones
	// Owner is the agent whose server is known to hold the open flow: the agent has announced it, or the
	// caller has acknowledged the sequence number with which the server accepted the flow. Candidates alone
	// do not show the owner, because not every server that accepts is the one that the caller chooses. The
	// zero Addr means unknown.
	Owner netip.Addr
	// Usage is the level of what the caller used when the flow was placed (package usage).
	Usage uint8
	// Charged reports whether the caller was charged for the flow.
	Charged bool
	// Requests is the number of requests seen on the flow. A request begins with data that acknowledges more than the
	// data before it, that is, after an answer.
	Requests int
	dataEnd  uint32 // sequence number after the caller's last data
	dataAck  uint32 // highest acknowledgement of the caller's data
}

// Observe records a caller's packet on the open flow and reports whether it retransmits the data of the
// previous one, which means that this data has not been answered.
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
	again := end == p.dataEnd
	if p.Requests == 0 || int32(s.Ack-p.dataAck) > 0 { // a new acknowledgement; sequence numbers wrap around
		if !again {
			p.Requests++
		}
		p.dataAck = s.Ack
	}
	p.dataEnd = end
	return again
}

// Tried returns the agents of all candidates.
func (p *EntryFlow) Tried() (agents []netip.Addr) {
	for _, c := range p.Candidates {
		agents = append(agents, c.Agent)
	}
	return agents
}

// Last returns the candidate that was added last, or nil if there is none.
func (p *EntryFlow) Last() (c *Candidate) {
	if len(p.Candidates) == 0 {
		return nil
	}
	return &p.Candidates[len(p.Candidates)-1]
}

// SentAt returns when the opening packet that an agent answers was sent. Agents also answer opening packets
// that other agents have passed on to them: for an agent that is no candidate, it is when the packet was sent to
// the last candidate.
func (p *EntryFlow) SentAt(agent netip.Addr) (at time.Time) {
	for _, c := range p.Candidates {
		at = c.SentAt
		if c.Agent == agent {
			break
		}
	}
	return at
}

// AgentFor returns the agent to which a packet with the acknowledgement ack belongs: among the agents whose
// servers accepted, the one whose first sequence number precedes ack most closely, else the one tried last.
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

// MarkAccepted records that an agent's server has accepted the flow.
func (p *EntryFlow) MarkAccepted(agent netip.Addr, seq uint32) {
	for i := range p.Candidates {
		if p.Candidates[i].Agent == agent {
			p.Candidates[i].Seq, p.Candidates[i].Accepted = seq, true
			return
		}
	}
	p.Candidates = append(p.Candidates, Candidate{Agent: agent, Seq: seq, Accepted: true})
}

// Accepted reports whether a server has accepted the flow.
func (p *EntryFlow) Accepted() bool {
	return p.Owner.IsValid() || slices.ContainsFunc(p.Candidates, func(c Candidate) bool { return c.Accepted })
}

// MarkReturned records that an agent has returned the opening packet. If that agent had announced that the
// flow waits there, no agent has the flow any more. With the outdated claim, the flow would not be placed
// elsewhere, and its caller would wait until it gives up.
func (p *EntryFlow) MarkReturned(agent netip.Addr) {
	if last := p.Last(); last != nil && last.Agent == agent && !p.Owner.IsValid() {
		p.Claimed = false
	}
}

// EndAttempt records that an agent has returned the opening packet. It is no candidate if another agent offered it the
// packet.
func (p *EntryFlow) EndAttempt(agent netip.Addr) {
	p.Refusers = append(p.Refusers, agent)
	p.Remove(agent)
}

// LastToTake returns the candidate that was added last of those that were not asked to take the flow themselves, or nil
// if there is none.
func (p *EntryFlow) LastToTake() *Candidate {
	for i := len(p.Candidates) - 1; i >= 0; i-- {
		if c := &p.Candidates[i]; !c.Final {
			return c
		}
	}
	return nil
}

// Repeated records that the caller has sent the opening packet again: agents may be asked again.
func (p *EntryFlow) Repeated() {
	p.Refusers = nil
	for i := range p.Candidates {
		p.Candidates[i].Final = false
	}
}

// Remove removes an agent that does not hold the flow.
func (p *EntryFlow) Remove(agent netip.Addr) {
	for i := range p.Candidates {
		if p.Candidates[i].Agent == agent {
			p.Candidates = append(p.Candidates[:i:i], p.Candidates[i+1:]...)
			return
		}
	}
}

// Entry is an entry's table of flows.
type Entry struct {
	limit     int
	flows     map[segs.Flow]*EntryFlow
	lastSweep time.Time
}

// NewEntry returns a table of at most limit flows.
func NewEntry(limit int) *Entry { return &Entry{limit: limit, flows: map[segs.Flow]*EntryFlow{}} }

// Len returns the number of flows.
func (t *Entry) Len() int { return len(t.flows) }

// Get returns the state of a flow, or nil if the flow is unknown.
func (t *Entry) Get(f segs.Flow) *EntryFlow { return t.flows[f] }

// Add returns the state of a flow and creates it if needed. It returns nil if the flow is new and the table
// is full.
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

// Delete removes a flow.
func (t *Entry) Delete(f segs.Flow) { delete(t.flows, f) }

// OwnedBy returns the flows that an agent is known to own and on which the caller has sent a packet after the
// opening ones.
func (t *Entry) OwnedBy(agent netip.Addr) (flows []segs.Flow) {
	for f, p := range t.flows {
		if p.Owner == agent && p.Ack != 0 {
			flows = append(flows, f)
		}
	}
	return flows
}

// sweepInterval is the time between two scans of a table for expired flows.
const sweepInterval = time.Second

// Expire removes flows without a packet for longer than idle and returns their number.
func (t *Entry) Expire(now time.Time, idle time.Duration) (expired int) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return 0
	}
	t.lastSweep = now
	for f, p := range t.flows {
		if now.Sub(p.LastUsed) > idle {
			delete(t.flows, f)
			expired++
		}
	}
	return expired
}
