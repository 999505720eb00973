package opaque

import (
	"testing"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/stand/filled"
)

// Guards against names in /status that change, which operators' tools read. The load has no tags: its names are those of
// the Go fields.
func TestStatusNames(t *testing.T) {
	filled.AssertJSON(t, "status.golden", map[string]any{"belief": &Belief{}, "load": &msgs.Load{}})
}
