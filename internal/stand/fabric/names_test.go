package fabric

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against names of the fabric's requests and answers that change: scripts send and read them.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"partition": &[]Side{}, "stats": &Stats{}, "cut": &Loss{}})
}
