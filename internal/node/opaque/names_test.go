package opaque

import (
	"testing"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/node/local"
	"mangowinch/internal/stand/filled"
)

// Guards against renamed keys of /status, which operators' tools read. The fields of the load have no tags: their keys
// are the names of the Go fields.
func TestStatusNames(t *testing.T) {
	filled.AssertJSON(t, "status.golden", map[string]any{"belief": &Belief{}, "load": &msgs.Load{}, "expected": &local.Expected{}})
}
