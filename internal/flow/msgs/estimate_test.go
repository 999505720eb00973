package msgs

import (
	"encoding/hex"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

// Guards against a message that processes without estimates can't read: without an estimate the bytes are
// those that older processes send, and with one they only grow at the end.
func TestMessagesWithoutEstimateAreEncodedAsBefore(t *testing.T) {
	lines := strings.Fields(string(golden.Get(t, "older.golden")))
	assert.Equal(t, len(lines), 2*3)
	for i := 0; i < len(lines); i += 3 {
		b, err := hex.DecodeString(lines[i+2])
		assert.NilError(t, err)
		h, rest, err := ReadHeader(b)
		assert.NilError(t, err)
		m, err := readers[h.Kind](h, rest)
		assert.NilError(t, err)
		assert.Equal(t, hex.EncodeToString(m.AppendTo(nil)), lines[i+2], "%s", h.Kind)
		assert.Assert(t, strings.HasPrefix(hex.EncodeToString(full(t, h.Kind).AppendTo(nil)), lines[i+2]), "%s", h.Kind)
	}
}

// Guards against an estimate that reads as a shorter one: a time that is too long for its field is capped.
func TestEstimateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "service"))
		var waits [NumWaits]time.Duration
		for i := range waits {
			waits[i] = time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "wait"))
		}
		e := NewEstimate(service, waits)
		back := estimateFrom(appendEstimate(nil, e))
		assert.Equal(t, back, e)
		assert.Assert(t, back.ServiceTime() <= service)
		if service < 0xffff*estimateServiceUnit {
			assert.Assert(t, service-back.ServiceTime() < estimateServiceUnit)
		}
		for priority, w := range waits {
			assert.Assert(t, back.Wait(priority) <= max(w, 0))
			if w >= 0 && w < 0xff*estimateWaitUnit {
				assert.Assert(t, w-back.Wait(priority) < estimateWaitUnit)
			}
		}
		assert.Equal(t, back.Wait(NumWaits+3), back.Wait(NumWaits-1))
	})
}

// Guards against reading past the end of a message whose estimate was cut off.
func TestCutOffEstimateIsIgnored(t *testing.T) {
	b := appendEstimate(nil, Estimate{Service: 300, Waits: [NumWaits]uint8{1, 2, 3, 4}})
	for n := range len(b) {
		assert.Equal(t, estimateFrom(b[:n]), Estimate{})
	}
}
