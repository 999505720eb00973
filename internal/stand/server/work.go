package server

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	maxHistoryBody = 1 << 10 // bytes of a lookup's body that the history records
	maxBody        = 1 << 20 // bytes of a lookup's body
)

// withDeadline returns the request's context, limited by its Deadline-Ms header if there is one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		s.refuse(w, "body")
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	release, refused := s.acquireSlot(ctx)
	if refused != "" {
		s.refuse(w, refused)
		return
	}
	defer release()
	serviceTime := s.settings.ServiceTime
	if requested, err := time.ParseDuration(r.URL.Query().Get("time")); err == nil {
		serviceTime = requested
	}
	e := s.beginExecution(r, string(body[:min(len(body), maxHistoryBody)]))
	if !s.simulateWork(ctx, w, r, e, serviceTime) {
		return
	}
	fmt.Fprintf(w, "%s %s\n", e.Path, body)
}

// simulateWork waits for the service time and ends the execution, both according to the failure mode. It reports whether
// the caller is to write the response.
func (s *Server) simulateWork(ctx context.Context, w http.ResponseWriter, r *http.Request, e *Execution, d time.Duration) bool {
	s.mutex.Lock()
	mode := s.mode
	s.mutex.Unlock()
	if mode == FailFast {
		s.endExecution(e, "failed")
		http.Error(w, e.Path+" failed", http.StatusInternalServerError)
		return false
	}
	select {
	case <-time.After(s.serviceTime(d)):
	case <-ctx.Done():
		s.endStopped(w, r, e)
		return false
	}
	if s.awaitThaw(ctx) != "" {
		s.endStopped(w, r, e)
		return false
	}
	if mode == Die {
		s.endExecution(e, "broken")
		panic(http.ErrAbortHandler) // the request ran, but gets no response
	}
	s.endExecution(e, "done")
	return true
}

// endStopped ends a request that was cancelled or whose deadline passed.
func (s *Server) endStopped(w http.ResponseWriter, r *http.Request, e *Execution) {
	if r.Context().Err() != nil {
		s.endExecution(e, "cancelled")
		return
	}
	s.endExecution(e, "deadline")
	http.Error(w, e.Path+" deadline", http.StatusGatewayTimeout)
}

func (s *Server) serveUpload(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	release, refused := s.acquireSlot(ctx)
	if refused != "" {
		s.refuse(w, refused)
		return
	}
	defer release()
	e := s.beginExecution(r, "")
	hash := sha256.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil {
		s.endExecution(e, "cancelled")
		return
	}
	if !s.simulateWork(ctx, w, r, e, s.settings.ServiceTime) {
		return
	}
	fmt.Fprintf(w, "%s %d %x\n", e.Path, n, hash.Sum(nil))
}

// serveFeed streams n lines (0: until the caller disconnects), one per interval.
func (s *Server) serveFeed(w http.ResponseWriter, r *http.Request) {
	lines, _ := strconv.Atoi(r.URL.Query().Get("n")) // 0 if missing
	interval, err := time.ParseDuration(r.URL.Query().Get("every"))
	if err != nil {
		interval = time.Second
	}
	s.mutex.Lock()
	draining := s.draining
	if !draining {
		s.counts.Feeds++
	}
	s.mutex.Unlock()
	if draining {
		s.refuse(w, "draining")
		return
	}
	defer func() {
		s.mutex.Lock()
		s.counts.Feeds--
		s.mutex.Unlock()
	}()
	e := s.beginExecution(r, "")
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(max(interval, time.Microsecond))
	defer ticker.Stop()
	for i := 1; lines == 0 || i <= lines; i++ {
		fmt.Fprintf(w, "%d %s\n", i, e.Path)
		if controller.Flush() != nil || s.awaitThaw(r.Context()) != "" {
			s.endExecution(e, "cancelled")
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			s.endExecution(e, "cancelled")
			return
		}
	}
	s.endExecution(e, "done")
}

// refuse responds that a request did not run.
func (s *Server) refuse(w http.ResponseWriter, reason refusal) {
	s.mutex.Lock()
	s.counts.Shed++
	s.mutex.Unlock()
	w.Header().Set("Not-Run", "1")
	http.Error(w, string(reason), http.StatusServiceUnavailable)
}
