package order

import (
	"cmp"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A change of a later era must not count as older because its number is lower.
func TestLaterEraIsLater(t *testing.T) {
	assert.Assert(t, At(2, 16) > At(1, 19))
	assert.Assert(t, At(2, 0) > At(1, MaxNumber))
	assert.Equal(t, At(2, 16).String(), "2.16")
	assert.Equal(t, At(0, 16).String(), "16")
}

func TestRevisionsAreOrderedByEraThenNumber(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := func(label string) (era uint16, number uint64) {
			return rapid.Uint16().Draw(r, label+" era"), rapid.Uint64Range(0, MaxNumber).Draw(r, label+" number")
		}
		era, number := draw("one")
		otherEra, otherNumber := draw("other")
		one, other := At(era, number), At(otherEra, otherNumber)
		assert.Equal(r, one.Era(), era)
		assert.Equal(r, one.Number(), number)
		assert.Equal(r, cmp.Compare(one, other), cmp.Or(cmp.Compare(era, otherEra), cmp.Compare(number, otherNumber)))
	})
}

func TestParseEra(t *testing.T) {
	for text, want := range map[string]uint16{"": 0, "0": 0, "7": 7, "65535": 65535} {
		era, err := ParseEra(text)
		assert.NilError(t, err)
		assert.Equal(t, era, want)
	}
	for _, text := range []string{"-1", "65536", "first", "1.5"} {
		_, err := ParseEra(text)
		assert.ErrorContains(t, err, "era")
	}
}
