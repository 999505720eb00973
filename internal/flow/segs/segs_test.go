package segs

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFlowIsPrintedAndReadAlike(t *testing.T) {
	f := Flow{Caller: [4]byte{100, 64, 0, 7}, CallerPort: 40001, Service: [4]byte{198, 18, 0, 1}, Port: 443}
	assert.Equal(t, f.String(), "100.64.0.7:40001>198.18.0.1:443")
	got, err := ParseFlow(f.String())
	assert.NilError(t, err)
	assert.Equal(t, got, f)
	assert.Equal(t, FlowFrom(f.AppendTo(nil)), f)
	for _, bad := range []string{"", "100.64.0.7:1", "x>y", "[::1]:1>198.18.0.1:443"} {
		_, err := ParseFlow(bad)
		assert.Assert(t, err != nil, bad)
	}
}

// Sequence numbers wrap; a server near the top of the range serves like any other.
func TestFirstAcknowledgementOfAServer(t *testing.T) {
	assert.Assert(t, IsFirstAck(1, 0))
	assert.Assert(t, IsFirstAck(100, 0xffffffff-50))
	assert.Assert(t, !IsFirstAck(0, 0))
	assert.Assert(t, !IsFirstAck(1<<20, 0))
}
