package parts

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// Each name switches off exactly one mechanism, and each mechanism has a name.
func TestEachMechanismHasOneName(t *testing.T) {
	seen := map[Off]bool{}
	for _, n := range Names() {
		off, unknown := Parse([]string{n})
		assert.Equal(t, len(unknown), 0)
		assert.Assert(t, off != Off{} && !seen[off], n)
		seen[off] = true
	}
	assert.Equal(t, len(seen), reflect.TypeFor[Off]().NumField())
}

func TestUnknownNamesAreReported(t *testing.T) {
	off, unknown := Parse([]string{"offers", "offer"})
	assert.Equal(t, off, Off{Offers: true})
	assert.DeepEqual(t, unknown, []string{"offer"})
}
