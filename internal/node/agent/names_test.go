package agent

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against names of a server's report that are no longer read: servers aren't renamed along.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"report": &report{}})
}

// Guards against names in /status that change, which operators' tools read.
func TestStatusNames(t *testing.T) {
	filled.AssertJSON(t, "status.golden", map[string]any{"agent": &Status{}})
}
