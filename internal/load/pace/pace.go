// Package pace orders, at an entry, the packets of long flows before a narrow link.
//
// Each caller that uploads keeps a window of packets in flight. The windows of a few such callers fill a narrow
// link, and each opening packet and each short request waits behind them, in front of the link, where the
// entry has no influence. Forwarded at a rate a little below that of the link, the packets wait in the
// entry's memory instead, and everything else passes at once.
//
// The rules:
//
//   - Packets of long flows are sent at ratePercent of the link's rate, less what short traffic takes.
//     Short traffic takes at most shortPercent of that rate from them, so that they never stop.
//   - Callers take turns by bytes, and so do the flows of one caller. Within a flow the order is kept.
//   - A packet that has waited until its sender retransmits it is dropped, since the copy is queued behind
//     it. The queue holds no more bytes than the link sends in that time. When it is full, the last packet
//     of the caller with the most queued bytes is dropped.
//   - Packets of a flow that its caller has reset are dropped.
//
// Which flows are long is decided by package bulk. Link observes whether the link carries what is stated.
// The package delays only packets that pass the entry towards servers, and performs no I/O: the caller
// passes in the time. A Queue and a Link are not safe for concurrent use.
//
// # Usage
//
//	q := pace.New(rate)
//	q.Charge(now, bytes) // short traffic
//	q.Discard(flow) // after a reset
//	if long || q.Holds(flow) { q.Push(now, flow, packet) }
//	for p, ok := q.Next(now); ok; p, ok = q.Next(now) { forward(p.Data) }
//	wait, ok := q.Ready(now) // when to call Next again
package pace

import (
	"slices"
	"time"

	"mangowinch/internal/flow/segs"
)

const (
	// ratePercent is the part of the link's rate at which packets are sent, so that no queue builds up in
	// front of the link. The rest is for messages between processes, which are not charged.
	ratePercent = 96
	// shortPercent is the part of that rate that short traffic may take from long flows.
	shortPercent = 75
	// burstTime is the link time that may be sent at once after a pause. It covers a late timer.
	burstTime = 4 * time.Millisecond
	// maxShortBurst is the link time of short traffic that may be charged at once.
	maxShortBurst = 20 * time.Millisecond
	// maxAge is how long a packet may wait: callers retransmit after this time.
	maxAge = 200 * time.Millisecond
	// overhead is the number of bytes by which a packet grows on the link: the headers of IP, UDP and the
	// message between processes.
	overhead = 64
	// maxPacket is the size of the largest packet that callers send, in bytes.
	maxPacket = 1232
	// quantum is how many bytes a flow or a caller sends in one turn: a packet of the largest size.
	quantum = maxPacket + overhead
)

// Packet is a queued packet.
type Packet struct {
	Flow     segs.Flow
	Data     []byte
	QueuedAt time.Time
}

// size returns the bytes that the packet takes on the link.
func (p *Packet) size() int { return len(p.Data) + overhead }

// Drops counts the packets that a Queue has dropped since it was last asked.
type Drops struct {
	Full    int // no room in the queue
	Late    int // the sender has retransmitted the packet
	Aborted int // the caller has reset the flow
}

// Queue holds the packets of long flows before the link of one entry.
type Queue struct {
	rate        float64 // bytes per second
	tokens      float64 // bytes that may be sent now; negative after a packet or short traffic
	shortCredit float64 // bytes that short traffic may still take from tokens
	filledAt    time.Time
	callers     []*caller // those with queued packets, in the order of their turns
	byAddr      map[[4]byte]*caller
	flows       map[segs.Flow]*flow
	bytes       int
	packets     int
	drops       Drops
}

// caller is a caller with queued packets.
type caller struct {
	addr   [4]byte
	credit int     // bytes left of its turn
	flows  []*flow // those with queued packets, in the order of their turns
	bytes  int
}

// flow is a flow with queued packets, oldest first.
type flow struct {
	credit  int
	packets []Packet
}

// New returns an empty queue before a link with the given rate in bytes per second.
func New(rate float64) *Queue {
	q := &Queue{byAddr: map[[4]byte]*caller{}, flows: map[segs.Flow]*flow{}}
	q.SetRate(rate)
	return q
}

// SetRate sets the link's rate in bytes per second.
func (q *Queue) SetRate(rate float64) { q.rate = rate * ratePercent / 100 }

// Holds reports whether packets of a flow are queued. Further packets of the flow must be queued too.
func (q *Queue) Holds(f segs.Flow) bool { return q.flows[f] != nil }

// Bytes returns the number of queued bytes.
func (q *Queue) Bytes() int { return q.bytes }

// Len returns the number of queued packets.
func (q *Queue) Len() int { return q.packets }

// TakeDrops returns the packets dropped since the last call.
func (q *Queue) TakeDrops() Drops {
	d := q.drops
	q.drops = Drops{}
	return d
}

// bytesIn returns how many bytes are sent in d.
func (q *Queue) bytesIn(d time.Duration) float64 { return q.rate * d.Seconds() }

