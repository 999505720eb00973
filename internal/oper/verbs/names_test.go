package verbs

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against fields of /status that compare no longer reads: during an update, the program of one version queries
// processes of another.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"answer": &answer{}, "room": &roomAnswer{}})
}
