// Package admin is the operators' HTTP server that every process runs: /metrics
// for counters, /healthz for readiness, /status for the state of the process and
// the reasons for its decisions.
//
// It is not on the request path and shares no resources with it, so that an overloaded
// process can still be inspected. It is read-only: operators control the
// system only by documents.
//
// # Usage
//
//	server := admin.New(settings.Process.Operator, logger)
//	documents := server.Condition("documents")
//	server.Section("documents", func() any { return store.Snapshot() })
//	if err := server.Open(); err != nil {
//		return err
//	}
//	group.Go(func() error { return server.Run(ctx) })
//	documents.Set(true, "")
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
)

// Limits of the server. Operators' tools need few connections and little time;
// other clients that reach the port must not be able to exhaust the process's memory.
const (
	maxConnections = 32
	maxHeader      = 8 << 10 // bytes
	readTimeout    = 5 * time.Second
	writeTimeout   = 15 * time.Second
	idleTimeout    = 30 * time.Second
	stopTimeout    = 2 * time.Second
)

// Report is the response to /status.
type Report struct {
	Ready      bool           `json:"ready"`
	Conditions []State        `json:"conditions"`
	Sections   map[string]any `json:"sections"` // by name, as registered
}

// Server is the operators' HTTP server of one process.
type Server struct {
	address netip.AddrPort
	logger  zerolog.Logger

	mu         sync.Mutex
	listener   net.Listener
	conditions []*Condition
	sections   map[string]func() any
}

// New returns a server that listens on address after Open. Its /status has one
// section from the start: reasons, the counters of refusals, drops and retries by their
// reason.
func New(address netip.AddrPort, logger zerolog.Logger) *Server {
	s := &Server{address: address, logger: logger, sections: map[string]func() any{}}
	s.Section("reasons", func() any { return reasons() })
	return s
}

// Section adds a section to /status. The function get is called for each request, from any
// goroutine; its result is encoded as JSON and must not change afterwards.
// A second section with the same name replaces the first.
func (s *Server) Section(name string, get func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections[name] = get
}

// Open starts to listen. A process does so before anything else: a process that cannot be
// inspected must not start, and a second process with the same settings fails here before
// it accepts any traffic.
func (s *Server) Open() (err error) {
	defer func() { err = errors.Wrap(err, "operators' HTTP") }()

	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = netutil.LimitListener(listener, maxConnections)
	return nil
}

// Run serves on the opened address until the context is done, then gives requests in
// progress two seconds to finish. The error is nil if the context ended the server.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "operators' HTTP") }()

	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	shutdownErr := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		shutdownErr <- server.Shutdown(shutdownCtx)
	})
	err = server.Serve(listener)
	if stop() {
		return err // Serve failed before the context was done
	}
	if <-shutdownErr != nil {
		_ = server.Close() // requests that exceed stopTimeout are cut off; the server is read-only
	}
	return nil
}

// Handler returns the handler of /metrics, /healthz and /status.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /status", s.status)
	return mux
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	states, ready := s.states()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if ready {
		fmt.Fprintln(w, "ready")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintln(w, "not ready")
	for _, c := range states {
		if !c.Met {
			fmt.Fprintf(w, "%s: %s\n", c.Name, c.Reason)
		}
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	text, err := json.MarshalIndent(s.report(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n')) // fails only if the client has disconnected
}

// report calls the sections' functions without holding the lock, since they may be slow or register
// another section.
func (s *Server) report() Report {
	s.mu.Lock()
	sections := make(map[string]func() any, len(s.sections))
	for name, get := range s.sections {
		sections[name] = get
	}
	s.mu.Unlock()

	r := Report{Sections: make(map[string]any, len(sections))}
	r.Conditions, r.Ready = s.states()
	for name, get := range sections {
		r.Sections[name] = get()
	}
	return r
}
