package fakes

import (
	"slices"
	"time"

	"mangowinch/internal/exper/loop"
)

// End is the way in which a try of a request ended.
type End uint8

// Values of End.
const (
	Answered    End = iota // answered with a result
	Failed                 // answered with an error
	Late                   // stopped by the server or the caller at the deadline
	Interrupted            // the server stopped during the execution
	Shed                   // refused without execution
	Unreachable            // no connection to the server
)

// Times until a server that does not execute requests answers, and the factor of service times at the
// beginning of a cold start.
const (
	failureTime     = time.Millisecond
	unreachableTime = 500 * time.Microsecond
	coldFactor      = 4.0
)

// Server is a backend server with a few slots and no queue.
type Server struct {
	ID     int
	Domain int
	Slots  int

	TimeFactor   float64       // multiplies service times; 1 in normal operation
	FailFast     bool          // fails each request immediately
	FailHalf     bool          // fails every other request immediately
	Down         bool          // cannot be reached
	Draining     bool          // refuses new work
	FalseReports bool          // reports that it is idle and fast
	ColdStart    time.Duration // length of the cold start that begins at ColdStartAt
	ColdStartAt  time.Time

	loop          *loop.Loop
	halfFailCount int
	running       []*execution
	busy          time.Duration // slot time used until accountedAt
	accountedAt   time.Time
}

type execution struct {
	job  *Job
	done func(End)
}

// NewServer returns an idle server.
func NewServer(l *loop.Loop, id, domain, slots int) *Server {
	return &Server{ID: id, Domain: domain, Slots: slots, TimeFactor: 1, loop: l, accountedAt: l.Now()}
}

// Run executes a job and calls done when it ends, before Run returns if the server refuses it.
func (s *Server) Run(j *Job, done func(End)) {
	switch {
	case s.Down:
		s.loop.After(unreachableTime, func() { done(Unreachable) })
		return
	case s.Draining || len(s.running) >= s.Slots:
		done(Shed)
		return
	case s.FailFast || s.FailHalf && s.failsNext():
		s.loop.After(failureTime, func() { done(Failed) })
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
	s.loop.After(took, func() { s.finish(e, end) })
}

// failsNext reports whether a server with FailHalf set fails the next request, which is every other one.
func (s *Server) failsNext() bool {
	s.halfFailCount++
	return s.halfFailCount%2 == 1
}

// finish ends an execution, unless Stop has interrupted it.
func (s *Server) finish(e *execution, how End) {
	n := slices.Index(s.running, e)
	if n < 0 {
		return // interrupted by Stop
	}
	s.account()
	s.running = slices.Delete(s.running, n, n+1)
	e.done(how)
}

// Stop makes the server unreachable, interrupts the running jobs and returns their number.
func (s *Server) Stop() (interrupted int) {
	s.Down = true
	for len(s.running) > 0 {
		s.finish(s.running[0], Interrupted)
		interrupted++
	}
	return interrupted
}

// Running returns the number of running jobs.
func (s *Server) Running() int { return len(s.running) }

// Busy returns the slot time used since the server was created.
func (s *Server) Busy() time.Duration {
	s.account()
	return s.busy
}

// account adds the slot time used since the last call.
func (s *Server) account() {
	now := s.loop.Now()
	s.busy += time.Duration(len(s.running)) * now.Sub(s.accountedAt)
	s.accountedAt = now
}

// factor returns the current factor of service times. During a cold start it falls linearly.
func (s *Server) factor() float64 {
	if age := s.loop.Now().Sub(s.ColdStartAt); s.ColdStart > 0 && age < s.ColdStart {
		return s.TimeFactor * (coldFactor - (coldFactor-1)*float64(age)/float64(s.ColdStart))
	}
	return s.TimeFactor
}
