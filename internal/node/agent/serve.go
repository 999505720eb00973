package agent

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"mangowinch/internal/work/result"
)

// Headers of answers to callers.
const (
	headerOutcome = "Outcome"
	headerReason  = "Reason"
	headerAfter   = "Retry-After"
)

// maxStreams bounds the requests in progress on one connection.
const maxStreams = 100

// Answer writes to a caller and remembers whether the answer has begun. It belongs to one
// request and must not be written concurrently.
type Answer struct {
	http.ResponseWriter
	began  atomic.Bool
	failed atomic.Bool // the status is a server error
}

// WriteHeader begins the answer.
func (w *Answer) WriteHeader(status int) {
	w.began.Store(true)
	w.failed.Store(status >= http.StatusInternalServerError)
	w.ResponseWriter.WriteHeader(status)
}

// Failed reports whether the answer has begun with the status of a server error.
func (w *Answer) Failed() bool { return w.failed.Load() }

// Write writes a part of the body.
func (w *Answer) Write(p []byte) (int, error) {
	w.began.Store(true)
	return w.ResponseWriter.Write(p)
}

// Began reports whether any part of the answer may have been sent.
func (w *Answer) Began() bool { return w.began.Load() }

// Flush sends the data written so far.
func (w *Answer) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// serveHTTP passes a caller's request through the filters and answers it.
func (a *Agent) serveHTTP(w http.ResponseWriter, r *http.Request) {
	a.requests.Add(1)
	defer a.requests.Add(-1)
	if r.URL.Path == keyPath {
		a.serveKey(w)
		return
	}
	a.issueKey(w.Header())
	v := a.current.Load()
	x := &Exchange{
		ID:      fmt.Sprintf("%d-%x-%x", v.own.ID, a.incarnation, a.nonce.Add(1)),
		Service: v.document,
		Request: r,
		Answer:  &Answer{ResponseWriter: w},
		Source:  source(r.RemoteAddr),
		OwnFlow: true,
		Key:     r.Header.Get(headerKey),
	}
	r.Header.Set(headerID, x.ID)
	x.Caller = callerOf(x)
	res := finalResult(x, a.handler(r.Context(), x))
	a.count.countResult(res)
	if x.Answer.Began() {
		a.abortPartial(r.Context(), res)
		return
	}
	writeResult(x.Answer, res)
}

// abortPartial aborts an answer that has begun but is incomplete, so that the caller
// never takes a part for the whole.
func (a *Agent) abortPartial(ctx context.Context, res result.Result) {
	if res.Outcome == result.Ran && res.Reason == result.NoReason {
		return
	}
	if ctx.Err() == nil {
		a.count.broken.Inc()
	}
	panic(http.ErrAbortHandler)
}

// source returns the caller's address, which QUIC has validated, or an invalid one if the
// library gives none.
func source(remote string) netip.Addr {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// writeResult writes the final answer to a request that the server has not answered.
func writeResult(w *Answer, res result.Result) {
	w.Header().Set(headerOutcome, res.Outcome.String())
	if res.Reason != result.NoReason {
		w.Header().Set(headerReason, string(res.Reason))
	}
	if res.RetryAfter > 0 {
		w.Header().Set(headerAfter, strconv.Itoa(seconds(res.RetryAfter)))
	}
	w.WriteHeader(status(res))
}

// seconds converts to seconds, rounded up because Retry-After has no fractions.
func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func status(res result.Result) int {
	switch {
	case res.Outcome == result.NotRun && res.Reason == result.NoClass:
		return http.StatusNotFound
	case res.Outcome == result.NotRun:
		return http.StatusServiceUnavailable
	case res.Reason == result.Expired:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
