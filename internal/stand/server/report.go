package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	sampleInterval = 20 * time.Millisecond
	maxSamples     = 4096 // bounds the lag to about 80 s
)

// Load is the response to /load.
type Load struct {
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Queue    int  `json:"queue"`
	Draining bool `json:"draining"`
}

// Health is the response to /health.
type Health struct {
	State  string `json:"state"` // ready, cold or draining
	Counts Counts `json:"counts"`
}

// History is the response to /history.
type History struct {
	Dropped    int          `json:"dropped"`
	Executions []*Execution `json:"executions"`
}

type sample struct {
	at   time.Time
	load Load
}

// reportedLoad returns the load to report: a sample that is as old as the configured lag, or the current load if there is
// no lag. Samples are taken only when a report is requested.
func (s *Server) reportedLoad() Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	load := Load{Busy: len(s.slots), Slots: s.settings.Slots, Queue: s.waiting, Draining: s.draining}
	if s.settings.Lag > 0 {
		if n := len(s.samples); n == 0 || now.Sub(s.samples[n-1].at) >= sampleInterval {
			s.samples = append(s.samples, sample{at: now, load: load})
		}
		if len(s.samples) > maxSamples {
			s.samples = s.samples[len(s.samples)-maxSamples:]
		}
		load = s.samples[0].load
		for _, old := range s.samples {
			if old.at.After(now.Add(-s.settings.Lag)) {
				break
			}
			load = old.load
		}
	}
	if s.settings.ReportIdle {
		load.Busy, load.Queue = 0, 0
	}
	return load
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.reportedLoad())
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	load := s.reportedLoad()
	health := Health{State: "ready"}
	if time.Since(s.started) < s.settings.WarmUp {
		health.State = "cold"
	}
	if load.Draining {
		health.State = "draining"
	}
	s.mutex.Lock()
	health.Counts = s.counts
	s.mutex.Unlock()
	writeJSON(w, health)
}

func (s *Server) serveHistory(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	answer := History{Dropped: s.dropped, Executions: make([]*Execution, 0, len(s.history))}
	for _, e := range s.history {
		snapshot := *e
		answer.Executions = append(answer.Executions, &snapshot)
	}
	s.mutex.Unlock()
	writeJSON(w, answer)
}

func (s *Server) serveDrain(http.ResponseWriter, *http.Request) { s.Drain() }

// serveFault sets the mode from the query: mode=ok|slow|failfast|die|freeze, and factor=NUMBER for slow.
func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	mode := Mode(r.URL.Query().Get("mode"))
	factor := 1.0
	switch mode {
	case OK, FailFast, Die, Freeze:
	case Slow:
		var err error
		if factor, err = strconv.ParseFloat(r.URL.Query().Get("factor"), 64); err != nil {
			http.Error(w, "factor must be a number", http.StatusBadRequest)
			return
		}
	default:
		http.Error(w, "mode must be ok, slow, failfast, die or freeze", http.StatusBadRequest)
		return
	}
	s.SetMode(mode, factor)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // fails only if the client has disconnected
}
