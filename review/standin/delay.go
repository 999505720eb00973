//go:build review

package main

import "time"

// line delivers packets in order after a delay.
type line struct {
	delay time.Duration
	queue chan delivery
}

type delivery struct {
	due time.Time
	do  func()
}

func newLine(delay time.Duration) *line {
	l := &line{delay: delay, queue: make(chan delivery, 1<<16)}
	go func() {
		for d := range l.queue {
			time.Sleep(time.Until(d.due))
			d.do()
		}
	}()
	return l
}

// pass calls do after the delay; a nil line has none.
func (l *line) pass(do func()) {
	if l == nil {
		do()
		return
	}
	l.queue <- delivery{time.Now().Add(l.delay), do}
}
