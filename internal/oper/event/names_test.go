package event

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/golden"
)

// Guards against changed names in the log-dropped lines that this package writes: lines of old and new processes are read
// together.
func TestNamesOfDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, "agent", "a1")
		for n := range linesPerSecond + 3 {
			l.Flow(Failure, "refused", flow(n))
		}
		time.Sleep(time.Second)
		l.Flow(Failure, "refused", flow(1)).Send() // is preceded by the line that reports the omitted ones
		time.Sleep(time.Second)
		l.overflowed.Store(5)
		l.State("stop").Send()
		time.Sleep(time.Second)
		l.Close()
		golden.Assert(t, out.String(), "dropped.golden")
	})
}
