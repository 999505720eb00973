package ident

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func secret(name string, fill byte) (s Secret) {
	s.Name = name
	for i := range s.Material {
		s.Material[i] = fill
	}
	return s
}

func ring(t interface {
	assert.TestingT
	Helper()
}, service string, current Secret, former ...Secret) *Ring {
	t.Helper()
	r, err := NewRing(service, current, former...)
	assert.NilError(t, err)
	return r
}

func TestOpenGivesTheSealedServer(t *testing.T) {
	r := ring(t, "tracing-core", secret("k1", 1))
	rapid.Check(t, func(t *rapid.T) {
		owner := Owner{Server: rapid.Uint32().Draw(t, "server"), Side: rapid.Uint8().Draw(t, "side")}
		id := r.Seal(owner, rapid.Uint64().Draw(t, "nonce"))
		got, err := r.Open(id[:])
		assert.NilError(t, err)
		assert.Equal(t, got, owner)
	})
}

// A feed is open while the key is rotated. Its packets must reach their server as long as the old key is
// listed as former, and must be refused afterwards.
func TestRotatedKeyStillRoutes(t *testing.T) {
	before := ring(t, "tracing-core", secret("k1", 1))
	id := before.Seal(Owner{Server: 7}, 99)
	during := ring(t, "tracing-core", secret("k2", 2), secret("k1", 1))
	got, err := during.Open(id[:])
	assert.NilError(t, err)
	assert.Equal(t, got, Owner{Server: 7})
	after := ring(t, "tracing-core", secret("k2", 2))
	_, err = after.Open(id[:])
	assert.ErrorIs(t, err, ErrForeign)
}

// A packet for one service is sent, by mistake or on purpose, to the address of another one with the same key
// material. Its ID must not open there.
func TestIDOfAnotherServiceDoesNotOpen(t *testing.T) {
	a := ring(t, "tracing-core", secret("k1", 1))
	b := ring(t, "doc-intake", secret("k1", 1))
	for nonce := range uint64(10_000) {
		id := a.Seal(Owner{Server: uint32(nonce%7) + 1}, nonce)
		_, err := b.Open(id[:])
		assert.ErrorIs(t, err, ErrForeign)
	}
}

// An attacker flips bits in a connection ID to reach a certain server. No ID with a flipped bit may open.
func TestDamagedIDDoesNotOpen(t *testing.T) {
	r := ring(t, "tracing-core", secret("k1", 1))
	for bit := range Length * 8 {
		id := r.Seal(Owner{Server: 3}, 5)
		id[bit/8] ^= 1 << (bit % 8)
		_, err := r.Open(id[:])
		assert.ErrorIs(t, err, ErrForeign, "bit %d", bit)
	}
	_, err := r.Open(make([]byte, 8))
	assert.ErrorIs(t, err, ErrLength)
}
