// Package token creates and verifies request keys. A request key is a short text that a caller
// sends with a request so that a repeat of the request never runs a second time.
//
// A caller whose request ended as unknown may repeat it at any agent, even across a partition or
// after the first agent has failed. Agents share no state about requests, so the key itself names
// the only agent that can know the outcome: its owner. The owner issued the key, decides whether
// the request runs, and records the outcome. Every other agent hands the request over to the owner
// or answers unknown.
//
// The package does not store outcomes (package memo) and does not transfer requests (package hand).
// It reads no clock and generates no random numbers.
//
// # Usage
//
//	ring, err := token.NewRing("tracing-core", current, former...)
//	owner := token.Owner{Service: "tracing-core", Server: 3, Incarnation: n, Start: time.Now(), Lifetime: token.DefaultLifetime}
//	text := ring.Seal(owner.Issue(time.Now(), rng.Uint64()))
//
//	key, err := ring.Open(text) // ErrDamaged, ErrForged or ErrService
//	decision := owner.Decide(time.Now(), key, service.Servers)
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

// The errors of Open. A flipped bit in the body of a key can't be distinguished from a forgery, so
// ErrDamaged is returned only for texts that no ring can have produced.
var (
	ErrDamaged = errors.New("request key is damaged")
	ErrForged  = errors.New("request key is not authentic")
	ErrService = errors.New("request key is of another service")
)

const (
	version        = 1
	tagSize        = 16  // bytes kept of the HMAC: a guess has a chance of 2^-128, and the text stays under 100 characters
	maxTextLen     = 256 // characters; a longer text is damaged and is not decoded
	minMaterialLen = 16  // bytes
	maxServiceLen  = 64  // bytes of a service name
	hkdfInfo       = "mangowinch request key v1"
)

// Key is the content of a request key. Two keys are the same exactly if they compare equal.
type Key struct {
	Service     string
	Server      uint32        // server ID of the owner within the service
	Incarnation uint64        // of the owner's process
	Issued      time.Duration // since the owner's start, on the owner's clock; whole milliseconds
	Nonce       uint64
}

// ID returns the ID under which the outcome of the key is recorded. It is the same for every text
// of the key, regardless of the secret that sealed it.
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

// Ring holds the secrets of one service. It seals keys with the current secret and opens keys
// sealed with any of its secrets. It is immutable.
type Ring struct {
	service string
	secrets [][]byte // the current secret first
}

// NewRing derives a ring from the service's key material. The material may also be used for other
// purposes, because the secrets of the ring are derived from it.
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

// Seal returns the text of a key, which is valid in a header.
func (r *Ring) Seal(k Key) string {
	b := k.encode()
	return base64.RawURLEncoding.EncodeToString(append(b, tag(r.secrets[0], b)...))
}

// Open verifies a text and returns its key, or ErrDamaged, ErrForged or ErrService.
func (r *Ring) Open(text string) (Key, error) {
	if len(text) > maxTextLen {
		return Key{}, ErrDamaged
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	// The decoder ignores line breaks and trailing padding bits, but a key has exactly one valid
	// text.
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

// Purpose distinguishes the tags of different kinds of messages.
type Purpose byte

// Tag returns the authentication tag of a message between the service's own processes.
func (r *Ring) Tag(p Purpose, message []byte) []byte {
	return tag(r.secrets[0], withPurpose(p, message))
}

// Check reports whether a process of the service created the tag for this message and purpose.
func (r *Ring) Check(p Purpose, message, mac []byte) bool {
	for _, s := range r.secrets {
		if hmac.Equal(mac, tag(s, withPurpose(p, message))) {
			return true
		}
	}
	return false
}

// withPurpose returns the authenticated form of a message. Its first byte is 0, so it can't equal
// the body of a key, which begins with the version.
func withPurpose(p Purpose, message []byte) []byte {
	return append([]byte{0, byte(p)}, message...)
}

func tag(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)[:tagSize]
}
