package verbs

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against names of /status that are no longer read: the verbs of one version ask processes of another during an update.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"answer": &answer{}})
}
