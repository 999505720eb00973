package fetch_test

import (
	"testing"

	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/stand/filled"
)

// Guards against renamed fields of the platform's responses: the platform keeps its names, so a renamed field would stay
// empty.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"documents": &fetch.List{}, "instances": &fetch.Instances{}})
}
