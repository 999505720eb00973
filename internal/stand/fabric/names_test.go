package fabric

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against changed JSON names in the fabric's requests and responses, which scripts send and read.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"partition": &[]Side{}, "stats": &Stats{}, "cut": &Loss{}})
}
