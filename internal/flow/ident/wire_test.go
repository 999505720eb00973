package ident

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/stand/filled"
)

// wireRing returns a ring with fixed key material.
func wireRing(t *testing.T) *Ring {
	t.Helper()
	r, err := NewRing("tracing-core", Secret{Name: "k1", Material: [SecretSize]byte{1, 2, 3}})
	assert.NilError(t, err)
	return r
}

// Guards against a change of connection IDs, which an entry or a successor of another version could then not
// open: old and new processes run side by side during an update, and flows outlast it.
func TestWireBytes(t *testing.T) {
	r := wireRing(t)
	var o Owner
	filled.Fill(&o)
	k := r.Current()
	lines := []string{
		fmt.Sprintf("id %x", r.Seal(o, 1<<40+7)),
		fmt.Sprintf("service %x", r.Service),
		fmt.Sprintf("tag %x frame %x token %x reset %x", k.Tag, k.Frame, k.Token, k.Reset),
	}
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "wire.golden")
}

// Guards against reading another server out of the connection ID of an older process.
func TestWireBytesAreRead(t *testing.T) {
	line, _, _ := strings.Cut(string(golden.Get(t, "wire.golden")), "\n")
	id, err := hex.DecodeString(strings.TrimPrefix(line, "id "))
	assert.NilError(t, err)
	got, err := wireRing(t).Open(id)
	assert.NilError(t, err)
	var want Owner
	filled.Fill(&want)
	assert.Equal(t, got, want)
}
