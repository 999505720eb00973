// Package admin is the operators' HTTP server that every process runs: /metrics
// for counters, /healthz for readiness, /status for what the process knows and
// why it decided as it did.
//
// It is no part of the path of requests and shares nothing with it, so that a
// process that drowns in traffic can still be asked why. It cannot change anything:
// operators drive the fleet by documents only.
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

// Limits of the server. An operator's tools need few connections and little time;
// whatever else finds the port must not be able to hold the process's memory.
const (
	maxConnections = 32
	maxHeader      = 8 << 10 // bytes
	readTimeout    = 5 * time.Second
	writeTimeout   = 15 * time.Second
	idleTimeout    = 30 * time.Second
	stopTimeout    = 2 * time.Second
)

// Report is the answer to /status.
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

// New returns a server that listens on address once it is opened. Its /status has one
// section from the start: reasons, the counters that say why something was refused,
// dropped or tried again.
func New(address netip.AddrPort, logger zerolog.Logger) *Server {
	s := &Server{address: address, logger: logger, sections: map[string]func() any{}}
	s.Section("reasons", func() any { return reasons() })
	return s
}

// Section adds a part to /status. Get is called for each request, from any
// goroutine; what it returns is written as JSON and must not change afterwards.
// A second section of a name takes the place of the first.
func (s *Server) Section(name string, get func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections[name] = get
}

// Open opens the address. A process does so before anything else: one that nobody
// can ask must not begin, and a second one of the same settings fails here before
// it takes any traffic.
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

// Run serves at the opened address until the context is done, then lets requests in
// progress finish for two seconds. The error is nil after a stop by the context.
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
	stopped := make(chan error, 1)
	release := context.AfterFunc(ctx, func() {
		late, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopped <- server.Shutdown(late)
	})
	err = server.Serve(listener)
	if release() {
		return err // Serve ended by itself
	}
	if <-stopped != nil {
		_ = server.Close() // a request that outlives the grace is cut; it changes nothing
	}
	return nil
}

// Handler returns the three pages.
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
	_, _ = w.Write(append(text, '\n')) // the reader is gone if this fails
}

// report calls the sections without the lock, since one may take long or register
// another.
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
