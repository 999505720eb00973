// Package bulk decides at an entry when a flow that will fill the entry's link for long may begin.
//
// The load pattern, and what goes wrong without it. Callers send all that fits into their window at once, and repeat what isn't acknowledged in
// time. A few uploads at a time fill a narrow link; each further one makes all wait longer, those that only ask something among them, until
// packets are repeated that still wait, and a link that has to carry nine tenths of its rate carries each packet twice.
//
// The rules:
//   - What a flow to an address sends is learned. Only flows that take over longFlow of the link's time are held up.
//   - So many of them are under way at a time as fill the link with their windows, and no more: the others wait for their turn in
//     the order in which they came, as their callers repeat an opening packet for a while.
//   - One that can't begin in time is refused at once: its caller's next try comes by another entry.
//
// A flow is under way from its turn until its caller closes it, or has sent nothing for restFor. Flows that other entries began are counted as
// soon as they are seen.
//
// It knows the link's rate as its operator states it; without one nothing waits. What else narrows the link isn't seen. It is
// pure: time is handed in. It is not safe for concurrent use.
//
// # Usage
//
//	g := bulk.New(rate, patience)
//	switch g.Open(now, flow, age, packet) { case bulk.Pass: place(packet) }
//	g.Sent(now, flow, bytes)
//	g.Closed(flow)
//	for w, ok := g.Next(now); ok; w, ok = g.Next(now) { place(w.Packet) }
package bulk

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/segs"
)

const (
	// callerWindow is what a caller has in flight at most, with the headers around it.
	callerWindow = 16 * 1300
	// maxQueueTime is the queue that the windows of flows under way make at most, unless one alone makes more.
	maxQueueTime = 50 * time.Millisecond
	// longFlowTime is the link's time that a flow has to take to be held up.
	longFlowTime = maxQueueTime / 2
	// idleTimeout is how long a flow under way may send nothing: a lost packet is repeated after 200 ms.
	idleTimeout = 300 * time.Millisecond
	// learnWindow is how many flows what they send is learned over.
	learnWindow = 8
	// maxFlows bounds the memory for flows under way, mostKinds that for addresses.
	maxFlows     = 1024
	maxAddresses = 256
)

// Verdict is what becomes of a flow that is to begin.
type Verdict uint8

// The verdicts.
const (
	Pass   Verdict = iota // it may begin
	Hold                  // Next returns it when it may begin, or Late when it can't any more
	Refuse                // it can't begin in time
)

// Gate is that of one entry. Its zero value lets everything pass.
type Gate struct {
	rate     float64 // bytes a second; 0: not stated
	maxWait  time.Duration
	avgBytes map[netip.AddrPort]float64 // bytes that a flow to an address sends
	active   map[segs.Flow]*flow
	waiting  []QueuedFlow
}

// flow is one that is under way.
type flow struct {
	bytes    int
	lastSent time.Time
}

// QueuedFlow is a flow that waits for its turn.
type QueuedFlow struct {
	Flow     segs.Flow
	Packet   []byte    // its opening packet
	deadline time.Time // it has waited for too long
}

// New returns the gate of a link of a rate in bytes a second, at which a flow waits no longer than patience.
func New(rate float64, maxWait time.Duration) *Gate {
	return &Gate{rate: rate, maxWait: maxWait, avgBytes: map[netip.AddrPort]float64{}, active: map[segs.Flow]*flow{}}
}

// Admit says what becomes of a flow whose caller began to ask for it some time ago. It copies the packet of one that waits.
func (g *Gate) Admit(now time.Time, f segs.Flow, age time.Duration, packet []byte) Verdict {
	switch {
	case !g.isLong(f):
		return Pass
	case len(g.waiting) == 0 && g.hasRoom():
		g.begin(now, f)
		return Pass
	case age+g.expectedWait(f) > g.maxWait: // known now, so not told later
		return Refuse
	default:
		g.waiting = append(g.waiting, QueuedFlow{Flow: f, Packet: slices.Clone(packet), deadline: now.Add(g.maxWait - age)})
		return Hold
	}
}

// isLong says whether a flow is one that may be held up.
func (g *Gate) isLong(f segs.Flow) bool {
	return g.rate > 0 && g.avgBytes[f.Called()]/g.rate > longFlowTime.Seconds()
}

// hasRoom says whether one more flow may be under way.
func (g *Gate) hasRoom() bool {
	limit := int(maxQueueTime.Seconds() * g.rate / callerWindow)
	return g.activeLong() < max(1, limit)
}

// activeLong counts the long flows that are.
func (g *Gate) activeLong() (n int) {
	for f := range g.active {
		if g.isLong(f) {
			n++
		}
	}
	return n
}

func (g *Gate) begin(now time.Time, f segs.Flow) {
	if len(g.active) < maxFlows {
		g.active[f] = &flow{lastSent: now}
	}
}

// expectedWait is how long a flow waits for its turn: until those before it have sent what they will, and half of those under way.
func (g *Gate) expectedWait(f segs.Flow) time.Duration {
	before := float64(len(g.waiting)) + float64(g.activeLong())/2
	return time.Duration(before * g.avgBytes[f.Called()] / g.rate * float64(time.Second))
}

// Contains says whether a flow waits for its turn.
func (g *Gate) Contains(f segs.Flow) bool {
	for _, w := range g.waiting {
		if w.Flow == f {
			return true
		}
	}
	return false
}

// Len is how many flows wait.
func (g *Gate) Len() int { return len(g.waiting) }

// RecordSent notes bytes that a flow's caller has sent.
func (g *Gate) RecordSent(now time.Time, f segs.Flow, bytes int) {
	if g.rate == 0 {
		return
	}
	a := g.active[f]
	if a == nil {
		if len(g.active) >= maxFlows || bytes == 0 {
			return
		}
		a = &flow{}
		g.active[f] = a
	}
	a.bytes += bytes
	a.lastSent = now
}

// Close notes that a flow's caller has sent all that it will.
func (g *Gate) Close(f segs.Flow) {
	if a := g.active[f]; a != nil {
		g.finish(f, a)
	}
}

// finish forgets a flow and learns what it has sent.
func (g *Gate) finish(f segs.Flow, a *flow) {
	delete(g.active, f)
	called := f.Called()
	size, known := g.avgBytes[called]
	switch {
	case known:
		g.avgBytes[called] += (float64(a.bytes) - size) / learnWindow
	case len(g.avgBytes) < maxAddresses:
		g.avgBytes[called] = float64(a.bytes)
	}
}

// Next returns the flow whose turn it is.
func (g *Gate) Next(now time.Time) (w QueuedFlow, ok bool) {
	if len(g.waiting) == 0 || !g.hasRoom() {
		return QueuedFlow{}, false
	}
	w = g.pop()
	g.begin(now, w.Flow)
	return w, true
}

// pop takes the first of the waiting flows.
func (g *Gate) pop() QueuedFlow {
	w := g.waiting[0]
	g.waiting = slices.Delete(g.waiting, 0, 1)
	return w
}

// NextExpired returns a flow that has waited for too long.
func (g *Gate) NextExpired(now time.Time) (w QueuedFlow, ok bool) {
	if len(g.waiting) == 0 || now.Before(g.waiting[0].deadline) {
		return QueuedFlow{}, false
	}
	return g.pop(), true
}

// Expire ends flows that have sent nothing for a while.
func (g *Gate) Expire(now time.Time) {
	for f, a := range g.active {
		if now.Sub(a.lastSent) > idleTimeout {
			g.finish(f, a)
		}
	}
}
