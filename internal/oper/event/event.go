// Package event writes structured log lines about flows and changes of state, from which operators can reconstruct
// what a process did with a flow and on what information.
//
// A line is one JSON object with the time, the process, the kind of event, and for a flow its
// addresses, in the same format in all processes. Volume is bounded: each class of
// events has a budget of lines per second, so that a flood of ordinary events can't displace
// the ones that explain failures. Ordinary events are written only for flows sampled by their
// hash, so that every process samples the same flows. Omitted lines are counted, and a log-dropped line reports
// their number.
//
// Writing never blocks: lines go through a bounded queue to one goroutine; when the output is not
// read, lines are dropped and counted.
//
// The package doesn't decide which events are logged.
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

// Class is a class of events with its own line budget.
type Class int

// The classes of flow events. Ordinary ones are sampled.
const (
	Ordinary Class = iota
	Failure
	numClasses
)

const (
	// linesPerSecond is the budget of each class: 100 lines of about 200 bytes are 20 KB/s.
	linesPerSecond = 100
	// sampleInterval selects one flow in that many, whose ordinary events are written.
	sampleInterval = 16
	// queueSize is how many lines may wait for the writing goroutine: at least two seconds of all budgets.
	queueSize = 512
	// batchDelay is how long lines are collected into one write.
	batchDelay = 50 * time.Millisecond
)

// Log writes events. Its methods may be called from any goroutine.
type Log struct {
	log        zerolog.Logger
	lines      chan []byte
	closing    chan struct{}
	done       chan struct{}
	buckets    [numClasses]bucket
	overflowed atomic.Uint64 // lines dropped because the queue was full, since the last log-dropped line
	dropped    *metrics.Counter
	skipped    *metrics.Counter
	now        func() time.Time
}

// bucket counts the lines of a class in the current second.
type bucket struct {
	second atomic.Int64
	lines  atomic.Int64
	excess atomic.Int64
}

// New returns the log of a process. It writes to w until Close.
func New(w io.Writer, role, name string) *Log {
	l := &Log{
		lines:   make(chan []byte, queueSize),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
		now:     time.Now,
		dropped: metrics.GetOrCreateCounter(`mangowinch_log_lines_dropped_total{reason="queue"}`),
		skipped: metrics.GetOrCreateCounter(`mangowinch_log_lines_dropped_total{reason="budget"}`),
	}
	l.log = zerolog.New((*queueWriter)(l)).With().Str("role", role).Str("process", name).Logger()
	go l.write(w)
	return l
}

// SetClock replaces the clock that gives the time of lines; simulated processes have a clock of their own. It must be
// called before the first line.
func (l *Log) SetClock(now func() time.Time) { l.now = now }

// queueWriter is the io.Writer that passes finished lines to the writing goroutine.
type queueWriter Log

// Write queues a copy of a line, or drops the line if the queue is full. It never blocks.
func (q *queueWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.overflowed.Add(1)
		q.dropped.Inc()
	}
	return len(line), nil
}

// write runs in the writing goroutine, the only one that may block on w.
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
		b = l.collect(b, time.After(batchDelay))
		if n := l.overflowed.Swap(0); n > 0 {
			b = append(b, fmt.Sprintf(`{"event":"log-dropped","reason":"queue","lines":%d}`+"\n", n)...)
		}
		l.flush(w, b)
	}
}

// maxBatch bounds one write in bytes.
const maxBatch = 1 << 15

// collect appends the lines that arrive until end fires to b; if end is nil, only the lines that are already queued.
func (l *Log) collect(b []byte, end <-chan time.Time) []byte {
	for len(b) < maxBatch {
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

// closeTimeout bounds the time that Close waits when the output is not read.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines. Lines logged later are dropped: goroutines may still log while they end.
func (l *Log) Close() {
	close(l.closing)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

// State starts a line about a change of the process's state or of its view of the system. Such lines
// are rare and have no budget.
func (l *Log) State(name string) *zerolog.Event { return l.line(name) }

// Flow starts a line about a decision on a flow. It returns nil, a valid event that writes nothing, when the flow
// is not sampled or the budget of the class is exhausted.
func (l *Log) Flow(c Class, name string, f segs.Flow) *zerolog.Event {
	if c == Ordinary && f.Hash()%sampleInterval != 0 {
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

// allow counts a line against the budget of its class and reports whether it may be written. Two goroutines may both
// start a new second, which can let one line too many through.
func (l *Log) allow(c Class, second int64) bool {
	b := &l.buckets[c]
	if b.second.Swap(second) != second {
		b.lines.Store(0)
		if over := b.excess.Swap(0); over > 0 {
			l.line("log-dropped").Str("reason", "budget").Int64("lines", over).Send()
		}
	}
	if b.lines.Add(1) <= linesPerSecond {
		return true
	}
	b.excess.Add(1)
	return false
}

// Logger returns the underlying logger, for packages that write their own lines about changes of state.
func (l *Log) Logger() zerolog.Logger { return l.log }
