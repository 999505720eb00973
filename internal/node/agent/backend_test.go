package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/work/result"
)

// Guards against running a claim after its caller was told that its outcome is unknown.
// An agent is stopped (SIGSTOP) when a claim has just been given a slot, and resumes
// after the deadline. The timer that should cancel the claim is due, but has not fired
// yet.
func TestClaimIsNotSentAfterItsDeadline(t *testing.T) {
	dials := 0
	b := newBackend(&url.URL{Scheme: "http", Host: "127.0.0.1:80"})
	b.client.DialContext = func(context.Context, string, string) (net.Conn, error) {
		dials++
		return nil, net.ErrClosed
	}
	for range 1000 { // without the check of the clock, about one in 30 runs dials before the timer fires
		x := &Exchange{
			Class:    &docs.Class{Kind: docs.Lookup},
			Deadline: time.Now(),
			Request:  httptest.NewRequest(http.MethodPost, "/lookup/7", http.NoBody),
			Answer:   &Answer{ResponseWriter: httptest.NewRecorder()},
		}
		assert.Equal(t, b.run(t.Context(), x), refuse(result.Expired, 0))
	}
	assert.Equal(t, dials, 0)
}

// Guards against running a claim twice because of a stray header. A server runs a claim,
// and its answer, which it got from a third system, carries the header Not-Run. If the
// agent trusted the header, the claim would be placed elsewhere and open a second case.
// Only a 503 with the header means that the claim did not run.
func TestNotRunIsSaidByRefusalsOnly(t *testing.T) {
	for status, want := range map[int]result.Result{
		http.StatusOK:                 {Outcome: result.Ran},
		http.StatusServiceUnavailable: refuse(result.ServerShed, 0),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerNotRun, "1")
			w.WriteHeader(status)
		}))
		address, err := url.Parse(server.URL)
		assert.NilError(t, err)
		x := &Exchange{
			Class:    &docs.Class{Kind: docs.Lookup},
			Deadline: time.Now().Add(time.Minute),
			Request:  httptest.NewRequest(http.MethodPost, "/lookup/7", http.NoBody),
			Answer:   &Answer{ResponseWriter: httptest.NewRecorder()},
		}
		assert.Equal(t, newBackend(address).run(t.Context(), x), want)
		server.Close()
	}
}
