package fakes

import (
	"slices"
	"time"

	"mangowinch/internal/exper/loop"
)

// End is how an execution ended.
type End uint8

// The ends.
const (
	Answered    End = iota // answered
	Failed                 // answered with a failure
	Late                   // stopped by the server at the request's deadline
	Interrupted            // the server stopped while it ran
	Shed                   // refused as not run
	Unreachable            // the server could not be reached
)

// Times of a server that does no work.
const (
	failTime    = time.Millisecond
	unreachTime = 500 * time.Microsecond
	coldFactor  = 4.0
)

// Server is a backend server with a few slots and no queue.
type Server struct {
	ID     int
	Domain int
	Slots  int

	TimeFactor   float64       // of service times, 1 as a rule
	FailFast     bool          // fails each request at once
	FailHalf     bool          // fails every other request at once
	Down         bool          // cannot be reached
	Draining     bool          // refuses new work
	FalseReports bool          // reports that it is idle and quick
	ColdStart    time.Duration // length of the cold start that began at ColdAt
	ColdStartAt  time.Time

	loop    *loop.Loop
	count   int
	running []*execution
	busy    time.Duration // slot time used until accounted
	at      time.Time
}

type execution struct {
	job  *Job
	done func(End)
}

// NewServer returns an idle server.
func NewServer(l *loop.Loop, id, domain, slots int) *Server {
	return &Server{ID: id, Domain: domain, Slots: slots, TimeFactor: 1, loop: l, at: l.Now()}
}

// Run executes a job and calls done when it ended.
func (s *Server) Run(j *Job, done func(End)) {
	switch {
	case s.Down:
		s.loop.After(unreachTime, func() { done(Unreachable) })
		return
	case s.Draining || len(s.running) >= s.Slots:
		done(Shed)
		return
	case s.FailFast || s.FailHalf && s.odd():
		s.loop.After(failTime, func() { done(Failed) })
		return
	}
	s.account()
	e := &execution{job: j, done: done}
	s.running = append(s.running, e)
	*j.Executions++
	took, end := time.Duration(float64(j.ServiceTime)*s.factor()), Answered
	if left := j.Deadline.Sub(s.loop.Now()); !j.NoDeadline && took > left {
		took, end = left, Late
	}
	s.loop.After(took, func() { s.end(e, end) })
}

// odd is true of every other request.
func (s *Server) odd() bool {
	s.count++
	return s.count%2 == 1
}

func (s *Server) end(e *execution, how End) {
	n := slices.Index(s.running, e)
	if n < 0 {
		return // cut before
	}
	s.account()
	s.running = slices.Delete(s.running, n, n+1)
	e.done(how)
}

// Stop ends the server; what runs is cut.
func (s *Server) Stop() (cut int) {
	s.Down = true
	for len(s.running) > 0 {
		s.end(s.running[0], Interrupted)
		cut++
	}
	return cut
}

// Running returns how many jobs run.
func (s *Server) Running() int { return len(s.running) }

// Busy returns the slot time used since the start.
func (s *Server) Busy() time.Duration {
	s.account()
	return s.busy
}

func (s *Server) account() {
	now := s.loop.Now()
	s.busy += time.Duration(len(s.running)) * now.Sub(s.at)
	s.at = now
}

func (s *Server) factor() float64 {
	if age := s.loop.Now().Sub(s.ColdStartAt); s.ColdStart > 0 && age < s.ColdStart {
		return s.TimeFactor * (coldFactor - (coldFactor-1)*float64(age)/float64(s.ColdStart))
	}
	return s.TimeFactor
}
