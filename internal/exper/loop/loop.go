// Package loop runs an experiment in virtual time: events in the order of their
// times, one after the other, with no waiting in between.
//
// It is not a clock for tests of processes (those use testing/synctest): the
// decisions under test take the time as an argument, so a loop of events is enough
// and runs some millions of them a second.
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

// Loop holds the events to come. It is not safe for concurrent use.
type Loop struct {
	start, now time.Time
	events     events
	count      uint64
}

type event struct {
	at    time.Time
	order uint64 // events of the same time run in the order in which they were set
	run   func()
}

// New returns a loop at its start.
func New() *Loop {
	start := time.Unix(0, 0).UTC().AddDate(30, 0, 0)
	return &Loop{start: start, now: start}
}

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Elapsed returns the virtual time since the start.
func (l *Loop) Elapsed() time.Duration { return l.now.Sub(l.start) }

// After runs a function when the given time has passed.
func (l *Loop) After(d time.Duration, run func()) {
	l.count++
	heap.Push(&l.events, event{at: l.now.Add(max(d, 0)), order: l.count, run: run})
}

// At runs a function at a time since the start, at once if that has passed.
func (l *Loop) At(elapsed time.Duration, run func()) {
	l.After(elapsed-l.Elapsed(), run)
}

// Run runs events until the given time since the start.
func (l *Loop) Run(until time.Duration) {
	end := l.start.Add(until)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
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
