// Package budget measures what control costs a process, and holds back what can wait.
//
// It exists because traffic is what a process is there for: control may spend
// at most 19 KB a second, 1.2 % of a core and 256 MB. News of changes is small
// and is never held back here; texts of documents are, by a limiter that keeps
// any minute within the budget. What is spent is shown in /status and counted
// when it is over.
//
// It doesn't know what is sent. Processor time counts what runs within Work; the
// time of the network library and of the garbage collector is not in it, and
// is measured from outside by scripts/capacity.
//
// # Usage
//
//	meter := budget.New()
//	conn = meter.Conn(conn)            // counts bytes
//	meter.Work(func() { decide() })    // counts processor time
//	if !meter.Spend(ctx, len(text)) {  // waits for its turn
//		return errBusy
//	}
//	usage := meter.Usage(time.Now())
package budget

import (
	"context"
	"net"
	"runtime"
	runtimemetrics "runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// The budgets of one process.
const (
	BytesPerSecond = 19_000 // sent and received
	CPUShare       = 0.012  // of a core
	Memory         = 256 << 20
)

// Bounds of texts. In any minute at most textBurst + 60 s * textRate = 960 KB of texts
// pass, 16 KB a second; what is left to 19 KB is for exchanges and heartbeats. The
// burst takes in a document of a megabyte, deflated to a quarter, and passes it
// on once; at 790 changes a day it has filled up again by the next one.
const (
	textRate  = 6_000
	textBurst = 600_000
	maxWait   = 500 * time.Millisecond // longer and the asker does better with another peer
)

// segment is what TCP and IP add to each write and read: a header of 52 bytes
// and, on the other way, an acknowledgement shared by two segments.
const segment = 52 + 26

var (
	overBytes  = metrics.GetOrCreateCounter(`mangowinch_control_over_total{budget="bytes"}`)
	overCPU    = metrics.GetOrCreateCounter(`mangowinch_control_over_total{budget="cpu"}`)
	overMemory = metrics.GetOrCreateCounter(`mangowinch_control_over_total{budget="memory"}`)
	heldTotal  = metrics.GetOrCreateCounter(`mangowinch_control_texts_total{result="held"}`)
	busyTotal  = metrics.GetOrCreateCounter(`mangowinch_control_texts_total{result="busy"}`)
)

// Usage is what control spent lately.
type Usage struct {
	BytesPerSecond float64  `json:"bytes"`  // mean of the last minute, sent and received, headers estimated
	CPUShare       float64  `json:"cpu"`    // mean of the last minute, of one core
	Memory         uint64   `json:"memory"` // of the whole process, bytes: an upper bound for control
	Sent           uint64   `json:"sent"`   // bytes since the start
	Received       uint64   `json:"received"`
	Over           []string `json:"over,omitempty"` // budgets that are exceeded
}

type sample struct {
	at    time.Time
	bytes uint64
	cpu   int64
}

// window is how many samples a mean spans, one a second.
const window = 60

// Meter measures one process. Its methods may be called from any goroutine.
type Meter struct {
	sent, received atomic.Uint64
	cpu            atomic.Int64 // nanoseconds
	limiter        *rate.Limiter

	mu      sync.Mutex
	samples []sample
}

// New returns a meter at zero.
func New() *Meter {
	return &Meter{limiter: rate.NewLimiter(textRate, textBurst)}
}

// Acquire waits until n bytes of text may be sent or received. It returns false
// at once when that would take more than half a second, or when ctx ends.
func (m *Meter) Acquire(ctx context.Context, n int) bool {
	r := m.limiter.ReserveN(time.Now(), min(n, textBurst))
	d := r.Delay()
	if d > maxWait {
		r.Cancel()
		busyTotal.Inc()
		return false
	}
	return wait(ctx, d)
}

// Charge notes that n bytes of text were received, and waits until there is room
// again, however long that takes.
func (m *Meter) Charge(ctx context.Context, n int) bool {
	return wait(ctx, m.limiter.ReserveN(time.Now(), min(n, textBurst)).Delay())
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	heldTotal.Inc()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Available returns how many bytes of text may pass at once.
func (m *Meter) Available() int { return int(m.limiter.Tokens()) }

// TimeCPU runs f and counts its processor time.
func (m *Meter) TimeCPU(f func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadTime()
	defer func() { m.cpu.Add(threadTime() - start) }()
	f()
}

func threadTime() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return t.Nano()
}

// Sample is to be called about once a second. It counts budgets that are exceeded.
func (m *Meter) Sample(now time.Time) {
	m.mu.Lock()
	m.samples = append(m.samples, sample{now, m.sent.Load() + m.received.Load(), m.cpu.Load()})
	m.samples = m.samples[max(0, len(m.samples)-window):]
	m.mu.Unlock()
	u := m.Usage(now)
	for _, n := range u.Over {
		switch n {
		case "bytes":
			overBytes.Inc()
		case "cpu":
			overCPU.Inc()
		case "memory":
			overMemory.Inc()
		}
	}
}

// Usage returns what was spent up to the last samples.
func (m *Meter) Usage(now time.Time) Usage {
	u := Usage{Sent: m.sent.Load(), Received: m.received.Load(), Memory: memory()}
	m.mu.Lock()
	if len(m.samples) > 0 {
		first := m.samples[0]
		// Never over less than the window, else a process would be over its budget for
		// the texts that it gets at its start.
		span := max(now.Sub(first.at), window*time.Second).Seconds()
		u.BytesPerSecond = float64(u.Sent+u.Received-first.bytes) / span
		u.CPUShare = float64(m.cpu.Load()-first.cpu) / 1e9 / span
	}
	m.mu.Unlock()
	if u.BytesPerSecond > BytesPerSecond {
		u.Over = append(u.Over, "bytes")
	}
	if u.CPUShare > CPUShare {
		u.Over = append(u.Over, "cpu")
	}
	if u.Memory > Memory {
		u.Over = append(u.Over, "memory")
	}
	return u
}

func memory() uint64 {
	s := []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	runtimemetrics.Read(s)
	return s[0].Value.Uint64() - s[1].Value.Uint64()
}

// CountAnswered counts a call that this process answered. Its connection may be shared
// with calls that are not control's, so its bytes aren't counted by Conn.
func (m *Meter) CountAnswered(received, sent int) {
	m.received.Add(uint64(received) + segment)
	m.sent.Add(uint64(sent) + segment)
}

// Conn counts the bytes that pass a connection which this process opened.
func (m *Meter) Conn(c net.Conn) net.Conn { return &conn{c, m} }

type conn struct {
	net.Conn
	meter *Meter
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.received.Add(uint64(n) + segment)
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.meter.sent.Add(uint64(n) + segment)
	}
	return n, err
}
