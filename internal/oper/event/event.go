// Package event writes the lines that explain afterwards what a process did with a
// flow and why it believed what it did.
//
// A line is one JSON object with the time, the process, the kind of event, and for a flow its
// addresses, printed alike everywhere. Volume is bounded: each class of
// events has a budget of lines a second, so that a flood of ordinary events can't push out
// the ones that explain failures, and ordinary ones are written only for flows picked by their
// hash, which picks the same flows in every process. What was left out is counted and said.
//
// Writing never blocks: lines go through a bounded queue to one goroutine, and when whoever reads
// the output doesn't, lines are dropped and counted.
//
// The package doesn't decide what is worth a line.
//
// # Usage
//
//	log := event.New(os.Stdout, "entry", "e1")
//	defer log.Close()
//	log.Flow(event.Failure, "refused", flow).Str("why", why).Send()
//	log.State("start").Str("version", v).Send()
package event

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"mangowinch/internal/flow/segs"
)

// Class is a class of events with a budget of its own.
type Class int

// The classes of flow events. Ordinary ones are sampled.
const (
	Ordinary Class = iota
	Failure
	classes
)

const (
	// linesPerSecond bounds each class: 100 lines of some 200 bytes are 20 KB/s.
	linesPerSecond = 100
	// sampled is how many flows share one whose ordinary events are written.
	sampled = 16
	// queued is how many lines may wait for the writer: two seconds of all budgets.
	queued = 512
	// gather is how long lines are collected for one write.
	gather = 50 * time.Millisecond
)

// Log writes events. Its methods may be called from any goroutine.
type Log struct {
	log     zerolog.Logger
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	buckets [classes]bucket
	full    atomic.Uint64 // lines dropped since the last that said so
	dropped *metrics.Counter
	skipped *metrics.Counter
	now     func() time.Time
}

// bucket counts the lines of one second.
type bucket struct {
	second atomic.Int64
	lines  atomic.Int64
	over   atomic.Int64
}

// New returns a log of a process that writes to w until Close.
func New(w io.Writer, role, name string) *Log {
	l := &Log{
		lines:   make(chan []byte, queued),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
		now:     time.Now,
		dropped: metrics.GetOrCreateCounter(`mangowinch_log_lines_dropped_total{reason="queue"}`),
		skipped: metrics.GetOrCreateCounter(`mangowinch_log_lines_dropped_total{reason="budget"}`),
	}
	l.log = zerolog.New((*queue)(l)).With().Str("role", role).Str("process", name).Logger()
	go l.write(w)
	return l
}

// SetClock makes lines carry the time of stand-ins that have a clock of their own. It is to be called before the first line.
func (l *Log) SetClock(now func() time.Time) { l.now = now }

// queue is the way of a finished line to the writing goroutine.
type queue Log

// Write queues a copy of a line or drops it; it never blocks.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.full.Add(1)
		q.dropped.Inc()
	}
	return len(line), nil
}

// write is the goroutine that may block on w.
func (l *Log) write(w io.Writer) {
	defer close(l.done)
	for {
		var b []byte
		select {
		case b = <-l.lines:
		case <-l.closing:
			l.flush(w, l.collect(nil, nil))
			return
		}
		b = l.collect(b, time.After(gather))
		if n := l.full.Swap(0); n > 0 {
			b = append(b, fmt.Sprintf(`{"event":"log-dropped","reason":"queue","lines":%d}`+"\n", n)...)
		}
		l.flush(w, b)
	}
}

// mostAtOnce bounds one write in bytes.
const mostAtOnce = 1 << 15

// collect appends the lines that come until end to b; with no end, those that are there.
func (l *Log) collect(b []byte, end <-chan time.Time) []byte {
	for len(b) < mostAtOnce {
		if end == nil && len(l.lines) == 0 {
			return b
		}
		select {
		case next := <-l.lines:
			b = append(b, next...)
		case <-end:
			return b
		case <-l.closing:
			end = nil
		}
	}
	return b
}

func (l *Log) flush(w io.Writer, b []byte) {
	if _, err := w.Write(b); err != nil {
		l.dropped.Inc()
	}
}

// closeWait bounds Close when nobody reads the output.
const closeWait = 200 * time.Millisecond

// Close writes what is queued. What is logged later is dropped: goroutines that are ending may still log.
func (l *Log) Close() {
	close(l.closing)
	select {
	case <-l.done:
	case <-time.After(closeWait):
	}
}

// State begins a line on a change of what the process is or believes. Such lines
// are few by their nature, and are not limited.
func (l *Log) State(name string) *zerolog.Event { return l.line(name) }

// Flow begins a line on a decision about a flow; it is nil, which drops all that is
// added to it, when the line is sampled out or over its budget.
func (l *Log) Flow(c Class, name string, f segs.Flow) *zerolog.Event {
	if c == Ordinary && f.Hash()%sampled != 0 {
		return nil
	}
	if !l.allow(c, l.now().Unix()) {
		l.skipped.Inc()
		return nil
	}
	return l.line(name).Stringer("flow", f)
}

func (l *Log) line(name string) *zerolog.Event {
	return l.log.Log().Str("time", l.now().UTC().Format("2006-01-02T15:04:05.000Z")).Str("event", name)
}

// allow counts a line against its class. Two goroutines may both begin a second, which lets a
// line too many through.
func (l *Log) allow(c Class, second int64) bool {
	b := &l.buckets[c]
	if b.second.Swap(second) != second {
		b.lines.Store(0)
		if over := b.over.Swap(0); over > 0 {
			l.line("log-dropped").Str("reason", "budget").Int64("lines", over).Send()
		}
	}
	if b.lines.Add(1) <= linesPerSecond {
		return true
	}
	b.over.Add(1)
	return false
}

// Logger is for parts that write lines of their own on changes of state.
func (l *Log) Logger() zerolog.Logger { return l.log }
