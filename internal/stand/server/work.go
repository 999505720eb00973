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
	bodyKept    = 1 << 10 // of a lookup's body, in the history
	largestBody = 1 << 20 // of a lookup
)

// withDeadline returns the request's context with its Deadline-Ms.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, largestBody))
	if err != nil {
		s.refuse(w, "body")
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	release, why := s.take(ctx)
	if why != "" {
		s.refuse(w, why)
		return
	}
	defer release()
	service := s.settings.ServiceTime
	if asked, err := time.ParseDuration(r.URL.Query().Get("time")); err == nil {
		service = asked
	}
	e := s.begin(r, string(body[:min(len(body), bodyKept)]))
	if !s.work(ctx, w, r, e, service) {
		return
	}
	fmt.Fprintf(w, "%s %s\n", e.Path, body)
}

// work spends a service time. It reports whether an answer is to be written.
func (s *Server) work(ctx context.Context, w http.ResponseWriter, r *http.Request, e *Execution, d time.Duration) bool {
	s.mutex.Lock()
	mode := s.mode
	s.mutex.Unlock()
	if mode == FailFast {
		s.end(e, "failed")
		http.Error(w, e.Path+" failed", http.StatusInternalServerError)
		return false
	}
	select {
	case <-time.After(s.serviceTime(d)):
	case <-ctx.Done():
		s.stopped(w, r, e)
		return false
	}
	if s.thaw(ctx) != "" {
		s.stopped(w, r, e)
		return false
	}
	if mode == Die {
		s.end(e, "broken")
		panic(http.ErrAbortHandler) // ran, and nobody hears of it
	}
	s.end(e, "done")
	return true
}

// stopped ends a request whose caller went away or whose deadline passed.
func (s *Server) stopped(w http.ResponseWriter, r *http.Request, e *Execution) {
	if r.Context().Err() != nil {
		s.end(e, "cancelled")
		return
	}
	s.end(e, "deadline")
	http.Error(w, e.Path+" deadline", http.StatusGatewayTimeout)
}

func (s *Server) serveUpload(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	release, why := s.take(ctx)
	if why != "" {
		s.refuse(w, why)
		return
	}
	defer release()
	e := s.begin(r, "")
	hash := sha256.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil {
		s.end(e, "cancelled")
		return
	}
	if !s.work(ctx, w, r, e, s.settings.ServiceTime) {
		return
	}
	fmt.Fprintf(w, "%s %d %x\n", e.Path, n, hash.Sum(nil))
}

// serveFeed streams n lines (0: until the caller goes), one each interval.
func (s *Server) serveFeed(w http.ResponseWriter, r *http.Request) {
	lines, _ := strconv.Atoi(r.URL.Query().Get("n")) // 0 if missing
	every, err := time.ParseDuration(r.URL.Query().Get("every"))
	if err != nil {
		every = time.Second
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
	e := s.begin(r, "")
	control := http.NewResponseController(w)
	ticker := time.NewTicker(max(every, time.Microsecond))
	defer ticker.Stop()
	for i := 1; lines == 0 || i <= lines; i++ {
		fmt.Fprintf(w, "%d %s\n", i, e.Path)
		if control.Flush() != nil || s.thaw(r.Context()) != "" {
			s.end(e, "cancelled")
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			s.end(e, "cancelled")
			return
		}
	}
	s.end(e, "done")
}

// refuse answers that a request did not run.
func (s *Server) refuse(w http.ResponseWriter, why refusal) {
	s.mutex.Lock()
	s.counts.Shed++
	s.mutex.Unlock()
	w.Header().Set("Not-Run", "1")
	http.Error(w, string(why), http.StatusServiceUnavailable)
}
