// Package bulk decides, at an entry, when a flow that will occupy the entry's link for a long time may start.
//
// A caller sends as much as its window allows at once and retransmits whatever is not acknowledged in
// time. A few concurrent uploads fill a narrow link. Each further upload delays all flows, including
// short requests, until packets are retransmitted while the originals are still queued, and a link at 90%
// load carries each packet twice.
//
// The rules:
//
//   - The gate learns how many bytes flows to an address send. Only flows that take more than
//     longFlowTime of the link's time are delayed, or more than a window if the link is narrower than
//     configured.
//   - The number of such flows under way is limited to those whose windows fill the link. Other long
//     flows wait in order of arrival, while their callers retransmit the opening packet.
//   - A flow that cannot start in time, or cannot end before its caller gives up, is refused at once, and
//     its caller's next attempt arrives through another entry.
//
// A flow is under way from its start until its caller closes it or has sent nothing for idleTimeout.
// Flows that were started through other entries are counted as soon as their packets are seen.
//
// The gate uses the link's rate as configured by the operator; without a rate, no flow waits. It does not
// detect that the link carries less (package pace does, see SetCarried). The caller passes in the time. A
// Gate is not safe for concurrent use.
//
// # Usage
//
//	g := bulk.New(rate, maxWait)
//	if !g.CanEnd(flow, left) { refuse() }
//	switch g.Admit(now, flow, age, packet) { case bulk.Pass: place(packet) }
//	g.RecordSent(now, flow, bytes)
//	g.Close(flow)
//	for w, ok := g.Next(now); ok; w, ok = g.Next(now) { place(w.Packet) }
package bulk

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/segs"
)

const (
	// callerWindow is the number of bytes a caller has in flight at most, including headers.
	callerWindow = 16 * 1300
	// maxQueueTime is the longest queue that the windows of flows under way may create on the link,
	// unless a single window creates a longer one.
	maxQueueTime = 50 * time.Millisecond
	// pacedQueueTime is the same for a link before which the entry queues the packets of long flows. The
	// windows wait in the entry and keep the link busy, so fewer flows suffice, and each ends sooner: two at
	// 10 Mbit/s. It is a time and no number of windows, since a faster link must be kept busy by more of them
	// for as long as their acknowledgements take.
	pacedQueueTime = 35 * time.Millisecond
	// longFlowTime is the time on the configured link above which a flow is long and may be delayed.
	longFlowTime = maxQueueTime / 2
	// idleTimeout is how long a flow under way may send nothing. A lost packet is retransmitted after 200 ms.
	idleTimeout = 300 * time.Millisecond
	// learnWindow is the number of flows over which the bytes per flow are averaged.
	learnWindow = 8
	// maxFlows and maxAddresses bound the memory used for flows under way and for addresses.
	maxFlows     = 1024
	maxAddresses = 256
)

// Verdict is the decision about a flow that is about to start.
type Verdict uint8

// The verdicts.
const (
	Pass   Verdict = iota // the flow may start
	Hold                  // the flow waits until Next or NextExpired returns it
	Refuse                // the flow cannot start in time
)

// Gate controls the long flows on the link of one entry. The zero value admits every flow.
type Gate struct {
	rate     float64 // bytes per second; 0 if not configured
	carried  float64 // bytes per second that the link is known to carry
	narrow   bool    // the link counts as narrower than configured
	maxWait  time.Duration
	queue    time.Duration              // longest queue that the windows of flows under way may create
	avgBytes map[netip.AddrPort]float64 // average bytes sent by a flow to an address
	active   map[segs.Flow]*flow
	waiting  []QueuedFlow
}

// flow is a flow that is under way.
type flow struct {
	bytes    int
	lastSent time.Time
}

// QueuedFlow is a flow that waits to start.
type QueuedFlow struct {
	Flow     segs.Flow
	Packet   []byte    // opening packet
	deadline time.Time // the latest time at which the flow may start
}

// New returns a gate for a link with the given rate in bytes per second, at which a flow waits no longer
// than maxWait.
func New(rate float64, maxWait time.Duration) *Gate {
	return &Gate{
		rate:     rate,
		carried:  rate,
		maxWait:  maxWait,
		queue:    maxQueueTime,
		avgBytes: map[netip.AddrPort]float64{},
		active:   map[segs.Flow]*flow{},
	}
}

// NewPaced returns a gate like New for a link before which the packets of long flows are queued by package
// pace.
func NewPaced(rate float64, maxWait time.Duration) *Gate {
	g := New(rate, maxWait)
	g.queue = pacedQueueTime
	return g
}

// SetCarried sets the rate that the link carries, if that is below the configured one, and whether the link
// counts as narrower than configured.
func (g *Gate) SetCarried(rate float64, narrow bool) { g.carried, g.narrow = min(rate, g.rate), narrow }

