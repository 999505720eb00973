package hand

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcserver"

	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/result"
)

// BenchmarkHand gives the cost of one hop over TCP on loopback: a claim with a short body
// and answer, both ends in this process.
func BenchmarkHand(b *testing.B) {
	f := newFar(b, "tracing-core", 1)
	f.server.Outcomes = memo.New(memo.Limits{Records: 1 << 30, Bytes: 1 << 40, Answer: 1 << 10})
	f.handle = func(_ context.Context, _ *Request, a Answer) result.Result {
		_ = a.Start(http.StatusOK, nil)
		_, _ = a.Write([]byte("case 12"))
		return result.Result{Outcome: result.Ran}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = drpcserver.New(f.mux).Serve(b.Context(), l) }()
	c := NewClient("tracing-core", f.server.Ring, DialTCP, nil)
	to := netip.MustParseAddrPort(l.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		r := claim("/claim/7")
		r.Deadline = time.Now().Add(time.Minute)
		r.Body, r.Length = strings.NewReader("form"), 4
		if end := c.HandOver(b.Context(), to, r, &taker{}); end.Outcome != result.Ran {
			b.Fatal(end)
		}
	}
}
