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

// Headers towards callers.
const (
	headerOutcome = "Outcome"
	headerReason  = "Reason"
	headerAfter   = "Retry-After"
)

// maxStreams bounds the requests one connection may have in progress.
const maxStreams = 100

// Answer writes to a caller and remembers whether an answer has begun. It belongs
// to one request, whose writers take turns.
type Answer struct {
	http.ResponseWriter
	began  atomic.Bool
	failed atomic.Bool // the server's status says that it failed
}

// WriteHeader begins the answer.
func (w *Answer) WriteHeader(status int) {
	w.began.Store(true)
	w.failed.Store(status >= http.StatusInternalServerError)
	w.ResponseWriter.WriteHeader(status)
}

// Failed says whether the answer has begun and is an error of the server's.
func (w *Answer) Failed() bool { return w.failed.Load() }

// Write writes a part of the body.
func (w *Answer) Write(p []byte) (int, error) {
	w.began.Store(true)
	return w.ResponseWriter.Write(p)
}

// Began says whether any of the answer may have left.
func (w *Answer) Began() bool { return w.began.Load() }

// Flush sends what was written so far.
func (w *Answer) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// serveHTTP takes a caller's request through the filters and answers it.
func (a *Agent) serveHTTP(w http.ResponseWriter, r *http.Request) {
	a.requests.Add(1)
	defer a.requests.Add(-1)
	if r.URL.Path == keyPath {
		a.serveKey(w)
		return
	}
	a.giveKey(w.Header())
	v := a.now.Load()
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
	res := settle(x, a.handler(r.Context(), x))
	a.count.end(res)
	if x.Answer.Began() {
		a.endBegun(r.Context(), res)
		return
	}
	writeResult(x.Answer, res)
}

// endBegun breaks off an answer that began and did not come whole, so that the
// caller never takes a part for the whole.
func (a *Agent) endBegun(ctx context.Context, res result.Result) {
	if res.Outcome == result.Ran && res.Reason == result.NoReason {
		return
	}
	if ctx.Err() == nil {
		a.count.broken.Inc()
	}
	panic(http.ErrAbortHandler)
}

// source is the caller's address, which QUIC has validated; not valid if the
// library gives none.
func source(remote string) netip.Addr {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// writeResult gives the final answer to a request without an answer of its server.
func writeResult(w *Answer, res result.Result) {
	w.Header().Set(headerOutcome, res.Outcome.String())
	if res.Reason != result.NoReason {
		w.Header().Set(headerReason, string(res.Reason))
	}
	if res.After > 0 {
		w.Header().Set(headerAfter, strconv.Itoa(seconds(res.After)))
	}
	w.WriteHeader(status(res))
}

// seconds rounds up: Retry-After has no fractions.
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
