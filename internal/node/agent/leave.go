package agent

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangowinch/internal/work/result"
)

// comeBack is when a caller is to try again that met a server which leaves: other
// servers take its flows as soon as entries know, within 3 s.
const comeBack = time.Second

// cause is who says that the server takes no new work.
type cause string

// The causes.
const (
	byDocument cause = "document"   // the document gives the state leaving, or has no such server any more
	byList     cause = "list"       // the platform's list of instances
	byServer   cause = "server"     // the backend server drains
	byDown     cause = "down"       // the backend server cannot be reached
	bySignal   cause = "signal"     // this process is being stopped
	byWaking   cause = "woken late" // this process was paused and its beliefs are stale
)

// standing is whether the server takes new work. The agent knows it first and acts
// on it itself; what entries believe only spares callers a hop.
type standing struct {
	log     zerolog.Logger
	changed func(accepting bool) // called in order, under mu

	mu     sync.Mutex // guards causes
	causes []cause
	closed atomic.Bool // whether there is any cause; read for each datagram
}

// set notes or withdraws a cause.
func (s *standing) set(c cause, holds bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.causes, c) == holds {
		return
	}
	if holds {
		s.causes = append(s.causes, c)
	} else {
		s.causes = slices.DeleteFunc(s.causes, func(o cause) bool { return o == c })
	}
	closed := len(s.causes) > 0
	s.log.Info().Str("cause", string(c)).Bool("holds", holds).Bool("accepting", !closed).Msg("standing")
	if s.closed.Swap(closed) != closed {
		s.changed(!closed)
	}
}

// accepting says whether the server takes new work.
func (s *standing) accepting() bool { return !s.closed.Load() }

// reason is what a request is told that is not taken.
func (s *standing) reason() result.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.causes) == 1 && s.causes[0] == byWaking {
		return result.StaleView
	}
	if slices.Contains(s.causes, byDown) {
		return result.ServerDown
	}
	return result.LeavingServer
}

// why lists the causes for operators; empty while the server takes new work.
func (s *standing) why() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var words []string
	for _, c := range s.causes {
		words = append(words, string(c))
	}
	return strings.Join(words, ", ")
}

// LeaveByList makes the agent take nothing new: the platform's list says that its
// server leaves. Nobody takes that back within the life of a process.
func (a *Agent) LeaveByList() { a.standing.set(byList, true) }
