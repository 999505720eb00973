// Package table decides at an agent what becomes of a datagram: keep it, pass it
// on to another agent of the service, or refuse it.
//
// A flow's first datagrams carry an ID that the caller chose. Two entries with
// different documents may send them to two agents, and a server that is leaving may
// get them from an entry that does not know yet. So an agent that does not own
// the flow and should not take it passes it on (second chance, as in Beamer,
// NSDI 2018, and GitHub's load balancer). Hops are counted, so that two stale views
// cannot send a datagram round for ever.
//
// From the moment the caller uses an ID the agent made, the datagram names its
// server and this table is not asked. It therefore holds flows for seconds, and
// losing it costs a caller one retransmission.
//
// The package knows no QUIC and no network; time is handed in.
//
// # Usage
//
//	t := table.New(own, limit)
//	d := t.Decide(now, table.Datagram{Key: key, Candidates: c, Hops: hops}, accepting)
package table

import "time"

// Verdict is what to do with a datagram.
type Verdict uint8

// The verdicts.
const (
	Keep    Verdict = iota // hand it to QUIC here
	Forward                // send it to Decision.Server
	Drop                   // count it under Decision.Reason
)

// Reason says why a datagram was dropped.
type Reason string

// The reasons.
const (
	TooManyHops   Reason = "hops"  // names a server and was passed on too often all the same
	UnknownServer Reason = "owner" // names a server that the document does not have
)

// Stage says what the sender already found out.
type Stage uint8

// The stages.
const (
	Fresh   Stage = iota // from an entry
	IfOwner              // the sender thinks that this agent may own the flow
	NoOwner              // the agents asked do not own it
)

// remember is how long an opened flow is kept in mind: QUIC gives a handshake
// 10 s at most by our settings, and after that the flow's datagrams name their server.
const remember = 10 * time.Second

// askFor is how long the other candidate is asked about a flow. It is more than
// the milliseconds between the datagrams of one first flight, and less than a
// caller's first timeout, 200 ms and over before it knows the round trip.
const askFor = 100 * time.Millisecond

// Datagram is what is known of a datagram.
type Datagram struct {
	Key         uint64   // of the caller-chosen ID; meaningless when Named
	NamesServer bool     // the ID names Server
	Server      uint32   // when Named
	Candidates  []uint32 // otherwise, best first
	HasFormer   bool     // the last candidate may own the flow by the document before
	Stage       Stage
	Hops        int
}

// Decision is what to do.
type Decision struct {
	Verdict Verdict
	Server  uint32 // Pass: to whom
	Stage   Stage  // Pass: what to tell it
	Reason  Reason // Drop: why
}

// Table is one agent's flows that are being opened. It is not safe for
// concurrent use.
type Table struct {
	own     uint32
	limit   int
	maxHops int
	// Two generations: lookups see both, inserts go to the young one. Dropping
	// the old one whole forgets flows without a timer each.
	young, old map[uint64]struct{}
	turned     time.Time
	asked      map[uint64]time.Time // when the other candidate was first asked
}

// New returns an empty table of server own, which holds at most limit flows in
// each of two generations and passes nothing on that has made maxHops hops.
func New(own uint32, limit, maxHops int) *Table {
	return &Table{
		own:     own,
		limit:   limit,
		maxHops: maxHops,
		young:   make(map[uint64]struct{}),
		asked:   make(map[uint64]time.Time),
	}
}

// Decide says what becomes of a datagram. Accepting says whether this server takes
// new flows. It takes the flow into the table when it is to be kept.
func (t *Table) Decide(now time.Time, d Datagram, accepting bool) Decision {
	if d.NamesServer {
		return t.named(d)
	}
	t.turn(now)
	if t.owns(d.Key) {
		return Decision{Verdict: Keep}
	}
	switch {
	case d.Hops >= t.maxHops:
		// Asked, handed back, and one leaving server after another: whoever has it
		// now keeps it. A drop would leave the caller without a word, and a leaving
		// server's answer "not run" is one.
		t.take(d.Key)
		return Decision{Verdict: Keep}
	case d.Stage == IfOwner:
		return t.handBack(d)
	case d.Stage == Fresh && d.HasFormer && last(d.Candidates) != t.own && !t.askedBefore(now, d.Key):
		return Decision{Verdict: Forward, Server: last(d.Candidates), Stage: IfOwner}
	case accepting:
		t.take(d.Key)
		return Decision{Verdict: Keep}
	default:
		return t.next(d)
	}
}

func (t *Table) named(d Datagram) Decision {
	if d.Server == t.own {
		return Decision{Verdict: Keep}
	}
	if d.Hops >= t.maxHops {
		return Decision{Verdict: Drop, Reason: TooManyHops}
	}
	return Decision{Verdict: Forward, Server: d.Server, Stage: Fresh}
}

// handBack returns a datagram to the first candidate, which asked.
func (t *Table) handBack(d Datagram) Decision {
	if len(d.Candidates) == 0 {
		return Decision{Verdict: Drop, Reason: UnknownServer}
	}
	return Decision{Verdict: Forward, Server: d.Candidates[0], Stage: NoOwner}
}

// next passes a new flow on to the candidate behind this one. Where there is none,
// every candidate is leaving: the flow is kept, so that its requests get the answer
// "not run" at once instead of silence.
func (t *Table) next(d Datagram) Decision {
	after := d.Candidates
	for i, c := range d.Candidates {
		if c == t.own {
			after = d.Candidates[i+1:]
			break
		}
	}
	if len(after) == 0 {
		t.take(d.Key)
		return Decision{Verdict: Keep}
	}
	return Decision{Verdict: Forward, Server: after[0], Stage: NoOwner}
}

// Owns says whether this agent keeps a flow that is being opened.
func (t *Table) Owns(now time.Time, key uint64) bool {
	t.turn(now)
	return t.owns(key)
}

// Size is the number of flows kept in mind.
func (t *Table) Size() int { return len(t.young) + len(t.old) }

func (t *Table) owns(key uint64) bool {
	if _, ok := t.young[key]; ok {
		return true
	}
	_, ok := t.old[key]
	return ok
}

// take remembers a flow. A full table forgets nothing and takes nothing: a flood
// of openers then costs second chances, not memory, and flows still open.
func (t *Table) take(key uint64) {
	if len(t.young) < t.limit {
		t.young[key] = struct{}{}
	}
}

func (t *Table) turn(now time.Time) {
	if now.Sub(t.turned) < remember {
		return
	}
	t.old = t.young
	if now.Sub(t.turned) >= 2*remember {
		t.old = nil // a pause: both generations are past
	}
	t.young = make(map[uint64]struct{})
	t.asked = make(map[uint64]time.Time)
	t.turned = now
}

// askedBefore says whether the other candidate has had its chance. It may be dead:
// what it is asked is then lost, and the caller sends again after its first timeout.
// Asking each time would lose every attempt until the document before is forgotten.
// The two datagrams of one first flight arrive together and are both asked about.
func (t *Table) askedBefore(now time.Time, key uint64) bool {
	first, ok := t.asked[key]
	if !ok && len(t.asked) < t.limit {
		t.asked[key] = now
	}
	return ok && now.Sub(first) > askFor
}

func last(ids []uint32) uint32 {
	if len(ids) == 0 {
		return 0
	}
	return ids[len(ids)-1]
}