// refill adds the bytes that may be sent since the last call.
func (q *Queue) refill(now time.Time) {
	if d := now.Sub(q.filledAt); d > 0 {
		earned := q.bytesIn(min(d, time.Second))
		q.tokens = min(q.tokens+earned, q.bytesIn(burstTime))
		q.shortCredit = min(q.shortCredit+earned*shortPercent/100, q.bytesIn(maxShortBurst))
		q.filledAt = now
	}
}

// Charge records short traffic, which is sent at once.
func (q *Queue) Charge(now time.Time, bytes int) {
	q.refill(now)
	charged := min(float64(bytes+overhead), q.shortCredit)
	q.shortCredit -= charged
	q.tokens -= charged
}

// Push queues a copy of a packet.
func (q *Queue) Push(now time.Time, f segs.Flow, data []byte) {
	if !q.makeRoom(f.Caller, len(data)+overhead) {
		q.drops.Full++
		return
	}
	c := q.byAddr[f.Caller]
	if c == nil {
		c = &caller{addr: f.Caller, credit: quantum}
		q.byAddr[f.Caller] = c
		q.callers = append(q.callers, c)
	}
	fl := q.flows[f]
	if fl == nil {
		fl = &flow{credit: quantum}
		q.flows[f] = fl
		c.flows = append(c.flows, fl)
	}
	fl.packets = append(fl.packets, Packet{Flow: f, Data: slices.Clone(data), QueuedAt: now})
	q.add(c, 1, len(data)+overhead)
}

// add adjusts the totals.
func (q *Queue) add(c *caller, packets, bytes int) {
	q.packets += packets
	q.bytes += bytes
	c.bytes += bytes
}

// makeRoom reports whether a caller's packet fits into the queue. It drops packets of callers with more
// queued bytes for it.
func (q *Queue) makeRoom(addr [4]byte, size int) bool {
	limit := int(q.bytesIn(maxAge))
	for q.bytes+size > limit {
		own := size
		if c := q.byAddr[addr]; c != nil {
			own += c.bytes
		}
		largest := q.largest()
		if largest == nil || largest.bytes <= own {
			return false
		}
		q.dropLast(largest)
	}
	return true
}

// largest returns the caller with the most queued bytes.
func (q *Queue) largest() (largest *caller) {
	for _, c := range q.callers {
		if largest == nil || c.bytes > largest.bytes {
			largest = c
		}
	}
	return largest
}

// dropLast drops the last packet of the flow of a caller whose turn is last.
func (q *Queue) dropLast(c *caller) {
	at := len(c.flows) - 1
	fl := c.flows[at]
	last := len(fl.packets) - 1
	p := fl.packets[last]
	fl.packets = fl.packets[:last]
	q.add(c, -1, -p.size())
	q.drops.Full++
	q.removeEmpty(c, at, p.Flow)
}

// Discard drops the queued packets of a flow that its caller has reset.
func (q *Queue) Discard(f segs.Flow) {
	fl := q.flows[f]
	if fl == nil {
		return
	}
	c := q.byAddr[f.Caller]
	for _, p := range fl.packets {
		q.add(c, -1, -p.size())
	}
	q.drops.Aborted += len(fl.packets)
	fl.packets = nil
	q.removeEmpty(c, slices.Index(c.flows, fl), f)
}

// removeEmpty removes a flow and its caller if they have no packets left.
func (q *Queue) removeEmpty(c *caller, at int, f segs.Flow) {
	if len(c.flows[at].packets) > 0 {
		return
	}
	delete(q.flows, f)
	c.flows = slices.Delete(c.flows, at, at+1)
	if len(c.flows) > 0 {
		return
	}
	delete(q.byAddr, c.addr)
	i := slices.Index(q.callers, c)
	q.callers = slices.Delete(q.callers, i, i+1)
}

// Next removes and returns the next packet if it may be sent now.
func (q *Queue) Next(now time.Time) (p Packet, ok bool) {
	q.refill(now)
	for q.packets > 0 && q.tokens > 0 {
		p = q.pop()
		if now.Sub(p.QueuedAt) >= maxAge {
			q.drops.Late++
			continue
		}
		q.tokens -= float64(p.size())
		return p, true
	}
	return Packet{}, false
}

// pop removes the first packet of the flow and the caller whose turn it is, and ends turns that are used up.
func (q *Queue) pop() Packet {
	c := q.callers[0]
	fl := c.flows[0]
	p := fl.packets[0]
	fl.packets = fl.packets[1:]
	q.add(c, -1, -p.size())
	fl.credit -= p.size()
	c.credit -= p.size()
	if fl.credit <= 0 {
		fl.credit += quantum
		c.flows = append(c.flows[1:], fl)
	}
	if c.credit <= 0 {
		c.credit += quantum
		q.callers = append(q.callers[1:], c)
	}
	q.removeEmpty(c, slices.Index(c.flows, fl), p.Flow)
	return p
}

// Ready returns after which time Next returns a packet, unless short traffic is charged meanwhile. It
// reports false if the queue is empty.
func (q *Queue) Ready(now time.Time) (wait time.Duration, ok bool) {
	if q.packets == 0 {
		return 0, false
	}
	q.refill(now)
	if q.tokens > 0 {
		return 0, true
	}
	return time.Duration((1-q.tokens)/q.rate*float64(time.Second)) + 1, true
}
