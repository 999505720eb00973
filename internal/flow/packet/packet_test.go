package packet

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/ident"
)

func long(id []byte, size int) []byte {
	b := append([]byte{0xc0, 0, 0, 0, 1, byte(len(id))}, id...)
	b = append(b, 0)
	return append(b, make([]byte, max(0, size-len(b)))...)
}

func TestParseLong(t *testing.T) {
	h, err := Parse(long([]byte("8 or more"), MinOpeningSize))
	assert.NilError(t, err)
	assert.Equal(t, string(h.Destination), "8 or more")
	assert.Equal(t, h.Version, uint32(1))
	assert.Assert(t, h.Long)
}

func TestParseShort(t *testing.T) {
	b := append([]byte{0x40}, make([]byte, ident.Length+20)...)
	h, err := Parse(b)
	assert.NilError(t, err)
	assert.Equal(t, len(h.Destination), ident.Length)
}

// A forger sends small datagrams that open flows, so that servers answer its
// victim with more bytes than it spends. They are refused before any server sees them.
func TestSmallOpenerIsRefused(t *testing.T) {
	for _, c := range []struct {
		id   string
		size int
		want error
	}{
		{"12345678", MinOpeningSize, nil},
		{"12345678", MinOpeningSize - 1, ErrOpening},
		{"1234567", MinOpeningSize, ErrOpening},
	} {
		b := long([]byte(c.id), c.size)
		h, err := Parse(b)
		assert.NilError(t, err)
		assert.ErrorIs(t, CheckOpening(b, h), c.want)
	}
}

// FuzzParse: no datagram may panic, and what is read lies inside the datagram.
func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff})
	f.Add(long([]byte("12345678"), 40))
	f.Add(long(make([]byte, 20), 40))
	f.Add([]byte{0xc0, 0, 0, 0, 1, 255, 1})
	f.Add(append([]byte{0x40}, make([]byte, ident.Length)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := Parse(b)
		if err != nil {
			return
		}
		assert.Assert(t, len(h.Destination) <= MaxIDSize)
		assert.Assert(t, len(h.Destination) < len(b))
		_ = CheckOpening(b, h)
	})
}
