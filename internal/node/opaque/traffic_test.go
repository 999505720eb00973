package opaque

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/oper/event"
)

// Guards against a busy second that is hidden in the mean of many, and against callers' packets that are
// counted as control.
func TestBusiestSecondOfControlIsLogged(t *testing.T) {
	var out strings.Builder
	events := event.New(&out, "entry", "entry-1")
	var tr traffic
	var sent kindBytes
	lines := 0
	for i := range 2 * samplesPerLine {
		sent[msgs.KindForward] += 1_000_000
		sent[msgs.KindBeacon] += 100
		if i == 3 {
			sent[msgs.KindUpdate] += 5000
		}
		if tr.sample(sent) {
			tr.log(events)
			lines++
		}
	}
	events.Close()
	assert.Equal(t, lines, 2)
	assert.Assert(t, strings.Contains(out.String(), `"control":6000,"busiest":5100,"kinds":{"carry":10000000,"beacon":1000,"news":5000}`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `"control":1000,"busiest":100,`), out.String())
}
