package entry

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against renamed keys of /status, which operators' tools read.
func TestStatusNames(t *testing.T) {
	filled.AssertJSON(t, "status.golden", map[string]any{"services": &[]Service{}})
}
