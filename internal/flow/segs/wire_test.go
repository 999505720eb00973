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

// Guards against a change of the encoding of a flow, or of its hash, which determines its home: old and new
// processes run side by side during an update.
func TestWireBytes(t *testing.T) {
	var f Flow
	filled.Fill(&f)
	text := fmt.Sprintf("%x\n%s\nhash %x\nflags: syn, ack, fin, rst, returned %d %d %d %d %d\n",
		f.AppendTo(nil), f, f.Hash(), Syn, Ack, Fin, Rst, Returned)
	golden.Assert(t, text, "wire.golden")
}

// Guards against reading a different flow out of a message of an older process.
func TestWireBytesAreRead(t *testing.T) {
	line, _, _ := strings.Cut(string(golden.Get(t, "wire.golden")), "\n")
	b, err := hex.DecodeString(line)
	assert.NilError(t, err)
	var want Flow
	filled.Fill(&want)
	assert.Equal(t, FlowFrom(b), want)
}
