package server

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against names of the stand-in's answers that change: agents, checks and journals of earlier runs read them.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"load": &Load{}, "health": &Health{}, "history": &History{}})
}