// CanEnd reports whether a flow that starts as soon as possible can end within the time that its caller
// still waits: whether the link can carry it and what is ahead of it until then. Flows under way beside it
// delay it no further, since what they send meanwhile is either counted as ahead of it or sent after its end.
// CanEnd also reports true while no long flow is under way or waits: the expected length is corrected only by
// flows that run, so without this exception an address with one very long flow would be refused for ever.
func (g *Gate) CanEnd(f segs.Flow, left time.Duration) bool {
	if !g.isLong(f) || len(g.waiting) == 0 && g.activeLong() == 0 {
		return true
	}
	return g.expectedWait(f)+g.timeFor(g.avgBytes[f.ServiceAddr()]) <= left
}

// timeFor returns the time in which the link carries a number of bytes.
func (g *Gate) timeFor(bytes float64) time.Duration {
	return time.Duration(bytes / g.carried * float64(time.Second))
}

// Admit decides about a flow whose caller sent its first opening packet the given age ago. The packet of
// a flow that has to wait is copied.
func (g *Gate) Admit(now time.Time, f segs.Flow, age time.Duration, packet []byte) Verdict {
	switch {
	case !g.isLong(f):
		return Pass
	case len(g.waiting) == 0 && g.hasRoom():
		g.begin(now, f)
		return Pass
	case age+g.expectedWait(f) > g.maxWait: // refused now rather than after maxWait
		return Refuse
	default:
		g.waiting = append(g.waiting, QueuedFlow{Flow: f, Packet: slices.Clone(packet), deadline: now.Add(g.maxWait - age)})
		return Hold
	}
}

// isLong reports whether a flow is long enough to be delayed.
func (g *Gate) isLong(f segs.Flow) bool {
	return g.rate > 0 && g.avgBytes[f.ServiceAddr()] > g.longBytes()
}

// longBytes returns the number of bytes above which a flow is long. On a link that is narrower than configured,
// each flow that fills a window is.
func (g *Gate) longBytes() float64 {
	if g.narrow {
		return callerWindow
	}
	return longFlowTime.Seconds() * g.rate
}

// FillsWindow reports whether a flow is expected to send more than a window, or has done so already. Such
// flows fill a link that is narrower than configured.
func (g *Gate) FillsWindow(f segs.Flow) bool {
	a := g.active[f]
	return g.avgBytes[f.ServiceAddr()] > callerWindow || a != nil && a.bytes > callerWindow
}

// Long reports whether a flow is expected to occupy the link for long, or has done so already.
func (g *Gate) Long(f segs.Flow) bool {
	a := g.active[f]
	return g.isLong(f) || a != nil && float64(a.bytes) > g.longBytes()
}

// hasRoom reports whether one more long flow may be under way.
func (g *Gate) hasRoom() bool { return g.activeLong() < g.limit() }

// limit returns the number of long flows that may be under way.
func (g *Gate) limit() int { return max(1, int(g.queue.Seconds()*g.carried/callerWindow)) }

// activeLong returns the number of long flows under way.
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

// expectedWait estimates how long a flow waits to start: the time in which the flows ahead of it, and
// half of those under way, send what they are expected to send.
func (g *Gate) expectedWait(f segs.Flow) time.Duration {
	before := float64(len(g.waiting)) + float64(g.activeLong())/2
	return g.timeFor(before * g.avgBytes[f.ServiceAddr()])
}

// Contains reports whether a flow is waiting to start.
func (g *Gate) Contains(f segs.Flow) bool {
	for _, w := range g.waiting {
		if w.Flow == f {
			return true
		}
	}
	return false
}

// Len returns the number of waiting flows.
func (g *Gate) Len() int { return len(g.waiting) }

// RecordSent records bytes that the caller of a flow has sent.
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

// Close records that the caller of a flow has sent everything.
func (g *Gate) Close(f segs.Flow) {
	if a := g.active[f]; a != nil {
		g.finish(f, a)
	}
}

// finish removes a flow and learns from the number of bytes it has sent.
func (g *Gate) finish(f segs.Flow, a *flow) {
	delete(g.active, f)
	called := f.ServiceAddr()
	size, known := g.avgBytes[called]
	switch {
	case known:
		g.avgBytes[called] += (float64(a.bytes) - size) / learnWindow
	case len(g.avgBytes) < maxAddresses:
		g.avgBytes[called] = float64(a.bytes)
	}
}

// Next removes and returns the next waiting flow if it may start.
func (g *Gate) Next(now time.Time) (w QueuedFlow, ok bool) {
	if len(g.waiting) == 0 || !g.hasRoom() {
		return QueuedFlow{}, false
	}
	w = g.pop()
	g.begin(now, w.Flow)
	return w, true
}

// pop removes and returns the first waiting flow.
func (g *Gate) pop() QueuedFlow {
	w := g.waiting[0]
	g.waiting = slices.Delete(g.waiting, 0, 1)
	return w
}

// NextExpired removes and returns the next flow that has waited too long.
func (g *Gate) NextExpired(now time.Time) (w QueuedFlow, ok bool) {
	if len(g.waiting) == 0 || now.Before(g.waiting[0].deadline) {
		return QueuedFlow{}, false
	}
	return g.pop(), true
}

// Expire finishes flows that have sent nothing for idleTimeout.
func (g *Gate) Expire(now time.Time) {
	for f, a := range g.active {
		if now.Sub(a.lastSent) > idleTimeout {
			g.finish(f, a)
		}
	}
}
