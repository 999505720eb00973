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

// Checks that any sealed key opens unchanged, also after a rotation of the secret, and that its
// text stays under 100 characters.
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

// Guards against accepting a key that was truncated or changed in any character: such a text must
// not name another owner, and no second text may stand for the same key.
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
	// The same material results in different secrets for two services.
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

// Guards against a second run when a caller repeats a key at another agent after its request ended
// as unknown. Every agent must hand the request over to the agent that issued the key, and only the
// very process that issued it may decide that the request runs.
func TestOnlyTheIssuingProcessDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		issuer := owner(rapid.Uint32Range(1, 4).Draw(t, "issuer"), rapid.Uint64Range(1, 3).Draw(t, "then"))
		self := owner(rapid.Uint32Range(1, 4).Draw(t, "mine"), rapid.Uint64Range(1, 3).Draw(t, "now"))
		age := rapid.SampledFrom([]time.Duration{0, time.Minute - 1, time.Minute, time.Hour}).Draw(t, "age")
		var servers []docs.Server
		known := false
		for id := uint32(1); id <= 4; id++ {
			if rapid.Bool().Draw(t, "known") {
				servers = append(servers, docs.Server{ID: id, Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(id)}), 7000)})
				known = known || id == issuer.Server
			}
		}
		got := self.Decide(start.Add(age), issuer.Issue(start, 1), servers)
		switch {
		case self.Server == issuer.Server && self.Incarnation == issuer.Incarnation && age < time.Minute:
			assert.Equal(t, got.Action, Local)
			assert.Equal(t, got.Until, start.Add(time.Minute))
		case self.Server != issuer.Server && known:
			assert.Equal(t, got.Action, HandOver)
			assert.Equal(t, got.Agent.Addr().As4()[3], byte(issuer.Server))
		default:
			assert.Equal(t, got.Action, Refuse)
			assert.Equal(t, got.Result.Outcome, result.Unknown)
		}
	})
}

// Guards against accepting a key of a previous process that has the higher incarnation. An agent
// fails after its server ran a lookup, and the instance restarts with its clock set back. The new
// process has no record of the run, so a repeat of the key must be unknown.
func TestRestartedOwnerWithClockSetBack(t *testing.T) {
	then, now := uint64(start.UnixNano()), uint64(start.Add(-time.Hour).UnixNano())
	got := owner(3, now).Decide(start, owner(3, then).Issue(start, 1), nil)
	assert.Equal(t, got.Action, Refuse)
	assert.Equal(t, got.Result, result.Result{Outcome: result.Unknown, Reason: result.OwnerUnavailable})
}
