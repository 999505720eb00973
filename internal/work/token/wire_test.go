package token

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/stand/filled"
)

// wireKey returns a key with every field set. Issued must be in whole milliseconds.
func wireKey() (k Key) {
	filled.Fill(&k)
	k.Service, k.Issued = "tracing-core", DefaultLifetime/2
	return k
}

// Guards against keys and tags that a process of another version refuses. Old and new processes run
// side by side during an update, and callers hold keys of both.
func TestWireText(t *testing.T) {
	r := ring(t, "tracing-core", secretA)
	k := wireKey()
	text := fmt.Sprintf("%s\nid %x\ntag of purpose 1 %x\n", r.Seal(k), k.ID(), r.Tag(1, []byte("a message")))
	golden.Assert(t, text, "wire.golden")
}

// Guards against reading the key of an older process as a key of another owner.
func TestWireTextIsRead(t *testing.T) {
	text, _, _ := strings.Cut(string(golden.Get(t, "wire.golden")), "\n")
	got, err := ring(t, "tracing-core", secretA).Open(text)
	assert.NilError(t, err)
	assert.Equal(t, got, wireKey())
	missing := filled.Unset(got)
	assert.Equal(t, len(missing), 0, "%v", missing)
}
