package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// call runs one request and returns its recorded answer.
func call(ctx context.Context, s *Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // a broken connection is a panic to the handler
		s.Handler().ServeHTTP(w, r)
	}()
	return w
}

func TestShedsWhatNeitherRunsNorWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{Slots: 1, Queue: 1, ServiceTime: time.Second})
		ctx := t.Context()
		answers := make(chan *httptest.ResponseRecorder, 3)
		for range 3 {
			go func() { answers <- call(ctx, s, "POST", "/lookup/1", "x", "Request-Id", "a") }()
		}
		counts := map[int]int{}
		for range 3 {
			w := <-answers
			counts[w.Code]++
			assert.Equal(t, w.Header().Get("Not-Run") == "1", w.Code == http.StatusServiceUnavailable)
		}
		assert.DeepEqual(t, counts, map[int]int{200: 2, 503: 1})
		assert.Equal(t, len(s.history), 2)
	})
}

func TestColdStartIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{Slots: 1, ServiceTime: time.Second, WarmUp: 10 * time.Second})
		begun := time.Now()
		call(t.Context(), s, "GET", "/lookup/1", "")
		assert.Equal(t, time.Since(begun), 4*time.Second)
		time.Sleep(10 * time.Second)
		begun = time.Now()
		call(t.Context(), s, "GET", "/lookup/1", "")
		assert.Equal(t, time.Since(begun), time.Second)
	})
}

func TestStopsForDeadlineAndCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{Slots: 1, ServiceTime: time.Hour})
		w := call(t.Context(), s, "GET", "/lookup/1", "", "Deadline-Ms", "100")
		assert.Equal(t, w.Code, http.StatusGatewayTimeout)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		call(ctx, s, "GET", "/lookup/2", "")
		assert.Equal(t, len(s.slots), 0) // the slot is free again
		assert.Equal(t, s.history[0].End, "deadline")
		assert.Equal(t, s.history[1].End, "cancelled")
	})
}

func TestDrainRefusesNewWorkOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{Slots: 2, ServiceTime: time.Second})
		feed := make(chan *httptest.ResponseRecorder)
		go func() { feed <- call(t.Context(), s, "GET", "/feed/1?n=3&every=1s", "") }()
		synctest.Wait()
		s.Drain()
		w := call(t.Context(), s, "GET", "/lookup/1", "")
		assert.Equal(t, w.Header().Get("Not-Run"), "1")
		w = <-feed
		path := "/feed/1?n=3&every=1s"
		assert.Equal(t, w.Body.String(), "1 "+path+"\n2 "+path+"\n3 "+path+"\n")
		assert.Equal(t, len(s.history), 1)
	})
}

func TestUploadIsCountedAndHashed(t *testing.T) {
	s := New(Settings{Slots: 1})
	w := call(t.Context(), s, "POST", "/upload/1", "abc")
	assert.Equal(t, w.Body.String(), "/upload/1 3 ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n")
}

func TestDiesAfterRunning(t *testing.T) {
	s := New(Settings{Slots: 1})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	s.SetMode(Die, 1)
	_, err := http.Post(server.URL+"/lookup/1", "text/plain", strings.NewReader("x")) //nolint:bodyclose // there is no answer
	assert.ErrorContains(t, err, "EOF")
	answer, err := http.Get(server.URL + "/history")
	assert.NilError(t, err)
	defer answer.Body.Close()
	var history History
	assert.NilError(t, json.NewDecoder(answer.Body).Decode(&history))
	assert.Equal(t, history.Executions[0].End, "broken")
}

func TestReportsLagAndLie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{Slots: 2, Lag: 3 * time.Second, ServiceTime: 10 * time.Second})
		assert.Equal(t, s.reported().Busy, 0)
		go call(t.Context(), s, "GET", "/lookup/1", "")
		for range 4 {
			time.Sleep(time.Second - time.Millisecond)
			assert.Equal(t, s.reported().Busy, 0) // as it was 3 s ago
		}
		time.Sleep(time.Second)
		assert.Equal(t, s.reported().Busy, 1)
		s.settings.ReportIdle = true
		assert.Equal(t, s.reported().Busy, 0)
		time.Sleep(10 * time.Second)
	})
}

func TestHistoryIsServed(t *testing.T) {
	s := New(Settings{Slots: 1})
	call(t.Context(), s, "POST", "/lookup/7", "widow", "Request-Id", "r1")
	w := call(t.Context(), s, "GET", "/history", "")
	text, err := io.ReadAll(w.Result().Body)
	assert.NilError(t, err)
	for _, part := range []string{`"id":"r1"`, `"path":"/lookup/7"`, `"body":"widow"`, `"end":"done"`, `"dropped":0`} {
		assert.Assert(t, strings.Contains(string(text), part), "%s lacks %s", text, part)
	}
}
