package docs

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/filled"
)

// Guards against sections, keys and words of documents that change: documents that teams have written must stay valid. A
// key that isn't known is a fault, and one that is no longer read leaves its field unset.
func TestNames(t *testing.T) {
	s, err := Parse("whole.ini", read(t, "whole.ini"))
	assert.NilError(t, err)
	assert.DeepEqual(t, filled.Unset(s), []string(nil))
}

// Guards against words of a document that change.
func TestNamesOfKindsAndStates(t *testing.T) {
	assert.DeepEqual(t, []Kind{Lookup, Feed, Upload}, []Kind{"lookup", "feed", "upload"})
	assert.DeepEqual(t, []State{Serving, Leaving}, []State{"serving", "leaving"})
}
