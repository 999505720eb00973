package docs

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/filled"
)

// Guards against changed sections, keys and values of documents: existing documents must stay valid. An
// unknown key is a fault, and a key that is no longer read leaves its field unset.
func TestNames(t *testing.T) {
	s, err := Parse("whole.ini", read(t, "whole.ini"))
	assert.NilError(t, err)
	assert.DeepEqual(t, filled.Unset(s), []string(nil))
}

// Guards against changed values of kinds and states in documents.
func TestNamesOfKindsAndStates(t *testing.T) {
	assert.DeepEqual(t, []Kind{Lookup, Feed, Upload}, []Kind{"lookup", "feed", "upload"})
	assert.DeepEqual(t, []State{Serving, Leaving}, []State{"serving", "leaving"})
}
