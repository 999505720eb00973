package server

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against changed JSON names in the responses: agents, the checks and readers of older journals depend on them.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"load": &Load{}, "health": &Health{}, "history": &History{}})
}
