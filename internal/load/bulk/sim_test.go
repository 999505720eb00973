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

// Parameters of the simulated callers and of a link of 10 Mbit/s.
const (
	linkRate    = 10e6 / 8 // bytes per second
	packetBytes = 1232
	windowSize  = 16
	baseRTT     = 5 * time.Millisecond
	initialRTO  = 200 * time.Millisecond
	maxRTO      = 1600 * time.Millisecond
	maxWait     = 1350 * time.Millisecond
	target      = 800 * time.Millisecond
	deadline    = 4 * time.Second
	meanBytes   = 80e3
	maxQueued   = 1500 * time.Millisecond // packets beyond this are dropped
)

var uploadAddr = netip.MustParseAddrPort("198.18.0.1:443")

// simulation models an entry's link with callers that upload and callers that occasionally send a short
// packet.
type simulation struct {
	gate    *Gate // nil admits every flow
	rand    *rand.Rand
	start   time.Time
	now     time.Time
	pending events
	count   int
	idleAt  time.Time // when the link has sent everything that is queued
	uploads int

	done       []time.Duration // durations of finished uploads, from their first packet
	refused    int
	failed     int
	shortWaits []time.Duration // queueing delays of short packets at the link
}

// upload is the upload of one caller.
type upload struct {
	flow     segs.Flow
	began    time.Time
	acked    []bool
	next     int // first packet not sent yet
	left     int // packets not acknowledged yet
	flight   int
	finished bool
}

func newSimulation(gate *Gate, seed uint64) *simulation {
	start := time.Unix(1_700_000_000, 0)
	return &simulation{gate: gate, rand: rand.New(rand.NewPCG(seed, 3)), start: start, now: start, idleAt: start}
}

// transmit queues a packet on the link and calls delivered when the link has sent it. Packets that exceed
// the queue are dropped.
func (p *simulation) transmit(bytes int, delivered func()) {
	if p.idleAt.Before(p.now) {
		p.idleAt = p.now
	}
	if p.idleAt.Sub(p.now) > maxQueued {
		return
	}
	p.idleAt = p.idleAt.Add(time.Duration(float64(bytes) / linkRate * float64(time.Second)))
	p.schedule(p.idleAt, delivered)
}

// arrive starts an upload.
func (p *simulation) arrive() {
	p.uploads++
	f := segs.Flow{Caller: [4]byte{100, 64, byte(p.uploads >> 8), byte(p.uploads)}, Service: uploadAddr.Addr().As4(), CallerPort: 40000, Port: uploadAddr.Port()}
	size := meanBytes * math.Exp(0.6*p.rand.NormFloat64()-0.18)
	packets := int(size/1200) + 1
	u := &upload{flow: f, began: p.now, acked: make([]bool, packets), left: packets}
	p.schedule(u.began.Add(deadline), func() { p.giveUp(u) })
	if p.gate == nil {
		p.send(u)
		return
	}
	switch p.gate.Admit(p.now, f, 0, nil) {
	case Pass:
		p.send(u)
	case Refuse:
		u.finished = true
		p.refused++
	case Hold:
		queued[f] = u
	}
}

// queued holds the uploads that wait for the gate.
var queued = map[segs.Flow]*upload{}

func (p *simulation) giveUp(u *upload) {
	if !u.finished {
		u.finished = true
		p.failed++
	}
}

// send fills the window.
func (p *simulation) send(u *upload) {
	for !u.finished && u.next < len(u.acked) && u.flight < windowSize {
		i := u.next
		u.next++
		u.flight++
		p.sendPacket(u, i, initialRTO)
	}
}

// sendPacket sends one packet and retransmits it until it is acknowledged.
func (p *simulation) sendPacket(u *upload, i int, rto time.Duration) {
	if u.finished || u.acked[i] {
		return
	}
	p.transmit(packetBytes, func() {
		if p.gate != nil {
			p.gate.RecordSent(p.now, u.flow, packetBytes)
		}
		p.schedule(p.now.Add(baseRTT), func() { p.ack(u, i) })
	})
	p.schedule(p.now.Add(rto), func() { p.sendPacket(u, i, min(2*rto, maxRTO)) })
}

func (p *simulation) ack(u *upload, i int) {
	if u.finished || u.acked[i] {
		return
	}
	u.acked[i] = true
	u.flight--
	u.left--
	if u.left > 0 {
		p.send(u)
		return
	}
	u.finished = true
	p.done = append(p.done, p.now.Sub(u.began))
	if p.gate != nil {
		p.gate.Close(u.flow)
		p.startQueued()
	}
}

// startQueued starts the queued uploads that the gate releases.
func (p *simulation) startQueued() {
	for w, ok := p.gate.NextExpired(p.now); ok; w, ok = p.gate.NextExpired(p.now) {
		queued[w.Flow].finished = true
		p.refused++
	}
	for w, ok := p.gate.Next(p.now); ok; w, ok = p.gate.Next(p.now) {
		p.send(queued[w.Flow])
	}
}

// run offers a load, as a share of the link's rate, for the given duration.
func (p *simulation) run(load float64, d time.Duration) {
	end := p.now.Add(d)
	for at := p.now; at.Before(end); {
		at = at.Add(time.Duration(p.rand.ExpFloat64() * meanBytes / (load * linkRate) * float64(time.Second)))
		p.schedule(at, p.arrive)
	}
	for at := p.now; at.Before(end); at = at.Add(20 * time.Millisecond) {
		p.schedule(at, func() {
			sent := p.now
			p.transmit(200, func() { p.shortWaits = append(p.shortWaits, p.now.Sub(sent)) })
		})
		if p.gate != nil {
			p.schedule(at, func() {
				p.gate.Expire(p.now)
				p.startQueued()
			})
		}
	}
	for len(p.pending) > 0 && !p.pending[0].at.After(end.Add(deadline)) {
		e := heap.Pop(&p.pending).(event)
		p.now = e.at
		e.do()
	}
}

// inTime returns the share of uploads that finished within their target.
func (p *simulation) inTime() float64 {
	n := 0
	for _, d := range p.done {
		if d <= target {
			n++
		}
	}
	return float64(n) / float64(p.uploads)
}

func (p *simulation) shortP99() time.Duration {
	slices.Sort(p.shortWaits)
	return p.shortWaits[len(p.shortWaits)*99/100]
}

// Guards against a burst of uploads that fills a narrow link, so that the uploads and all other flows
// wait for seconds.
func TestBurstOfUploadsLeavesTheLinkUsable(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.3} {
		for seed := range uint64(3) {
			without := newSimulation(nil, seed)
			without.run(load, 20*time.Second)
			with := newSimulation(New(linkRate, maxWait), seed)
			with.run(load, 20*time.Second)
			t.Logf("load %.1f: in time %.2f, %.2f; failed %d, %d and %d refused of %d; short packets p99 %v, %v", load, without.inTime(), with.inTime(),
				without.failed, with.failed, with.refused, with.uploads, without.shortP99(), with.shortP99())
			assert.Assert(t, with.inTime() >= without.inTime())
			assert.Assert(t, with.failed <= without.failed)
			assert.Assert(t, with.shortP99() <= 3*maxQueueTime, with.shortP99())
			if load < 0.8 {
				assert.Equal(t, with.refused, 0, "seed %d", seed)
			}
		}
	}
}

// schedule calls do at the given time.
func (p *simulation) schedule(at time.Time, do func()) {
	p.count++
	heap.Push(&p.pending, event{at: at, number: p.count, do: do})
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
