package admin

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against changed names in /status: operators' tools read them, and during an update the tools of one version query
// processes of another.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"report": &Report{}, "reason": &Reason{}})
}
