package frame

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/flow/ident"
	"mangowinch/internal/stand/filled"
)

// full returns a frame of a kind with every field set.
func full(r *ident.Ring, k Kind) (h Header) {
	filled.Fill(&h)
	h.Kind, h.Service = k, r.Service
	return h
}

// Guards against a change of the encoding of frames: old and new processes run side by side during an update.
func TestWireBytes(t *testing.T) {
	r := ring(t, "tracing-core")
	var text strings.Builder
	for k := Forward; k <= Echo; k++ {
		h := full(r, k)
		fmt.Fprintf(&text, "%d %x\n", k, Append(nil, r.Current(), &h))
	}
	fmt.Fprintln(&text, "flags: leaving, cold, ask, take, former", Leaving, Cold, IfOwner, NoOwner, HasFormer)
	fmt.Fprintln(&text, "kinds: forward, return, probe, echo", Forward, Return, Probe, Echo)
	golden.Assert(t, text.String(), "wire.golden")
}

// Guards against a decoder that loses a field of a frame from an older process.
func TestWireBytesAreRead(t *testing.T) {
	r := ring(t, "tracing-core")
	lines := strings.Split(string(golden.Get(t, "wire.golden")), "\n")
	for k := Forward; k <= Echo; k++ {
		number, text, _ := strings.Cut(lines[k-1], " ")
		assert.Equal(t, number, fmt.Sprint(k))
		b, err := hex.DecodeString(text)
		assert.NilError(t, err)
		var h Header
		rest, err := Parse(b, r, &h)
		assert.NilError(t, err)
		assert.Equal(t, len(rest), 0)
		missing := filled.Unset(h)
		assert.Equal(t, len(missing), 0, "%v", missing)
		assert.Assert(t, reflect.DeepEqual(h, full(r, k)), "%+v", h)
	}
}
