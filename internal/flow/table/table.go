// Package table decides, at an agent, what to do with a datagram: keep it, forward it to another agent of the
// service, or drop it.
//
// A flow's first datagrams carry a connection ID that the caller chose. Two entries with different documents
// may send them to two agents, and a leaving server may receive them from an entry that does not know yet
// that it leaves. An agent that does not own the flow and should not take it therefore forwards it (second
// chance, as in Beamer, NSDI 2018, and GitHub's load balancer). Hops are counted, so that two outdated views
// cannot forward a datagram in a loop.
//
// As soon as the caller uses an ID that the agent made, the datagram names its server and needs no lookup
// here. The table therefore holds flows for seconds only, and its loss costs a caller one retransmission.
//
// The package depends on neither QUIC nor the network. The current time is a parameter.
//
// # Usage
//
//	t := table.New(self, limit, maxHops)
//	d := t.Decide(now, table.Datagram{Key: key, Candidates: c, Hops: hops}, accepting)
package table

import "time"

// Verdict is what to do with a datagram.
type Verdict uint8

// The verdicts.
const (
	Keep    Verdict = iota // pass it to this agent's QUIC
	Forward                // forward it to Decision.Server
	Drop                   // drop it for Decision.Reason
)

// Reason is the reason why a datagram was dropped.
type Reason string

// The reasons.
const (
	TooManyHops   Reason = "hops"  // names a server, but was forwarded too often
	UnknownServer Reason = "owner" // the server to forward to is not in the document, or there is none
)

// Stage is what the sender has already found out about the flow's owner.
type Stage uint8

// The stages.
const (
	Fresh   Stage = iota // nothing: the datagram comes from an entry or names its server
	IfOwner              // this agent may own the flow: keep the datagram only if it does
	NoOwner              // no agent that was asked owns the flow
)

// retention is the least time for which an opened flow is kept. The QUIC settings of this project limit a
// handshake to 10 s, and after it the flow's datagrams name their server.
const retention = 10 * time.Second

// formerWindow is how long the former choice is asked about a flow. It is longer than the milliseconds
// between the datagrams of a first flight, and shorter than a caller's first timeout, which is 200 ms or more
// before the caller knows the round-trip time.
const formerWindow = 100 * time.Millisecond

// Datagram describes a datagram.
type Datagram struct {
	Key         uint64   // hash of the caller-chosen ID; unused if NamesServer
	NamesServer bool     // the connection ID names Server
	Server      uint32   // set if NamesServer
	Candidates  []uint32 // set otherwise, best first
	HasFormer   bool     // the last candidate is the choice under the previous document and may own the flow
	Stage       Stage
	Hops        int
}

// Decision is what to do with a datagram.
type Decision struct {
	Verdict Verdict
	Server  uint32 // Forward: the receiver
	Stage   Stage  // Forward: the stage to send along
	Reason  Reason // Drop: the reason
}

// Table holds an agent's flows that are being opened. It is not safe for concurrent use.
type Table struct {
	self    uint32
	limit   int
	maxHops int
	// Flows are kept in two generations: lookups use both, inserts go to young. Dropping the old generation
	// as a whole expires flows without a timer for each of them.
	young, old  map[uint64]struct{}
	rotated     time.Time
	formerAsked map[uint64]time.Time // when the former choice was first asked about a flow
}

// New returns an empty table for the agent of server self. It holds at most limit flows in each of two
// generations and does not forward a datagram that has made maxHops hops.
func New(self uint32, limit, maxHops int) *Table {
	return &Table{
		self:        self,
		limit:       limit,
		maxHops:     maxHops,
		young:       make(map[uint64]struct{}),
		formerAsked: make(map[uint64]time.Time),
	}
}

