package token

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/work/result"
)

var (
	secretA = []byte("0123456789abcdef")
	secretB = []byte("fedcba9876543210")
	start   = time.Unix(1_000_000, 0)
)

func ring(t assert.TestingT, service string, current []byte, former ...[]byte) *Ring {
	r, err := NewRing(service, current, former...)
	assert.NilError(t, err)
	return r
}

func owner(server uint32, incarnation uint64) Owner {
	return Owner{Service: "tracing-core", Server: server, Incarnation: incarnation, Start: start, Lifetime: time.Minute}
}

func drawKey(t *rapid.T) Key {
	return Key{
		Service:     "tracing-core",
		Server:      rapid.Uint32().Draw(t, "server"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Issued:      time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "issued")) * time.Millisecond,
		Nonce:       rapid.Uint64().Draw(t, "nonce"),
	}
}

// Whatever an owner seals comes back unchanged, also under the secret's successor,
// and fits a header.
func TestSealedKeyOpens(t *testing.T) {
	before := ring(t, "tracing-core", secretA)
	after := ring(t, "tracing-core", secretB, secretA)
	rapid.Check(t, func(t *rapid.T) {
		k := drawKey(t)
		text := before.Seal(k)
		assert.Assert(t, len(text) < 100, text)
		for _, r := range []*Ring{before, after} {
			got, err := r.Open(text)
			assert.NilError(t, err)
			assert.Equal(t, got, k)
			assert.Equal(t, got.ID(), k.ID())
		}
	})
}

// A key that was cut, or changed in any character, opens as nothing: it never
// names another owner, and no other text stands for the same key.
func TestChangedKeyIsRefused(t *testing.T) {
	r := ring(t, "tracing-core", secretA)
	const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_=\n "
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(r.Seal(drawKey(t)))
		at := rapid.OneOf(rapid.Just(len(text)-1), rapid.IntRange(0, len(text)-1)).Draw(t, "at")
		char := rapid.SampledFrom([]byte(alphabet)).Draw(t, "char")
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			text = text[:at]
		case 1:
			text = slices.Insert(text, at, char)
		case 2:
			if text[at] == char {
				return
			}
			text[at] = char
		}
		_, err := r.Open(string(text))
		assert.Assert(t, err != nil, "%s", text)
	})
}

func TestOpenErrors(t *testing.T) {
	r := ring(t, "tracing-core", secretA)
	k := Key{Service: "tracing-core", Server: 3}
	other := Key{Service: "doc-intake", Server: 3}

	_, err := r.Open("not a key")
	assert.ErrorIs(t, err, ErrDamaged)
	_, err = r.Open(ring(t, "tracing-core", secretB).Seal(k))
	assert.ErrorIs(t, err, ErrForged)
	_, err = r.Open(ring(t, "doc-intake", secretA).Seal(other))
	assert.ErrorIs(t, err, ErrService)
	// The same material in two services gives different secrets.
	_, err = r.Open(ring(t, "doc-intake", secretA).Seal(k))
	assert.ErrorIs(t, err, ErrForged)
	_, err = NewRing("tracing-core", []byte("short"))
	assert.ErrorContains(t, err, "at least 16 bytes")
}

func FuzzOpen(f *testing.F) {
	r := ring(f, "tracing-core", secretA)
	f.Add(r.Seal(Key{Service: "tracing-core", Server: 3, Nonce: 7}))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := r.Open(text)
		if err == nil {
			assert.Equal(t, r.Seal(k), text)
		}
	})
}

// Story: a caller's request ends as unknown and it repeats the key at whichever
// agent it reaches. Every agent must send it to the one that issued the key, and
// only that very process may decide that it runs.
func TestOnlyTheIssuingProcessDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		issuer := owner(rapid.Uint32Range(1, 4).Draw(t, "issuer"), rapid.Uint64Range(1, 3).Draw(t, "then"))
		mine := owner(rapid.Uint32Range(1, 4).Draw(t, "mine"), rapid.Uint64Range(1, 3).Draw(t, "now"))
		age := rapid.SampledFrom([]time.Duration{0, time.Minute - 1, time.Minute, time.Hour}).Draw(t, "age")
		var servers []docs.Server
		known := false
		for id := uint32(1); id <= 4; id++ {
			if rapid.Bool().Draw(t, "known") {
				servers = append(servers, docs.Server{ID: id, Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(id)}), 7000)})
				known = known || id == issuer.Server
			}
		}
		got := mine.Decide(start.Add(age), issuer.Issue(start, 1), servers)
		switch {
		case mine.Server == issuer.Server && mine.Incarnation == issuer.Incarnation && age < time.Minute:
			assert.Equal(t, got.Action, Local)
			assert.Equal(t, got.Until, start.Add(time.Minute))
		case mine.Server != issuer.Server && known:
			assert.Equal(t, got.Action, HandOver)
			assert.Equal(t, got.Agent.Addr().As4()[3], byte(issuer.Server))
		default:
			assert.Equal(t, got.Action, Refuse)
			assert.Equal(t, got.Result.Outcome, result.Unknown)
		}
	})
}

// Story: an agent dies after its server ran a lookup; the instance comes back with
// its clock set back, so that the new process has the lower incarnation. The
// caller repeats the key. The new process knows nothing of the run: unknown.
func TestRestartedOwnerWithClockSetBack(t *testing.T) {
	then, now := uint64(start.UnixNano()), uint64(start.Add(-time.Hour).UnixNano())
	got := owner(3, now).Decide(start, owner(3, then).Issue(start, 1), nil)
	assert.Equal(t, got.Action, Refuse)
	assert.Equal(t, got.Result, result.Result{Outcome: result.Unknown, Reason: result.OwnerUnavailable})
}
