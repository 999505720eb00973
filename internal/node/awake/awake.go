// Package awake notices that a process was paused and has woken up late.
//
// A process that is stopped for a minute (a frozen virtual machine, a debugger, a
// long page-in) goes on where it was, with beliefs of a minute ago, and does not know
// it. It shows as a step between two ticks of a timer that is far over the tick.
// The runtime's monotonic clock runs on while a process is stopped, so the step is
// seen at the first tick after the pause, before or within a tick of anything else
// that the process does.
//
// It does not say what to refresh: whoever holds beliefs does.
//
// # Usage
//
//	awake.Watch(ctx, func(pause time.Duration) { forgetBeliefs() })
package awake

import (
	"context"
	"time"
)

const (
	// Tick is how often the clock is looked at.
	Tick = 100 * time.Millisecond
	// Threshold is the step that counts as a pause. A busy machine delays a tick by
	// tens of milliseconds; what agents believe of entries ages in 400 ms, so
	// a shorter pause is met by those beliefs' own limits.
	Threshold = time.Second
)

// Pause returns how long a process was paused between two ticks, 0 if it was not.
func Pause(before, now time.Time) time.Duration {
	step := now.Sub(before)
	if step < Threshold {
		return 0
	}
	return step - Tick
}

// Watch calls woken after each pause, until ctx ends.
func Watch(ctx context.Context, woken func(pause time.Duration)) {
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
			woken(p)
		}
		before = now
	}
}
