package bulk

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/segs"
)

// What callers do, and a link of 10 Mbit/s.
const (
	linkRate    = 10e6 / 8 // bytes a second
	packetBytes = 1232
	windowSize  = 16
	baseTrip    = 5 * time.Millisecond
	firstRepeat = 200 * time.Millisecond
	lastRepeat  = 1600 * time.Millisecond
	patience    = 1350 * time.Millisecond
	target      = 800 * time.Millisecond
	deadline    = 4 * time.Second
	meanBytes   = 80e3
	mostQueued  = 1500 * time.Millisecond // more is dropped
)

var uploads = netip.MustParseAddrPort("198.18.0.1:443")

// play is an entry's link and callers who upload, beside some that send a packet now and then.
type play struct {
	gate   *Gate // nil: everything passes
	rand   *rand.Rand
	start  time.Time
	now    time.Time
	coming events
	count  int
	free   time.Time // the link has sent all that waits
	flows  int

	done    []time.Duration // how long finished uploads took, from their first packet
	refused int
	failed  int
	short   []time.Duration // how long short packets waited at the link
}

// upload is one caller's.
type upload struct {
	flow   segs.Flow
	began  time.Time
	acked  []bool
	next   int // first packet that hasn't been sent
	left   int // packets not acknowledged
	flight int
	over   bool
}

func newPlay(gate *Gate, seed uint64) *play {
	start := time.Unix(1_700_000_000, 0)
	return &play{gate: gate, rand: rand.New(rand.NewPCG(seed, 3)), start: start, now: start, free: start}
}

// link sends a packet; what is to be done when it is through may be nothing.
func (p *play) link(bytes int, through func()) {
	if p.free.Before(p.now) {
		p.free = p.now
	}
	if p.free.Sub(p.now) > mostQueued {
		return
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / linkRate * float64(time.Second)))
	p.at(p.free, through)
}

// arrive begins an upload.
func (p *play) arrive() {
	p.flows++
	f := segs.Flow{Caller: [4]byte{100, 64, byte(p.flows >> 8), byte(p.flows)}, Service: uploads.Addr().As4(), CallerPort: 40000, Port: uploads.Port()}
	size := meanBytes * math.Exp(0.6*p.rand.NormFloat64()-0.18)
	packets := int(size/1200) + 1
	u := &upload{flow: f, began: p.now, acked: make([]bool, packets), left: packets}
	p.at(u.began.Add(deadline), func() { p.giveUp(u) })
	if p.gate == nil {
		p.send(u)
		return
	}
	switch p.gate.Admit(p.now, f, 0, nil) {
	case Pass:
		p.send(u)
	case Refuse:
		u.over = true
		p.refused++
	case Hold:
		held[f] = u
	}
}

// held are the uploads that wait for their turn.
var held = map[segs.Flow]*upload{}

func (p *play) giveUp(u *upload) {
	if !u.over {
		u.over = true
		p.failed++
	}
}

// send fills the window.
func (p *play) send(u *upload) {
	for !u.over && u.next < len(u.acked) && u.flight < windowSize {
		i := u.next
		u.next++
		u.flight++
		p.packet(u, i, firstRepeat)
	}
}

// packet sends one packet, and again until it is acknowledged.
func (p *play) packet(u *upload, i int, repeat time.Duration) {
	if u.over || u.acked[i] {
		return
	}
	p.link(packetBytes, func() {
		if p.gate != nil {
			p.gate.RecordSent(p.now, u.flow, packetBytes)
		}
		p.at(p.now.Add(baseTrip), func() { p.ack(u, i) })
	})
	p.at(p.now.Add(repeat), func() { p.packet(u, i, min(2*repeat, lastRepeat)) })
}

func (p *play) ack(u *upload, i int) {
	if u.over || u.acked[i] {
		return
	}
	u.acked[i] = true
	u.flight--
	u.left--
	if u.left > 0 {
		p.send(u)
		return
	}
	u.over = true
	p.done = append(p.done, p.now.Sub(u.began))
	if p.gate != nil {
		p.gate.Close(u.flow)
		p.turns()
	}
}

// turns begins the uploads whose turn it is.
func (p *play) turns() {
	for w, ok := p.gate.NextExpired(p.now); ok; w, ok = p.gate.NextExpired(p.now) {
		held[w.Flow].over = true
		p.refused++
	}
	for w, ok := p.gate.Next(p.now); ok; w, ok = p.gate.Next(p.now) {
		p.send(held[w.Flow])
	}
}

// run plays a load, a part of the link's rate, for some time.
func (p *play) run(load float64, d time.Duration) {
	end := p.now.Add(d)
	for at := p.now; at.Before(end); {
		at = at.Add(time.Duration(p.rand.ExpFloat64() * meanBytes / (load * linkRate) * float64(time.Second)))
		p.at(at, p.arrive)
	}
	for at := p.now; at.Before(end); at = at.Add(20 * time.Millisecond) {
		p.at(at, func() {
			sent := p.now
			p.link(200, func() { p.short = append(p.short, p.now.Sub(sent)) })
		})
		if p.gate != nil {
			p.at(at, func() {
				p.gate.Expire(p.now)
				p.turns()
			})
		}
	}
	for len(p.coming) > 0 && !p.coming[0].at.After(end.Add(deadline)) {
		e := heap.Pop(&p.coming).(event)
		p.now = e.at
		e.do()
	}
}

// inTime is the part of all uploads that finished within their target.
func (p *play) inTime() float64 {
	n := 0
	for _, d := range p.done {
		if d <= target {
			n++
		}
	}
	return float64(n) / float64(p.flows)
}

func (p *play) shortP99() time.Duration {
	slices.Sort(p.short)
	return p.short[len(p.short)*99/100]
}

// Guards against a narrow link that a burst of uploads fills, so that they and all others wait for seconds.
func TestBurstOfUploadsLeavesTheLinkUsable(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.3} {
		for seed := range uint64(3) {
			without := newPlay(nil, seed)
			without.run(load, 20*time.Second)
			with := newPlay(New(linkRate, patience), seed)
			with.run(load, 20*time.Second)
			t.Logf("load %.1f: in time %.2f, %.2f; failed %d, %d and %d refused of %d; short packets p99 %v, %v", load, without.inTime(), with.inTime(),
				without.failed, with.failed, with.refused, with.flows, without.shortP99(), with.shortP99())
			assert.Assert(t, with.inTime() >= without.inTime())
			assert.Assert(t, with.failed <= without.failed)
			assert.Assert(t, with.shortP99() <= 3*queueFor, with.shortP99())
			if load < 0.8 {
				assert.Equal(t, with.refused, 0, "seed %d", seed)
			}
		}
	}
}

// at does something later.
func (p *play) at(at time.Time, do func()) {
	p.count++
	heap.Push(&p.coming, event{at: at, number: p.count, do: do})
}

type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].number < q[j].number
	}
	return q[i].at.Before(q[j].at)
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *events) Push(x any) { *q = append(*q, x.(event)) }

func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
