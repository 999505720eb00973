package pace_test

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
	"mangowinch/internal/load/bulk"
	"mangowinch/internal/load/pace"
)

// Parameters of the simulated callers and of a link of 10 Mbit/s in each direction.
const (
	linkRate    = 10e6 / 8 // bytes per second
	packetBytes = 1232
	shortBytes  = 200
	windowSize  = 16
	baseRTT     = 5 * time.Millisecond
	firstRTO    = 200 * time.Millisecond
	maxRTO      = 1600 * time.Millisecond
	maxWait     = 675 * time.Millisecond
	target      = 800 * time.Millisecond
	deadline    = 4 * time.Second
	meanBytes   = 80e3
	loadTime    = 20 * time.Second
	maxQueued   = 1500 * time.Millisecond // packets beyond this are dropped
)

var uploadAddr = netip.MustParseAddrPort("198.18.0.1:443")

// direction is one direction of the entry's link.
type direction struct {
	rate   float64
	idleAt time.Time // when everything that is queued has been sent
}

// simulation models callers that upload through one entry with a narrow link, and short packets beside them.
type simulation struct {
	gate    *bulk.Gate
	queue   *pace.Queue // nil: packets are forwarded at once
	link    *pace.Link
	rand    *rand.Rand
	now     time.Time
	pending events
	count   int
	in, out direction
	wakes   time.Time
	waiting map[segs.Flow]*upload
	arrived map[segs.Flow]*upload
	uploads int

	done       []time.Duration // durations of finished uploads, from their first packet
	refused    int
	failed     int
	shortWaits []time.Duration // delays of short packets on the way out of the entry
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

func newSimulation(seed uint64, stated, carried float64, paced bool) *simulation {
	start := time.Unix(1_700_000_000, 0)
	p := &simulation{
		gate: bulk.New(stated, maxWait), rand: rand.New(rand.NewPCG(seed, 3)), now: start,
		in: direction{carried, start}, out: direction{carried, start}, waiting: map[segs.Flow]*upload{}, arrived: map[segs.Flow]*upload{},
	}
	if paced {
		p.gate = bulk.NewPaced(stated, maxWait)
		p.queue = pace.New(stated)
		p.link = pace.NewLink(stated)
	}
	return p
}

// transmit queues a packet on a direction of the link and calls delivered when the link has sent it. Packets
// that exceed the link's queue are dropped.
func (p *simulation) transmit(l *direction, bytes int, delivered func()) {
	if l.idleAt.Before(p.now) {
		l.idleAt = p.now
	}
	if l.idleAt.Sub(p.now) > maxQueued {
		return
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	p.schedule(l.idleAt, delivered)
}

// arrive starts an upload.
func (p *simulation) arrive() {
	p.uploads++
	f := segs.Flow{Caller: [4]byte{100, 64, byte(p.uploads >> 8), byte(p.uploads)}, Service: uploadAddr.Addr().As4(), CallerPort: 40000, Port: uploadAddr.Port()}
	packets := int(meanBytes*math.Exp(0.6*p.rand.NormFloat64()-0.18)/1200) + 1
	u := &upload{flow: f, began: p.now, acked: make([]bool, packets), left: packets}
	p.schedule(u.began.Add(deadline), func() { p.giveUp(u) })
	switch p.gate.Admit(p.now, f, 0, nil) {
	case bulk.Pass:
		p.send(u)
	case bulk.Refuse:
		u.finished = true
		p.refused++
	case bulk.Hold:
		p.waiting[f] = u
	}
}

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
		p.sendPacket(u, i, firstRTO)
	}
}

// sendPacket sends one packet and retransmits it until it is acknowledged.
func (p *simulation) sendPacket(u *upload, i int, rto time.Duration) {
	if u.finished || u.acked[i] {
		return
	}
	p.transmit(&p.in, packetBytes, func() { p.enter(u, i) })
	p.schedule(p.now.Add(rto), func() { p.sendPacket(u, i, min(2*rto, maxRTO)) })
}

// enter handles a packet that has reached the entry.
func (p *simulation) enter(u *upload, i int) {
	p.gate.RecordSent(p.now, u.flow, packetBytes)
	if p.queue == nil {
		p.leave(u, i)
		return
	}
	if !p.gate.Long(u.flow) && !p.queue.Holds(u.flow) {
		if p.gate.FillsWindow(u.flow) {
			p.link.MarkBusy(p.now)
		}
		p.queue.Charge(p.now, packetBytes)
		p.leave(u, i)
		return
	}
	p.arrived[u.flow] = u
	data := make([]byte, packetBytes)
	data[0], data[1] = byte(i>>8), byte(i)
	p.queue.Push(p.now, u.flow, data)
	p.link.MarkBusy(p.now)
	p.drain()
}

// drain sends what the queue releases and schedules the next call.
func (p *simulation) drain() {
	for k, ok := p.queue.Next(p.now); ok; k, ok = p.queue.Next(p.now) {
		p.leave(p.arrived[k.Flow], int(k.Data[0])<<8|int(k.Data[1]))
	}
	wait, ok := p.queue.Ready(p.now)
	if at := p.now.Add(wait); ok && (!p.wakes.After(p.now) || at.Before(p.wakes)) {
		p.wakes = at
		p.schedule(at, p.drain)
	}
}

// leave sends a packet from the entry to the server, which acknowledges it.
func (p *simulation) leave(u *upload, i int) {
	p.transmit(&p.out, packetBytes+64, func() { p.schedule(p.now.Add(baseRTT), func() { p.ack(u, i) }) })
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
	p.gate.Close(u.flow)
	p.startWaiting()
}

