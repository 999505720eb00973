package admin

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against names in /status that change: operators' tools read them, and the tools of one version ask processes of
// another during an update.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"report": &Report{}, "reason": &Reason{}})
}
