// Package budget measures the resources that the control plane uses in a process, and limits
// the transfer of document texts.
//
// It exists because the resources of a process are for customer traffic: the control plane may
// use at most 19 KB a second, 1.2 % of a core and 256 MB. Notifications of changes are small and
// are never delayed here. Texts of documents are, by a rate limiter that keeps the traffic of any
// minute within the budget. The usage is shown in /status, and exceeded budgets are counted.
//
// The package does not know what is sent. Its CPU time covers the functions that run within
// TimeCPU. It does not include the network library and the garbage collector, which
// scripts/capacity measures from outside the process.
//
// # Usage
//
//	meter := budget.New()
//	conn = meter.Conn(conn)              // counts bytes
//	meter.TimeCPU(func() { decide() })   // counts CPU time
//	if !meter.Acquire(ctx, len(text)) {  // waits for the rate limiter
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

// Limits for texts, in bytes. In any minute at most textBurst + 60 s * textRate = 960 KB of
// texts are transferred, 16 KB a second. The rest of the 19 KB is for exchanges and heartbeats.
// The burst is enough to receive a document of a megabyte, which compresses to a quarter, and to
// send it on once. At 790 changes a day the limiter has refilled before the next one.
const (
	textRate  = 6_000
	textBurst = 600_000
	maxWait   = 500 * time.Millisecond // for a longer wait, the requester is better served by another peer
)

// segmentOverhead is the estimated TCP and IP overhead of each read and write, in bytes: a header
// of 52 bytes and, in the opposite direction, an acknowledgement shared by two segments.
const segmentOverhead = 52 + 26

var (
	overBytes    = metrics.GetOrCreateCounter(`mangowinch_control_over_total{budget="bytes"}`)
	overCPU      = metrics.GetOrCreateCounter(`mangowinch_control_over_total{budget="cpu"}`)
	overMemory   = metrics.GetOrCreateCounter(`mangowinch_control_over_total{budget="memory"}`)
	delayedTexts = metrics.GetOrCreateCounter(`mangowinch_control_texts_total{result="held"}`)
	refusedTexts = metrics.GetOrCreateCounter(`mangowinch_control_texts_total{result="busy"}`)
)

// Usage is the recent resource usage of the control plane.
type Usage struct {
	BytesPerSecond float64  `json:"bytes"`  // mean of the last minute, sent and received, with estimated headers
	CPUShare       float64  `json:"cpu"`    // mean of the last minute, as a share of one core
	Memory         uint64   `json:"memory"` // bytes of the whole process, an upper bound for the control plane
	Sent           uint64   `json:"sent"`   // bytes since the start
	Received       uint64   `json:"received"`
	Over           []string `json:"over,omitempty"` // exceeded budgets
}

// sample holds the cumulative counters at one time.
type sample struct {
	at    time.Time
	bytes uint64
	cpu   int64
}

// windowSamples is the number of samples over which Usage averages, at one a second.
const windowSamples = 60

// Meter measures the control plane of one process. Its methods may be called from any goroutine.
type Meter struct {
	sent, received atomic.Uint64
	cpu            atomic.Int64 // nanoseconds
	limiter        *rate.Limiter

	mu      sync.Mutex
	samples []sample
}

// New returns a meter with all counters at zero.
func New() *Meter {
	return &Meter{limiter: rate.NewLimiter(textRate, textBurst)}
}

// Acquire waits until n bytes of text may be sent or received. It returns false at once if that
// would take longer than maxWait, and false if ctx ends during the wait.
func (m *Meter) Acquire(ctx context.Context, n int) bool {
	r := m.limiter.ReserveN(time.Now(), min(n, textBurst))
	d := r.Delay()
	if d > maxWait {
		r.Cancel()
		refusedTexts.Inc()
		return false
	}
	return wait(ctx, d)
}

// Charge charges the rate limiter for n bytes of text that were received, and waits until it
// permits them, however long that takes. It returns false if ctx ends during the wait.
func (m *Meter) Charge(ctx context.Context, n int) bool {
	return wait(ctx, m.limiter.ReserveN(time.Now(), min(n, textBurst)).Delay())
}

// wait waits for d, and returns false if ctx ends before.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	delayedTexts.Inc()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Available returns the number of bytes of text that Acquire permits without a wait.
func (m *Meter) Available() int { return int(m.limiter.Tokens()) }

// TimeCPU runs f and counts its CPU time.
func (m *Meter) TimeCPU(f func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadCPUTime()
	defer func() { m.cpu.Add(threadCPUTime() - start) }()
	f()
}

// threadCPUTime returns the CPU time of the current OS thread in nanoseconds, 0 if it can't be read.
func threadCPUTime() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return t.Nano()
}

// Sample records a sample, and counts the exceeded budgets. It must be called about once a second.
func (m *Meter) Sample(now time.Time) {
	m.mu.Lock()
	m.samples = append(m.samples, sample{now, m.sent.Load() + m.received.Load(), m.cpu.Load()})
	m.samples = m.samples[max(0, len(m.samples)-windowSamples):]
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

// Usage returns the current usage. Means are relative to the oldest sample in the window.
func (m *Meter) Usage(now time.Time) Usage {
	u := Usage{Sent: m.sent.Load(), Received: m.received.Load(), Memory: processMemory()}
	m.mu.Lock()
	if len(m.samples) > 0 {
		first := m.samples[0]
		// The mean is never over less than the window: otherwise the texts that a process receives
		// at its start would exceed its budget.
		span := max(now.Sub(first.at), windowSamples*time.Second).Seconds()
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

// processMemory returns the memory that the Go runtime holds, without what it returned to the system.
func processMemory() uint64 {
	s := []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	runtimemetrics.Read(s)
	return s[0].Value.Uint64() - s[1].Value.Uint64()
}

// CountAnswered counts the bytes of a call that this process served. Its connection may be shared
// with calls that do not belong to the control plane, so Conn can't count its bytes.
func (m *Meter) CountAnswered(received, sent int) {
	m.received.Add(uint64(received) + segmentOverhead)
	m.sent.Add(uint64(sent) + segmentOverhead)
}

// Conn wraps a connection that this process opened, so that its bytes are counted.
func (m *Meter) Conn(c net.Conn) net.Conn { return &conn{c, m} }

type conn struct {
	net.Conn
	meter *Meter
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.received.Add(uint64(n) + segmentOverhead)
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.meter.sent.Add(uint64(n) + segmentOverhead)
	}
	return n, err
}
