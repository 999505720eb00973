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

// Story: an agent is stopped while a claim has just been given a slot. It wakes after the
// deadline; the timer that should end the claim is due, but has not fired yet. The claim's
// caller has been told long ago that nobody knows; it must not run now.
func TestClaimIsNotSentAfterItsDeadline(t *testing.T) {
	dials := 0
	b := newBackend(&url.URL{Scheme: "http", Host: "127.0.0.1:80"})
	b.client.DialContext = func(context.Context, string, string) (net.Conn, error) {
		dials++
		return nil, net.ErrClosed
	}
	for range 1000 { // without the look at the clock the timer loses once in some 30 tries
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

// Story: a server runs a claim, and its answer, which it got from a third system, happens
// to carry the header Not-Run. Taken for the server's own word, the claim would be placed
// elsewhere and open a second case. Only a 503 with the header says that it did not run.
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
