package agent

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against renamed keys of a server's report: servers go on sending the old ones, which would no longer be read.
func TestNames(t *testing.T) {
	filled.AssertRoundTrip(t, "names.golden", map[string]any{"report": &report{}})
}

// Guards against renamed keys of /status, which operators' tools read.
func TestStatusNames(t *testing.T) {
	filled.AssertJSON(t, "status.golden", map[string]any{"agent": &Status{}})
}
