package segs

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/stand/filled"
)

// Guards against flows that change their bytes in messages, or the agent that keeps their place: old and new processes run
// side by side during an update.
func TestWireBytes(t *testing.T) {
	var f Flow
	filled.Fill(&f)
	text := fmt.Sprintf("%x\n%s\nhash %x\nflags: syn, ack, fin, rst, returned %d %d %d %d %d\n",
		f.AppendTo(nil), f, f.Hash(), Syn, Ack, Fin, Rst, Returned)
	golden.Assert(t, text, "wire.golden")
}

// Guards against a flow in an older process's message that is read as another one.
func TestWireBytesAreRead(t *testing.T) {
	line, _, _ := strings.Cut(string(golden.Get(t, "wire.golden")), "\n")
	b, err := hex.DecodeString(line)
	assert.NilError(t, err)
	var want Flow
	filled.Fill(&want)
	assert.Equal(t, FlowFrom(b), want)
}
