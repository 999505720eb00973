// Package loop is a discrete-event simulator: it runs events in virtual time, one after the other in the
// order of their times, without waiting.
//
// It is not a clock for tests of processes, which use testing/synctest. The decisions under test receive
// the time as an argument, so an event loop is sufficient; it runs millions of events per second.
//
// # Usage
//
//	l := loop.New()
//	l.After(time.Second, func() { fmt.Println(l.Now()) })
//	l.Run(time.Minute)
package loop

import (
	"container/heap"
	"time"
)

// Loop holds the pending events. It is not safe for concurrent use.
type Loop struct {
	start, now time.Time
	events     events
	lastSeq    uint64
}

type event struct {
	at  time.Time
	seq uint64 // events with equal times run in the order in which they were scheduled
	run func()
}

// New returns a loop without events, at virtual time zero.
func New() *Loop {
	start := time.Unix(0, 0).UTC().AddDate(30, 0, 0)
	return &Loop{start: start, now: start}
}

// Now returns the current virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Elapsed returns the virtual time since the loop's start.
func (l *Loop) Elapsed() time.Duration { return l.now.Sub(l.start) }

// After schedules a function to run after the given duration, immediately if it is negative.
func (l *Loop) After(d time.Duration, run func()) {
	l.lastSeq++
	heap.Push(&l.events, event{at: l.now.Add(max(d, 0)), seq: l.lastSeq, run: run})
}

// At schedules a function to run at the given time since the start, immediately if that has passed.
func (l *Loop) At(elapsed time.Duration, run func()) {
	l.After(elapsed-l.Elapsed(), run)
}

// Run runs all events up to the given time since the start, and sets the virtual time to it.
func (l *Loop) Run(until time.Duration) {
	end := l.start.Add(until)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}
