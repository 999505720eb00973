package frame

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/ident"
	"mangowinch/internal/flow/order"
)

func ring(tb testing.TB, service string) *ident.Ring {
	tb.Helper()
	r, err := ident.NewRing(service, ident.Secret{Name: "k1", Material: [ident.SecretSize]byte{1}})
	assert.NilError(tb, err)
	return r
}

func sample(r *ident.Ring) Header {
	return Header{
		Kind:       Forward,
		Flags:      IfOwner | HasFormer,
		Hops:       2,
		Service:    r.Service,
		Revision:   41,
		Caller:     netip.MustParseAddrPort("127.0.50.1:4433"),
		Entry:      netip.MustParseAddrPort("[2001:db8::1]:7000"),
		Server:     7,
		Nonce:      12,
		Load:       900,
		Candidates: []uint32{7, 3, 1},
	}
}

func TestRoundTrip(t *testing.T) {
	r := ring(t, "tracing-core")
	rapid.Check(t, func(t *rapid.T) {
		want := sample(r)
		want.Revision = order.Revision(rapid.Uint64().Draw(t, "revision"))
		want.Candidates = rapid.SliceOfN(rapid.Uint32(), 0, MaxCandidates).Draw(t, "candidates")
		payload := rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "payload")
		b := append(Append(nil, r.Current(), &want), payload...)
		got := Header{Candidates: []uint32{}}
		rest, err := Parse(b, r, &got)
		assert.NilError(t, err)
		assert.DeepEqual(t, rest, payload)
		if len(want.Candidates) == 0 {
			want.Candidates = []uint32{}
		}
		assert.DeepEqual(t, got, want, cmpopts.EquateComparable(netip.AddrPort{}))
	})
}

// The frame of one service reaches an agent of another, because an address was
// given to another service and an entry has not heard. The agent must refuse it.
func TestFrameOfAnotherServiceIsRefused(t *testing.T) {
	a, b := ring(t, "tracing-core"), ring(t, "doc-intake")
	h := sample(a)
	_, err := Parse(Append(nil, a.Current(), &h), b, &Header{})
	assert.ErrorIs(t, err, ErrService)
	h.Service = b.Service // and one that claims to be of this service
	_, err = Parse(Append(nil, a.Current(), &h), b, &Header{})
	assert.ErrorIs(t, err, ErrForged)
}

func TestDamageIsFound(t *testing.T) {
	r := ring(t, "tracing-core")
	h := sample(r)
	good := Append(nil, r.Current(), &h)
	for bit := range len(good) * 8 {
		b := append([]byte(nil), good...)
		b[bit/8] ^= 1 << (bit % 8)
		_, err := Parse(b, r, &Header{})
		assert.Assert(t, err != nil, "bit %d", bit)
	}
	for n := range good {
		_, err := Parse(good[:n], r, &Header{})
		assert.Assert(t, err != nil, "cut to %d", n)
	}
}

// FuzzParse: no frame may panic or pass without the key.
func FuzzParse(f *testing.F) {
	r := ring(f, "tracing-core")
	h := sample(r)
	good := Append(nil, r.Current(), &h)
	f.Add(good[:len(good)-1])
	f.Add(make([]byte, MaxSize))
	f.Add([]byte{version})
	f.Fuzz(func(t *testing.T, b []byte) {
		var got Header
		if _, err := Parse(b, r, &got); err == nil {
			assert.Equal(t, got.Service, r.Service)
		}
	})
}
