package msgs

import (
	"encoding/hex"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a level that changes what older processes read in an Offer: all bytes but the upper bits of the
// flags, which they ignore, are as before, and their own messages have level 0.
func TestOfferWithUsageIsReadByOlderProcesses(t *testing.T) {
	old, err := hex.DecodeString(strings.Fields(string(golden.Get(t, "older-offer.golden")))[2])
	assert.NilError(t, err)
	h, rest, err := ReadHeader(old)
	assert.NilError(t, err)
	m, err := ReadOffer(h, rest)
	assert.NilError(t, err)
	assert.Equal(t, m.Usage, uint8(0))
	assert.DeepEqual(t, m.AppendTo(nil), old)
	const flagsAt = headerSize + 4
	for level := range uint8(maxUsage + 1) {
		m.Usage = level
		b := m.AppendTo(nil)
		back, err := ReadOffer(h, b[headerSize:])
		assert.NilError(t, err)
		assert.Equal(t, back.Usage, level)
		b[flagsAt] &= 1<<usageShift - 1
		assert.DeepEqual(t, b, old)
	}
}
