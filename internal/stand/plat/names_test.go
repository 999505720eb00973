package plat

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against changed JSON names in the responses: processes read them under the names that the real platform uses.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"documents": &Documents{}, "instances": &Instances{}})
}
