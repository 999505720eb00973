package fetch_test

import (
	"testing"

	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/stand/filled"
)

// Guards against names of the platform's answers that are no longer read: the platform isn't renamed along.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"documents": &fetch.List{}, "instances": &fetch.Instances{}})
}
