package event

import (
	"bytes"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/flow/segs"
)

func flow(n int) segs.Flow {
	return segs.Flow{Caller: [4]byte{100, 64, byte(n >> 8), byte(n)}, CallerPort: 1025, Service: [4]byte{198, 18, 0, 1}, Port: 443}
}

func TestLinesAreJSONWithTheFlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, "entry", "e1")
		l.State("start").Str("version", "v1").Send()
		l.Flow(Failure, "refused", flow(7)).Str("why", "busy").Uint64("revision", 12).Send()
		l.Close()
		golden.Assert(t, out.String(), "lines.golden")
	})
}

// Guards against processes that sample different flows: the path of a flow could then not be followed across processes.
func TestProcessesSampleTheSameFlows(t *testing.T) {
	a, b := New(io.Discard, "entry", "e1"), New(io.Discard, "agent", "a1")
	defer a.Close()
	defer b.Close()
	kept := 0
	for n := range 800 {
		first, second := a.Flow(Ordinary, "placed", flow(n)), b.Flow(Ordinary, "opened", flow(n))
		assert.Equal(t, first == nil, second == nil)
		if first != nil {
			kept++
		}
	}
	assert.Assert(t, kept > 25 && kept < 80, kept)
}

// Guards against a flood of refusals that becomes a flood of lines, and against omitted lines that are not reported.
func TestLinesAreBoundedAndOmissionsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, "entry", "e1")
		for n := range 400 {
			l.Flow(Failure, "refused", flow(n)).Send()
		}
		time.Sleep(time.Second)
		l.Flow(Failure, "refused", flow(1)).Send()
		l.Close()
		assert.Equal(t, strings.Count(out.String(), `"event":"refused"`), linesPerSecond+1)
		assert.Assert(t, regexp.MustCompile(`"event":"log-dropped","reason":"budget","lines":300`).MatchString(out.String()))
	})
}

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	return len(b), nil
}

// Guards against logging that blocks the handling of packets: the reader of the process's output hangs, and its writes
// block.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := blockedWriter{make(chan struct{})}
		l := New(w, "entry", "e1")
		began := time.Now()
		for range 5 * queueSize {
			l.State("belief").Send()
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		l.Close()
		assert.Equal(t, time.Since(began), closeTimeout)
		close(w.unblock)
	})
}

// BenchmarkLine logs one line about a flow, which takes about 1.5 us on a busy machine.
func BenchmarkLine(b *testing.B) {
	l := New(io.Discard, "entry", "e1")
	defer l.Close()
	for b.Loop() {
		l.line("refused").Stringer("flow", flow(7)).Str("why", "busy").Uint64("revision", 12).Send()
	}
}