// Decide returns what to do with a datagram. accepting reports whether this server takes new flows. A new
// flow that is to be kept is added to the table.
func (t *Table) Decide(now time.Time, d Datagram, accepting bool) Decision {
	if d.NamesServer {
		return t.forwardNamed(d)
	}
	t.rotate(now)
	if t.owns(d.Key) {
		return Decision{Verdict: Keep}
	}
	switch {
	case d.Hops >= t.maxHops:
		// The former choice has been asked and has returned the flow, and leaving servers have forwarded it.
		// This agent keeps the flow even if its server is leaving: the caller then gets the answer "not run"
		// and not silence.
		t.add(d.Key)
		return Decision{Verdict: Keep}
	case d.Stage == IfOwner:
		return t.returnToFirst(d)
	case d.Stage == Fresh && d.HasFormer && last(d.Candidates) != t.self && !t.formerDone(now, d.Key):
		return Decision{Verdict: Forward, Server: last(d.Candidates), Stage: IfOwner}
	case accepting:
		t.add(d.Key)
		return Decision{Verdict: Keep}
	default:
		return t.forwardNext(d)
	}
}

func (t *Table) forwardNamed(d Datagram) Decision {
	if d.Server == t.self {
		return Decision{Verdict: Keep}
	}
	if d.Hops >= t.maxHops {
		return Decision{Verdict: Drop, Reason: TooManyHops}
	}
	return Decision{Verdict: Forward, Server: d.Server, Stage: Fresh}
}

// returnToFirst returns a datagram to the first candidate, which asked whether this agent owns the flow.
func (t *Table) returnToFirst(d Datagram) Decision {
	if len(d.Candidates) == 0 {
		return Decision{Verdict: Drop, Reason: UnknownServer}
	}
	return Decision{Verdict: Forward, Server: d.Candidates[0], Stage: NoOwner}
}

// forwardNext forwards a new flow to the candidate after this one. Without a further candidate, all
// candidates are leaving. The flow is then kept, so that its requests get the answer "not run" at once
// instead of silence.
func (t *Table) forwardNext(d Datagram) Decision {
	after := d.Candidates
	for i, c := range d.Candidates {
		if c == t.self {
			after = d.Candidates[i+1:]
			break
		}
	}
	if len(after) == 0 {
		t.add(d.Key)
		return Decision{Verdict: Keep}
	}
	return Decision{Verdict: Forward, Server: after[0], Stage: NoOwner}
}

// Owns reports whether this agent keeps a flow that is being opened.
func (t *Table) Owns(now time.Time, key uint64) bool {
	t.rotate(now)
	return t.owns(key)
}

// Size returns the number of flows in the table.
func (t *Table) Size() int { return len(t.young) + len(t.old) }

func (t *Table) owns(key uint64) bool {
	if _, ok := t.young[key]; ok {
		return true
	}
	_, ok := t.old[key]
	return ok
}

// add adds a flow unless the table is full. A full table neither evicts nor adds flows: a flood of opening
// datagrams then only disables the second chance for further flows, memory stays bounded, and flows still
// open.
func (t *Table) add(key uint64) {
	if len(t.young) < t.limit {
		t.young[key] = struct{}{}
	}
}

func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotated) < retention {
		return
	}
	t.old = t.young
	if now.Sub(t.rotated) >= 2*retention {
		t.old = nil // no call for two retention periods: both generations have expired
	}
	t.young = make(map[uint64]struct{})
	t.formerAsked = make(map[uint64]time.Time)
	t.rotated = now
}

// formerDone reports whether the former choice was first asked about a flow longer than formerWindow ago. The
// former choice may have failed: a datagram forwarded to it is then lost, and the caller retransmits after
// its first timeout. If it were asked each time, all attempts would be lost until the previous document is
// forgotten. The two datagrams of a first flight arrive together, and both are forwarded to it.
func (t *Table) formerDone(now time.Time, key uint64) bool {
	first, ok := t.formerAsked[key]
	if !ok && len(t.formerAsked) < t.limit {
		t.formerAsked[key] = now
	}
	return ok && now.Sub(first) > formerWindow
}

func last(ids []uint32) uint32 {
	if len(ids) == 0 {
		return 0
	}
	return ids[len(ids)-1]
}
