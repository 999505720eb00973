// Package stamp keeps a moment that several goroutines set and read, by the steady clock.
//
// The time of day may jump while a process runs. A moment kept as Unix nanoseconds would then look longer ago
// than it is, or as if it had yet to come: an entry that is being stopped would take a jump for silence and close its
// sockets on packets that still come, and an agent would take its other process for dead. Times as the runtime gives
// them carry the steady clock, but no atomic holds one without allocating.
//
// # Usage
//
//	var heard stamp.Time
//	heard.Set(time.Now())
//	if heard.Since(time.Now()) > limit { ... }
package stamp

import (
	"math"
	"sync/atomic"
	"time"
)

// epoch is what moments are counted from; anything but the time of day would do.
var epoch = time.Now()

// Time is a moment; the zero Time is never.
type Time struct{ offset atomic.Int64 } // nanoseconds after begin, 0: never

// Set makes it now.
func (t *Time) Set(now time.Time) { t.offset.Store(nanos(now)) }

// Clear makes it never.
func (t *Time) Clear() { t.offset.Store(0) }

// Since is how long ago it was, the longest Duration if it is never.
func (t *Time) Since(now time.Time) time.Duration { return elapsed(t.offset.Load(), now) }

// Claim makes it now if it was at least every ago. Of several goroutines one gets true.
func (t *Time) Claim(now time.Time, every time.Duration) bool {
	last := t.offset.Load()
	return elapsed(last, now) >= every && t.offset.CompareAndSwap(last, nanos(now))
}

func elapsed(after int64, now time.Time) time.Duration {
	if after == 0 {
		return math.MaxInt64
	}
	return now.Sub(epoch) - time.Duration(after)
}

func nanos(now time.Time) int64 { return int64(now.Sub(epoch)) }
