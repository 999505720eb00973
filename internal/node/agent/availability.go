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

// leavingRetryAfter is when a caller is to retry that was refused by a leaving server:
// other servers take its flows as soon as entries have received the state, within 3 s.
const leavingRetryAfter = time.Second

// cause is a reason why the server takes no new work.
type cause string

// The causes.
const (
	byDocument cause = "document"   // the document has the server as leaving, or no longer has it
	byList     cause = "list"       // the platform's list of instances
	byServer   cause = "server"     // the backend server drains
	byDown     cause = "down"       // the backend server cannot be reached
	bySignal   cause = "signal"     // this process is being stopped
	byPause    cause = "woken late" // this process was paused and its beliefs are stale
)

// availability is whether the server takes new work. The agent is the first to know it and
// acts on it itself; what entries believe only saves callers a hop.
type availability struct {
	log     zerolog.Logger
	changed func(accepting bool) // called in order, with mu held

	mu     sync.Mutex // guards causes
	causes []cause
	closed atomic.Bool // true if there is any cause; read for each datagram
}

// set adds or removes a cause.
func (s *availability) set(c cause, holds bool) {
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

// accepting reports whether the server takes new work.
func (s *availability) accepting() bool { return !s.closed.Load() }

// onlyCause reports whether c is the only cause.
func (s *availability) onlyCause(c cause) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.causes) == 1 && s.causes[0] == c
}

// reason returns the reason to give for a request that is refused.
func (s *availability) reason() result.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.causes) == 1 && s.causes[0] == byPause {
		return result.StaleBelief
	}
	if slices.Contains(s.causes, byDown) {
		return result.ServerUnreachable
	}
	return result.ServerLeaving
}

// describe returns the causes for operators, or "" while the server takes new work.
func (s *availability) describe() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var words []string
	for _, c := range s.causes {
		words = append(words, string(c))
	}
	return strings.Join(words, ", ")
}

// LeaveByList makes the agent refuse new work, because the platform's list of instances
// says that its server leaves. This cannot be undone within the run of a process.
func (a *Agent) LeaveByList() { a.availability.set(byList, true) }
