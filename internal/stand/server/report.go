package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	sampleEvery = 20 * time.Millisecond
	samplesKept = 4096 // which bounds the lag to about 80 s
)

// Load is the answer to /load.
type Load struct {
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Queue    int  `json:"queue"`
	Draining bool `json:"draining"`
}

// Health is the answer to /health.
type Health struct {
	State  string `json:"state"` // ready, cold or draining
	Counts Counts `json:"counts"`
}

// History is the answer to /history.
type History struct {
	Dropped    int          `json:"dropped"`
	Executions []*Execution `json:"executions"`
}

type sample struct {
	at   time.Time
	load Load
}

// reported returns the load as of the lag ago. Samples are taken as reports are asked for.
func (s *Server) reported() Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	load := Load{Busy: len(s.slots), Slots: s.settings.Slots, Queue: s.waiting, Draining: s.draining}
	if s.settings.Lag > 0 {
		if n := len(s.samples); n == 0 || now.Sub(s.samples[n-1].at) >= sampleEvery {
			s.samples = append(s.samples, sample{at: now, load: load})
		}
		if len(s.samples) > samplesKept {
			s.samples = s.samples[len(s.samples)-samplesKept:]
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
	writeJSON(w, s.reported())
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	load := s.reported()
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

// serveFault takes mode=ok|slow|failfast|die|freeze and factor=NUMBER for slow.
func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	mode := Mode(r.URL.Query().Get("mode"))
	factor := 1.0
	switch mode {
	case OK, FailFast, Die, Freeze:
	case Slow:
		var err error
		if factor, err = strconv.ParseFloat(r.URL.Query().Get("factor"), 64); err != nil {
			http.Error(w, "factor: a number", http.StatusBadRequest)
			return
		}
	default:
		http.Error(w, "mode: ok, slow, failfast, die or freeze", http.StatusBadRequest)
		return
	}
	s.SetMode(mode, factor)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a reader that went away is no fault of ours
}
