package relay

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against changed field names in /status, which operators' tools read.
func TestStatusNames(t *testing.T) {
	filled.AssertJSON(t, "status.golden", map[string]any{"control": &Status{}})
}
