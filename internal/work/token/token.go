// Package token makes and checks request keys: short texts that a caller sends
// with a request so that a repeat of it is never run a second time.
//
// A caller whose request ended as unknown may repeat it at any agent, across a
// partition, with the first agent dead. Nothing is shared between agents, so the
// key itself names the one agent that can know: its owner. The owner issued the
// key, decides whether the request runs, and remembers. Everybody else passes the
// request to the owner or answers unknown.
//
// The package is not the memory of outcomes (package memo) and does not carry
// requests (package hand). It uses no clock and no randomness of its own.
//
// # Usage
//
//	ring, err := token.NewRing("tracing-core", current, former...)
//	owner := token.Owner{Service: "tracing-core", Server: 3, Incarnation: n, Start: time.Now(), Lifetime: token.DefaultLifetime}
//	text := ring.Seal(owner.Issue(time.Now(), rng.Uint64()))
//
//	key, err := ring.Open(text) // ErrDamaged, ErrForged or ErrService
//	ruling := owner.Rule(time.Now(), key, service.Servers)
package token

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// The errors of Open. A flipped bit in the body of a key can't be told from a
// forgery; ErrDamaged is said only of texts that no ring could have made.
var (
	ErrDamaged = errors.New("request key is damaged")
	ErrForged  = errors.New("request key is not authentic")
	ErrService = errors.New("request key is of another service")
)

const (
	version        = 1
	tagSize        = 16  // bytes of the HMAC kept: 2^-128 a guess, and the text stays under 100 characters
	maxTextLen     = 256 // characters; a longer text is damaged and is not even decoded
	minMaterialLen = 16  // bytes
	maxServiceLen  = 64  // bytes of a service name
	hkdfInfo       = "mangowinch request key v1"
)

// Key is the content of a request key. Keys are equal exactly if they are the same key.
type Key struct {
	Service     string
	Server      uint32        // the owner's server ID within the service
	Incarnation uint64        // of the owning agent's process
	Issued      time.Duration // since the owner's start, by the owner's clock; whole milliseconds
	Nonce       uint64
}

// ID names the key in a memory of outcomes. It is the same for every text of the
// key, whichever secret sealed it.
func (k Key) ID() string { return string(k.encode()) }

func (k Key) encode() []byte {
	b := []byte{version, byte(len(k.Service))}
	b = append(b, k.Service...)
	b = binary.BigEndian.AppendUint32(b, k.Server)
	b = binary.BigEndian.AppendUint64(b, k.Incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(k.Issued.Milliseconds()))
	return binary.BigEndian.AppendUint64(b, k.Nonce)
}

func decode(b []byte) (k Key, ok bool) {
	if len(b) < 2 || b[0] != version {
		return Key{}, false
	}
	size := int(b[1])
	if len(b) != 2+size+4+8+8+8 {
		return Key{}, false
	}
	k.Service, b = string(b[2:2+size]), b[2+size:]
	k.Server = binary.BigEndian.Uint32(b)
	k.Incarnation = binary.BigEndian.Uint64(b[4:])
	issued := binary.BigEndian.Uint64(b[12:])
	if issued > uint64((1<<63-1)/time.Millisecond) {
		return Key{}, false
	}
	k.Issued = time.Duration(issued) * time.Millisecond
	k.Nonce = binary.BigEndian.Uint64(b[20:])
	return k, true
}

// Ring holds the secrets of one service: keys are sealed with the current one and
// opened with any. It is immutable.
type Ring struct {
	service string
	secrets [][]byte // the current one first
}

// NewRing derives a ring from the service's key material. The same material may
// serve other purposes too, since the secrets used here are derived from it.
func NewRing(service string, current []byte, former ...[]byte) (r *Ring, err error) {
	defer func() { err = errors.Wrapf(err, "request keys of %q", service) }()
	if service == "" || len(service) > maxServiceLen {
		return nil, errors.Newf("service name must have 1 to %d bytes", maxServiceLen)
	}
	r = &Ring{service: service}
	for _, m := range append([][]byte{current}, former...) {
		if len(m) < minMaterialLen {
			return nil, errors.Newf("key material must have at least %d bytes, has %d", minMaterialLen, len(m))
		}
		secret, err := hkdf.Key(sha256.New, m, []byte(service), hkdfInfo, sha256.Size)
		if err != nil {
			return nil, err
		}
		r.secrets = append(r.secrets, secret)
	}
	return r, nil
}

// Seal gives the text of a key, fit for a header.
func (r *Ring) Seal(k Key) string {
	b := k.encode()
	return base64.RawURLEncoding.EncodeToString(append(b, tag(r.secrets[0], b)...))
}

// Open checks a text and gives the key in it, or ErrDamaged, ErrForged or ErrService.
func (r *Ring) Open(text string) (Key, error) {
	if len(text) > maxTextLen {
		return Key{}, ErrDamaged
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	// The decoder passes over line ends and spare bits; one key has one text only.
	if err != nil || len(b) < tagSize || base64.RawURLEncoding.EncodeToString(b) != text {
		return Key{}, ErrDamaged
	}
	body, mac := b[:len(b)-tagSize], b[len(b)-tagSize:]
	k, ok := decode(body)
	if !ok {
		return Key{}, ErrDamaged
	}
	if k.Service != r.service {
		return Key{}, ErrService
	}
	for _, s := range r.secrets {
		if hmac.Equal(mac, tag(s, body)) {
			return k, nil
		}
	}
	return Key{}, ErrForged
}

// Purpose keeps the tags of different kinds of messages apart.
type Purpose byte

// Tag authenticates a message between the service's own processes.
func (r *Ring) Tag(p Purpose, message []byte) []byte {
	return tag(r.secrets[0], withPurpose(p, message))
}

// Check reports whether a process of the service made the tag for this message.
func (r *Ring) Check(p Purpose, message, mac []byte) bool {
	for _, s := range r.secrets {
		if hmac.Equal(mac, tag(s, withPurpose(p, message))) {
			return true
		}
	}
	return false
}

// withPurpose can't be the body of a key, which begins with its version.
func withPurpose(p Purpose, message []byte) []byte {
	return append([]byte{0, byte(p)}, message...)
}

func tag(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)[:tagSize]
}
