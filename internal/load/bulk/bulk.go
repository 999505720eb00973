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
	// window is what a caller has in flight at most, with the headers around it.
	window = 16 * 1300
	// queueFor is the queue that the windows of flows under way make at most, unless one alone makes more.
	queueFor = 50 * time.Millisecond
	// longFlow is the link's time that a flow has to take to be held up.
	longFlow = queueFor / 2
	// restFor is how long a flow under way may send nothing: a lost packet is repeated after 200 ms.
	restFor = 300 * time.Millisecond
	// learnOver is how many flows what they send is learned over.
	learnOver = 8
	// mostFlows bounds the memory for flows under way, mostKinds that for addresses.
	mostFlows = 1024
	mostKinds = 256
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
	patience time.Duration
	kinds    map[netip.AddrPort]float64 // bytes that a flow to an address sends
	active   map[segs.Flow]*flow
	waiting  []QueuedFlow
}

// flow is one that is under way.
type flow struct {
	bytes int
	used  time.Time
}

// QueuedFlow is a flow that waits for its turn.
type QueuedFlow struct {
	Flow   segs.Flow
	Packet []byte    // its opening packet
	until  time.Time // it has waited for too long
}

// New returns the gate of a link of a rate in bytes a second, at which a flow waits no longer than patience.
func New(rate float64, patience time.Duration) *Gate {
	return &Gate{rate: rate, patience: patience, kinds: map[netip.AddrPort]float64{}, active: map[segs.Flow]*flow{}}
}

// Admit says what becomes of a flow whose caller began to ask for it some time ago. It copies the packet of one that waits.
func (g *Gate) Admit(now time.Time, f segs.Flow, age time.Duration, packet []byte) Verdict {
	switch {
	case !g.long(f):
		return Pass
	case len(g.waiting) == 0 && g.room():
		g.begin(now, f)
		return Pass
	case age+g.expected(f) > g.patience: // known now, so not told later
		return Refuse
	default:
		g.waiting = append(g.waiting, QueuedFlow{Flow: f, Packet: slices.Clone(packet), until: now.Add(g.patience - age)})
		return Hold
	}
}

// long says whether a flow is one that may be held up.
func (g *Gate) long(f segs.Flow) bool {
	return g.rate > 0 && g.kinds[f.ServiceAddr()]/g.rate > longFlow.Seconds()
}

// room says whether one more flow may be under way.
func (g *Gate) room() bool {
	most := int(queueFor.Seconds() * g.rate / window)
	return g.underWay() < max(1, most)
}

// underWay counts the long flows that are.
func (g *Gate) underWay() (count int) {
	for f := range g.active {
		if g.long(f) {
			count++
		}
	}
	return count
}

func (g *Gate) begin(now time.Time, f segs.Flow) {
	if len(g.active) < mostFlows {
		g.active[f] = &flow{used: now}
	}
}

// expected is how long a flow waits for its turn: until those before it have sent what they will, and half of those under way.
func (g *Gate) expected(f segs.Flow) time.Duration {
	before := float64(len(g.waiting)) + float64(g.underWay())/2
	return time.Duration(before * g.kinds[f.ServiceAddr()] / g.rate * float64(time.Second))
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
		if len(g.active) >= mostFlows || bytes == 0 {
			return
		}
		a = &flow{}
		g.active[f] = a
	}
	a.bytes += bytes
	a.used = now
}

// Close notes that a flow's caller has sent all that it will.
func (g *Gate) Close(f segs.Flow) {
	if a := g.active[f]; a != nil {
		g.end(f, a)
	}
}

// end forgets a flow and learns what it has sent.
func (g *Gate) end(f segs.Flow, a *flow) {
	delete(g.active, f)
	called := f.ServiceAddr()
	size, seen := g.kinds[called]
	switch {
	case seen:
		g.kinds[called] += (float64(a.bytes) - size) / learnOver
	case len(g.kinds) < mostKinds:
		g.kinds[called] = float64(a.bytes)
	}
}

// Next returns the flow whose turn it is.
func (g *Gate) Next(now time.Time) (w QueuedFlow, ok bool) {
	if len(g.waiting) == 0 || !g.room() {
		return QueuedFlow{}, false
	}
	w = g.take()
	g.begin(now, w.Flow)
	return w, true
}

// take takes the first of the waiting flows.
func (g *Gate) take() QueuedFlow {
	w := g.waiting[0]
	g.waiting = slices.Delete(g.waiting, 0, 1)
	return w
}

// NextExpired returns a flow that has waited for too long.
func (g *Gate) NextExpired(now time.Time) (w QueuedFlow, ok bool) {
	if len(g.waiting) == 0 || now.Before(g.waiting[0].until) {
		return QueuedFlow{}, false
	}
	return g.take(), true
}

// Expire ends flows that have sent nothing for a while.
func (g *Gate) Expire(now time.Time) {
	for f, a := range g.active {
		if now.Sub(a.used) > restFor {
			g.end(f, a)
		}
	}
}
