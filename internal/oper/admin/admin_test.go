package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func get(s *Server, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// Guards against an entry that reports ready without a document, because it started while the platform is down: it
// would receive packets that it cannot forward. It stays unready and reports the
// unmet condition until it receives the document from a peer.
func TestHealthz(t *testing.T) {
	var lines bytes.Buffer
	s := New(netip.AddrPort{}, zerolog.New(&lines))
	assert.Equal(t, get(s, "/healthz").Code, http.StatusServiceUnavailable) // no condition is registered yet

	documents := s.Condition("documents")
	s.Condition("sockets").Set(true, "")
	documents.Set(false, "platform does not answer")
	w := get(s, "/healthz")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Body.String(), "not ready\ndocuments: platform does not answer\n")

	s.Condition("documents").Set(true, "")
	w = get(s, "/healthz")
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), "ready\n")
	assert.Equal(t, strings.Count(lines.String(), "\n"), 2) // one line per change, none for the new reason
}

func TestStatus(t *testing.T) {
	s := New(netip.AddrPort{}, zerolog.Nop())
	s.Condition("documents").Set(true, "")
	s.Section("documents", func() any { return []string{"tracing-core"} })
	var r Report
	assert.NilError(t, json.Unmarshal(get(s, "/status").Body.Bytes(), &r))
	assert.Assert(t, r.Ready)
	assert.Equal(t, r.Conditions[0].Name, "documents")
	assert.DeepEqual(t, r.Sections["documents"], []any{"tracing-core"})
}

func TestMetrics(t *testing.T) {
	metrics.GetOrCreateCounter(`mangowinch_refused_total{service="x",reason="queue"}`).Set(1)
	assert.Assert(t, strings.Contains(get(New(netip.AddrPort{}, zerolog.Nop()), "/metrics").Body.String(),
		`mangowinch_refused_total{service="x",reason="queue"} 1`))
}

// Guards against counters without a reason and counters at zero in the list of reasons, and against a wrong order: the
// largest counters come first.
func TestReasons(t *testing.T) {
	assert.DeepEqual(t, parseReasons(`mangowinch_forwarded_total{service="a"} 9
mangowinch_requests_total{service="a",outcome="not-run",reason="queue"} 3
mangowinch_requests_total{service="a",outcome="ran",reason=""} 50
mangowinch_dropped_total{reason="short",service="b"} 7
mangowinch_dropped_total{reason="size",service="b"} 0
mangowinch_hand_ends_total{service="a",outcome="ran",reason="none"} 8
go_goroutines{reason="x"} 4
`), []Reason{
		{Counter: "dropped_total", Service: "b", Reason: "short", Count: 7},
		{Counter: "requests_total", Service: "a", Reason: "queue", Other: `outcome="not-run"`, Count: 3},
	})
}

func TestServerIsReadOnly(t *testing.T) {
	w := httptest.NewRecorder()
	New(netip.AddrPort{}, zerolog.Nop()).Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/status", nil))
	assert.Equal(t, w.Code, http.StatusMethodNotAllowed)
}

func TestRun(t *testing.T) {
	s := New(netip.MustParseAddrPort("127.0.0.1:0"), zerolog.Nop())
	assert.NilError(t, s.Open())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, s.Run(ctx))

	s = New(netip.MustParseAddrPort("192.0.2.1:1"), zerolog.Nop()) // not an address of this machine
	assert.ErrorContains(t, s.Open(), "operators' HTTP")
}
