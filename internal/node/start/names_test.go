package start

import (
	"testing"

	"mangowinch/internal/stand/filled"
)

// Guards against renamed keys of /status: during an update, the commands of one version (package verbs) read the status
// of processes of another.
func TestStatusNames(t *testing.T) {
	filled.AssertRoundTrip(t, "status.golden", map[string]any{"process": &Process{}, "documents": &[]Document{}})
}
