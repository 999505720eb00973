// Package server is a stand-in for a backend server: HTTP/1.1, a few slots, a short
// queue, shedding, drain, cold start, cancellation, deadlines, and reports of
// health and load that can lag or be wrong.
//
// It records each execution, so that a test can compare what ran with the responses
// that callers received. It does no real work: a lookup waits for its service time and
// echoes its path and body.
//
// /feed/... streams numbered lines (query parameters n and every). /upload/... reads the
// body and responds with its byte count and SHA-256. Any other path is a lookup (query
// parameter time: its service time). Lookups and uploads take a slot, feeds do not.
//
// # Usage
//
//	s := server.New(server.Settings{Slots: 4, ServiceTime: 5 * time.Millisecond})
//	http.ListenAndServe("127.0.20.1:8080", s.Handler())
package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Settings configures a Server.
type Settings struct {
	Slots       int           // maximum number of lookups and uploads that run at a time
	Queue       int           // maximum number of lookups and uploads that wait for a slot
	ServiceTime time.Duration // service time of uploads, and of lookups without a service time in the query
	WarmUp      time.Duration // time after the start during which service times are longer
	Lag         time.Duration // age of the health and load that are reported
	ReportIdle  bool          // report that no request runs or waits, whatever the load is
	Journal     io.Writer     // receives a line of JSON at the start and the end of each execution; may be nil
	Log         zerolog.Logger
}

const (
	coldFactor = 4.0     // factor of the service time at a cold start; falls to 1 during the warm-up
	maxHistory = 200_000 // executions; checks need the whole history, so none may be dropped
)

// Execution is one request that the server ran.
type Execution struct {
	ID   string    `json:"id"`
	Path string    `json:"path"`
	Body string    `json:"body"` // the first KiB of a lookup's body
	At   time.Time `json:"at"`
	End  string    `json:"end"` // done, failed, cancelled, deadline or broken; empty while the request runs
}

// Mode is the way in which the server fails.
type Mode string

// The modes.
const (
	OK       Mode = "ok"
	Slow     Mode = "slow"     // service times are multiplied
	FailFast Mode = "failfast" // responds with status 500 at once
	Die      Mode = "die"      // runs the request, then closes the connection without a response
	Freeze   Mode = "freeze"   // neither starts nor responds to requests until the mode changes
)

// Server is a simulated backend server.
type Server struct {
	settings Settings
	started  time.Time
	slots    chan struct{}

	mutex       sync.Mutex
	waiting     int
	draining    bool
	mode        Mode
	slowFactor  float64
	modeChanged chan struct{} // closed and replaced when the mode is set
	history     []*Execution
	dropped     int
	samples     []sample
	counts      Counts
}

// Counts holds the numbers of requests by outcome.
type Counts struct {
	Ran       int `json:"ran"`
	Shed      int `json:"shed"`
	Cancelled int `json:"cancelled"`
	Deadline  int `json:"deadline"`
	Feeds     int `json:"feeds"` // currently open
}

// New returns a server whose warm-up starts now.
func New(s Settings) *Server {
	return &Server{
		settings:    s,
		started:     time.Now(),
		slots:       make(chan struct{}, max(1, s.Slots)),
		mode:        OK,
		slowFactor:  1,
		modeChanged: make(chan struct{}),
	}
}

// Handler returns the handler for requests, reports and faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /history", s.serveHistory)
	mux.HandleFunc("POST /drain", s.serveDrain)
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("/feed/", s.serveFeed)
	mux.HandleFunc("/upload/", s.serveUpload)
	mux.HandleFunc("/", s.serveLookup)
	return mux
}

// Drain makes the server refuse new requests. Requests that already run or wait continue.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	s.settings.Log.Info().Msg("draining")
}

// SetMode sets the failure mode. The factor applies to Slow only.
func (s *Server) SetMode(mode Mode, factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mode, s.slowFactor = mode, max(1, factor)
	close(s.modeChanged)
	s.modeChanged = make(chan struct{})
	s.settings.Log.Info().Str("mode", string(mode)).Msg("fault set")
}

// refusal is the reason why a request did not run; empty if it was not refused.
type refusal string

// acquireSlot waits for a slot. If it returns a refusal, the request must not run.
func (s *Server) acquireSlot(ctx context.Context) (release func(), refused refusal) {
	if refused := s.awaitThaw(ctx); refused != "" {
		return nil, refused
	}
	s.mutex.Lock()
	if s.draining {
		s.mutex.Unlock()
		return nil, "draining"
	}
	select {
	case s.slots <- struct{}{}:
		s.mutex.Unlock()
		return s.releaseSlot, ""
	default:
	}
	if s.waiting >= s.settings.Queue {
		s.mutex.Unlock()
		return nil, "full"
	}
	s.waiting++
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.waiting--
		s.mutex.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return s.releaseSlot, ""
	case <-ctx.Done():
		return nil, "deadline"
	}
}

func (s *Server) releaseSlot() { <-s.slots }

// awaitThaw waits while the mode is Freeze. It returns a refusal if the context ends first.
func (s *Server) awaitThaw(ctx context.Context) refusal {
	for {
		s.mutex.Lock()
		mode, changed := s.mode, s.modeChanged
		s.mutex.Unlock()
		if mode != Freeze {
			return ""
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "deadline"
		}
	}
}

// beginExecution records the start of an execution.
func (s *Server) beginExecution(r *http.Request, body string) *Execution {
	e := &Execution{ID: r.Header.Get("Request-Id"), Path: r.URL.RequestURI(), Body: body, At: time.Now()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Ran++
	s.journal(e)
	if len(s.history) >= maxHistory {
		s.dropped++
		return e
	}
	s.history = append(s.history, e)
	return e
}

// journal writes an execution to the journal, so that it is not lost if the process is killed.
// The mutex is held.
func (s *Server) journal(e *Execution) {
	if s.settings.Journal == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = s.settings.Journal.Write(append(line, '\n'))
	}
	if err != nil {
		s.settings.Log.Error().Err(err).Msg("cannot write to the journal")
	}
}

func (s *Server) endExecution(e *Execution, outcome string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e.End = outcome
	s.journal(e)
	switch outcome {
	case "cancelled":
		s.counts.Cancelled++
	case "deadline":
		s.counts.Deadline++
	}
}

// serviceTime returns the current duration of work that takes d on a warm, healthy server.
func (s *Server) serviceTime(d time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	factor := 1.0
	if age := time.Since(s.started); age < s.settings.WarmUp {
		factor = coldFactor - (coldFactor-1)*float64(age)/float64(s.settings.WarmUp)
	}
	if s.mode == Slow {
		factor *= s.slowFactor
	}
	return time.Duration(float64(d) * factor)
}
