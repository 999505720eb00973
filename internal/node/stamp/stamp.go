// Package stamp implements a time that several goroutines set and read without a lock, based on the
// monotonic clock.
//
// The wall clock may jump while a process runs. A time kept as Unix nanoseconds would then seem older than
// it is, or to lie in the future. An entry that shuts down would take a jump for the end of traffic and
// close its sockets while packets still arrive, and an agent would take the other process at its address
// for dead. A time.Time carries the monotonic clock, but no atomic type holds one without an allocation.
//
// # Usage
//
//	var lastSeen stamp.Time
//	lastSeen.Set(time.Now())
//	idle := lastSeen.Since(time.Now()) > limit
package stamp

import (
	"math"
	"sync/atomic"
	"time"
)

// epoch is the time from which offsets are counted. Any reading of the monotonic clock would do.
var epoch = time.Now()

// Time is a time, or never, which is the zero value.
type Time struct{ offset atomic.Int64 } // nanoseconds after epoch, 0: never

// Set sets the time to now.
func (t *Time) Set(now time.Time) { t.offset.Store(nanos(now)) }

// Clear sets the time to never.
func (t *Time) Clear() { t.offset.Store(0) }

// Since returns the time elapsed until now, or the longest Duration if the time is never.
func (t *Time) Since(now time.Time) time.Duration { return elapsed(t.offset.Load(), now) }

// Claim sets the time to now if at least every has elapsed, and reports whether it did. Of several
// goroutines that call it at once, only one gets true.
func (t *Time) Claim(now time.Time, every time.Duration) bool {
	last := t.offset.Load()
	return elapsed(last, now) >= every && t.offset.CompareAndSwap(last, nanos(now))
}

func elapsed(offset int64, now time.Time) time.Duration {
	if offset == 0 {
		return math.MaxInt64
	}
	return now.Sub(epoch) - time.Duration(offset)
}

func nanos(now time.Time) int64 { return int64(now.Sub(epoch)) }
