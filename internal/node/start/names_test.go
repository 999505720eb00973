package start

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against names in /status that change: the verbs of one version ask processes of another during an update.
func TestStatusNames(t *testing.T) {
	filled.AssertRoundTrip(t, "status.golden", map[string]any{"process": &Process{}, "documents": &[]Document{}})
}
