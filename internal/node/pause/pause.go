// Package pause detects that a process was paused and has resumed.
//
// A process that is stopped for a minute (a frozen virtual machine, a debugger, a long page-in) continues
// where it was, with state that is a minute old, and doesn't notice. The pause shows as a step between two
// ticks of a timer that is much longer than the interval of the timer. The runtime's monotonic clock
// continues while a process is stopped, so the step is visible at the first tick after the pause, before or
// within a tick of anything else that the process does.
//
// The package doesn't decide what to refresh; the owners of the state do.
//
// # Usage
//
//	pause.Watch(ctx, func(length time.Duration) { dropState() })
package pause

import (
	"context"
	"time"
)

const (
	// Tick is how often the clock is checked.
	Tick = 100 * time.Millisecond
	// Threshold is the shortest step that counts as a pause. A busy machine delays a tick by tens of
	// milliseconds. What agents know of entries expires after 400 ms, so a shorter pause is covered by that
	// expiry.
	Threshold = time.Second
)

// Pause returns how long the process was paused between two ticks, or 0 if it was not.
func Pause(before, now time.Time) time.Duration {
	step := now.Sub(before)
	if step < Threshold {
		return 0
	}
	return step - Tick
}

// Watch calls resumed after each pause, until ctx ends.
func Watch(ctx context.Context, resumed func(pause time.Duration)) {
	t := time.NewTicker(Tick)
	defer t.Stop()
	before := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		if p := Pause(before, now); p > 0 {
			resumed(p)
		}
		before = now
	}
}