// startWaiting starts the uploads that the gate releases.
func (p *simulation) startWaiting() {
	for w, ok := p.gate.NextExpired(p.now); ok; w, ok = p.gate.NextExpired(p.now) {
		p.waiting[w.Flow].finished = true
		p.refused++
	}
	for w, ok := p.gate.Next(p.now); ok; w, ok = p.gate.Next(p.now) {
		p.send(p.waiting[w.Flow])
	}
}

// sendShort sends a short packet through the entry.
func (p *simulation) sendShort() {
	p.transmit(&p.in, shortBytes, func() {
		arrived := p.now
		if p.queue != nil {
			p.queue.Charge(p.now, shortBytes)
		}
		p.transmit(&p.out, shortBytes+64, func() {
			p.shortWaits = append(p.shortWaits, p.now.Sub(arrived))
			if p.link != nil {
				p.schedule(p.now.Add(baseRTT), func() { p.link.Answered(p.now, "", arrived) })
			}
		})
	})
}

// adjust applies the rate that the link is found to carry.
func (p *simulation) adjust() {
	if p.link == nil {
		return
	}
	if p.queue.Len() > 0 {
		p.link.MarkBusy(p.now)
	}
	if p.link.Adjust(p.now) {
		p.queue.SetRate(p.link.SendRate())
		p.gate.SetCarried(p.link.Rate(), p.link.Narrow())
	}
}

// run offers a load, as a share of the stated rate, for loadTime.
func (p *simulation) run(load float64) {
	end := p.now.Add(loadTime)
	for at := p.now; at.Before(end); {
		at = at.Add(time.Duration(p.rand.ExpFloat64() * meanBytes / (load * linkRate) * float64(time.Second)))
		p.schedule(at, p.arrive)
	}
	for at := p.now; at.Before(end); at = at.Add(20 * time.Millisecond) {
		p.schedule(at, p.sendShort)
		p.schedule(at, func() {
			p.gate.Expire(p.now)
			p.startWaiting()
			p.adjust()
		})
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

// shortWait returns a quantile of the delays of short packets.
func (p *simulation) shortWait(percent int) time.Duration {
	slices.Sort(p.shortWaits)
	return p.shortWaits[len(p.shortWaits)*percent/100]
}

const (
	// pairSeeds is the number of runs with and without the mechanism that are compared.
	pairSeeds = 10
	// studentQuantile is the 95% quantile of Student's distribution for as many pairs.
	studentQuantile = 1.83
	// maxError is the standard error up to which the comparison of shares tells something.
	maxError = 0.01
)

// meanAndError returns the mean of values and its standard error.
func meanAndError(values []float64) (mean, se float64) {
	n := float64(len(values))
	for _, v := range values {
		mean += v / n
	}
	for _, v := range values {
		se += (v - mean) * (v - mean) / (n - 1) / n
	}
	return mean, math.Sqrt(se)
}

// Guards against short packets that wait behind the windows of uploads in front of the link, and against uploads
// that lose by it: the difference to those without it, with the same arrivals, may be negative by chance only.
func TestShortPacketsPassUploads(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.3} {
		var gains []float64
		for seed := range uint64(pairSeeds) {
			without := newSimulation(seed, linkRate, linkRate, false)
			without.run(load)
			with := newSimulation(seed, linkRate, linkRate, true)
			with.run(load)
			logBoth(t, load, without, with)
			gains = append(gains, with.inTime()-without.inTime())
			assert.Assert(t, with.failed <= without.failed)
			assert.Assert(t, with.shortWait(99) <= 10*time.Millisecond, with.shortWait(99))
			assert.Equal(t, with.link.Rate(), linkRate)
		}
		mean, se := meanAndError(gains)
		t.Logf("load %.1f: gain %.4f, standard error %.4f", load, mean, se)
		assert.Assert(t, se <= maxError, "load %.1f: standard error %.4f", load, se)
		assert.Assert(t, mean >= -studentQuantile*se, "load %.1f: gain %.4f, standard error %.4f", load, mean, se)
	}
}

// Guards against a link that carries less than stated, in front of which short packets wait behind uploads
// although these are queued in the entry.
func TestShortPacketsPassUploadsOnANarrowedLink(t *testing.T) {
	const carried = 0.3 * linkRate
	for _, stated := range []float64{linkRate, 20 * carried} { // without and with flows that aren't long on the stated link
		for seed := range uint64(3) {
			without := newSimulation(seed, stated, carried, false)
			without.run(0.9 * carried / linkRate)
			with := newSimulation(seed, stated, carried, true)
			with.run(0.9 * carried / linkRate)
			logBoth(t, 0.9*carried/linkRate, without, with)
			assert.Assert(t, with.shortWait(90) <= without.shortWait(90)/2, "%v, without %v", with.shortWait(90), without.shortWait(90))
			assert.Assert(t, with.inTime() >= without.inTime())
		}
	}
}

func logBoth(t *testing.T, load float64, without, with *simulation) {
	t.Logf("load %.1f: in time %.2f, %.2f; failed %d, %d, refused %d, %d of %d; short packets p50 %v, %v, p90 %v, %v, p99 %v, %v", load,
		without.inTime(), with.inTime(), without.failed, with.failed, without.refused, with.refused, with.uploads,
		without.shortWait(50), with.shortWait(50), without.shortWait(90), with.shortWait(90), without.shortWait(99), with.shortWait(99))
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
