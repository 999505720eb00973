package packet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against reading a field of a QUIC header at a different offset from the one at which callers write it.
func TestWireBytesAreRead(t *testing.T) {
	var text string
	for _, b := range [][]byte{
		{0xc0, 1, 2, 3, 4, 8, 11, 12, 13, 14, 15, 16, 17, 18, 0},
		{0x40, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18},
	} {
		h, err := Parse(b)
		assert.NilError(t, err)
		text += fmt.Sprintf("%x: long %t version %x destination %x\n", b, h.Long, h.Version, h.Destination)
	}
	golden.Assert(t, text, "wire.golden")
}
