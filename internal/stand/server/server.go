// Package server stands in for a backend server: HTTP/1.1, a few slots, a short
// queue, shedding, drain, cold start, cancellation, deadlines, and reports of
// health and load that lag or mislead.
//
// It logs each execution, so that a test can compare what ran with what callers
// were told. It does no real work: a lookup waits for its service time and says
// back what it was asked.
//
// Paths: /feed/... streams numbered lines (query n, every), /upload/... reads the
// body and answers its byte count and SHA-256, any other path is a lookup (query
// time: its service time). Lookups and uploads take a slot, feeds do not.
//
// # Usage
//
//	s := server.New(server.Settings{Slots: 4, Service: 5 * time.Millisecond})
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

// Settings are the server's own.
type Settings struct {
	Slots       int           // lookups and uploads that run at a time
	Queue       int           // lookups and uploads that wait for a slot
	ServiceTime time.Duration // service time of a lookup that names none
	WarmUp      time.Duration // time after the start in which work is slow
	Lag         time.Duration // health and load are reported as they were this long ago
	ReportIdle  bool          // load is reported as none
	Journal     io.Writer     // gets a line of JSON at the start and the end of each execution, if not nil
	Log         zerolog.Logger
}

const (
	coldFactor  = 4.0     // service time right after a cold start, times the usual one
	historyKept = 200_000 // executions; a checker must see none dropped
)

// Execution is one request that ran.
type Execution struct {
	ID   string    `json:"id"`
	Path string    `json:"path"`
	Body string    `json:"body"` // of a lookup, its first KiB
	At   time.Time `json:"at"`
	End  string    `json:"end"` // done, cancelled, deadline, broken; empty while it runs
}

// Mode is how the server fails.
type Mode string

// The modes.
const (
	OK       Mode = "ok"
	Slow     Mode = "slow"     // service times are multiplied
	FailFast Mode = "failfast" // answers 500 at once
	Die      Mode = "die"      // runs the request, then breaks the connection off
	Freeze   Mode = "freeze"   // neither runs nor answers until the mode changes
)

// Server is one backend server.
type Server struct {
	settings Settings
	started  time.Time
	slots    chan struct{}

	mutex    sync.Mutex
	waiting  int
	draining bool
	mode     Mode
	factor   float64
	thawed   chan struct{} // closed when the mode changes
	history  []*Execution
	dropped  int
	samples  []sample
	counts   Counts
}

// Counts counts requests by end.
type Counts struct {
	Ran       int `json:"ran"`
	Shed      int `json:"shed"`
	Cancelled int `json:"cancelled"`
	Deadline  int `json:"deadline"`
	Feeds     int `json:"feeds"` // open now
}

// New returns a server that starts cold now.
func New(s Settings) *Server {
	return &Server{
		settings: s,
		started:  time.Now(),
		slots:    make(chan struct{}, max(1, s.Slots)),
		mode:     OK,
		factor:   1,
		thawed:   make(chan struct{}),
	}
}

// Handler returns the server's whole HTTP side.
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

// Drain refuses new work from now on; what runs, runs on.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	s.settings.Log.Info().Msg("draining")
}

// SetMode sets how the server fails. The factor counts for Slow only.
func (s *Server) SetMode(mode Mode, factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mode, s.factor = mode, max(1, factor)
	close(s.thawed)
	s.thawed = make(chan struct{})
	s.settings.Log.Info().Str("mode", string(mode)).Msg("fault set")
}

// refusal says why a request did not run.
type refusal string

// take waits for a slot. The request did not run if it returns a refusal.
func (s *Server) take(ctx context.Context) (release func(), why refusal) {
	if why := s.thaw(ctx); why != "" {
		return nil, why
	}
	s.mutex.Lock()
	if s.draining {
		s.mutex.Unlock()
		return nil, "draining"
	}
	select {
	case s.slots <- struct{}{}:
		s.mutex.Unlock()
		return s.release, ""
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
		return s.release, ""
	case <-ctx.Done():
		return nil, "deadline"
	}
}

func (s *Server) release() { <-s.slots }

// thaw waits while the server is frozen.
func (s *Server) thaw(ctx context.Context) refusal {
	for {
		s.mutex.Lock()
		mode, thawed := s.mode, s.thawed
		s.mutex.Unlock()
		if mode != Freeze {
			return ""
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return "deadline"
		}
	}
}

// begin logs an execution.
func (s *Server) begin(r *http.Request, body string) *Execution {
	e := &Execution{ID: r.Header.Get("Request-Id"), Path: r.URL.RequestURI(), Body: body, At: time.Now()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Ran++
	s.journal(e)
	if len(s.history) >= historyKept {
		s.dropped++
		return e
	}
	s.history = append(s.history, e)
	return e
}

// journal writes an execution down, where a kill of the process does not lose it.
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
		s.settings.Log.Error().Err(err).Msg("journal not written")
	}
}

func (s *Server) end(e *Execution, how string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e.End = how
	s.journal(e)
	switch how {
	case "cancelled":
		s.counts.Cancelled++
	case "deadline":
		s.counts.Deadline++
	}
}

// serviceTime returns how long work that usually takes d takes now.
func (s *Server) serviceTime(d time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	factor := 1.0
	if age := time.Since(s.started); age < s.settings.WarmUp {
		factor = coldFactor - (coldFactor-1)*float64(age)/float64(s.settings.WarmUp)
	}
	if s.mode == Slow {
		factor *= s.factor
	}
	return time.Duration(float64(d) * factor)
}
