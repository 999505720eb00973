package plat

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against names of the stand-in's answers that change: processes read them under the platform's names.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"documents": &Documents{}, "instances": &Instances{}})
}
