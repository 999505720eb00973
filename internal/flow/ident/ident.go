// Package ident makes and reads connection IDs that name the server of a flow.
//
// Balancers share no flow table, and any packet of a flow may reach any of them.
// So the packet itself says where it belongs: the agent that terminates a flow
// chooses connection IDs whose sealed content is its server ID, and every entry
// that holds the service's keys can read them back. The idea is that of the IETF
// QUIC-LB drafts; the layout here is the project's own.
//
// An ID is one tag byte, which tells the key, and one AES block that holds the
// server ID, the service's tag, the side and a nonce. The side tells an agent's
// process from its successor's while both run. The AES key is derived from the key
// material and the service's name. An ID of another service, a forged or a damaged
// one therefore opens to a wrong service tag but for one case in 2^32, and the
// agent looks at the service again (package frame carries it). Outsiders cannot
// tell which flows share a server.
//
// The package is no authentication of a flow: QUIC's own cryptography is that.
//
// # Usage
//
//	ring, err := ident.NewRing("tracing-core", current, former...)
//	id := ring.Seal(ident.Owner{Server: 7}, nonce) // at the agent of server 7
//	owner, err := ring.Open(id[:])                 // at any entry
package ident

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Length is the size of a connection ID in bytes. QUIC allows at most 20.
const Length = 1 + aes.BlockSize

// SecretSize is the size of key material in bytes.
const SecretSize = 32

// Errors of Open.
var (
	// ErrLength says that a connection ID has another size than Length.
	ErrLength = errors.New("connection ID has a foreign length")
	// ErrForeign says that no key of the service opens the connection ID: the
	// caller chose it, or it is forged, damaged or of another service.
	ErrForeign = errors.New("connection ID is not of this service")
)

// ID is one connection ID.
type ID [Length]byte

// Owner is the process that a connection ID names.
type Owner struct {
	Server uint32
	Side   uint8 // which of the two processes that an agent's replacement makes
}

// maxNonce bounds nonces, which share eight bytes with the side.
const maxNonce = 1<<56 - 1

// Secret is named key material, as settings give it.
type Secret struct {
	Name     string
	Material [SecretSize]byte
}

// Key is what one service derives from one Secret.
type Key struct {
	Tag   byte     // first byte of IDs, and the key's mark in frames
	Frame [16]byte // authenticates frames between entry and agent
	Token [32]byte // authenticates request keys
	Reset [32]byte // makes stateless resets
	block cipher.Block
}

// Ring holds a service's keys: one that seals, and all that open.
type Ring struct {
	Service uint64 // tag of the service, as frames carry it
	keys    []Key  // the current key first
}

// NewRing derives the keys of a service. It fails only on a secret without a name.
func NewRing(service string, current Secret, former ...Secret) (r *Ring, err error) {
	defer func() { err = errors.Wrapf(err, "derive keys of service %q", service) }()
	r = &Ring{Service: ServiceTag(service)}
	for _, s := range append([]Secret{current}, former...) {
		k, err := derive(service, s)
		if err != nil {
			return nil, err
		}
		r.keys = append(r.keys, k)
	}
	return r, nil
}

// ServiceTag is the short form of a service's name in frames.
func ServiceTag(service string) uint64 { return xxhash.Sum64String(service) }

func derive(service string, s Secret) (k Key, err error) {
	if s.Name == "" {
		return Key{}, errors.New("a secret has no name")
	}
	cid := expand(s, service, "connection-id")
	block, err := aes.NewCipher(cid[:16])
	if err != nil {
		return Key{}, err
	}
	frame := expand(s, service, "frame")
	k = Key{
		Tag:   byte(xxhash.Sum64String(s.Name)),
		Token: expand(s, service, "token"),
		Reset: expand(s, service, "reset"),
		block: block,
	}
	copy(k.Frame[:], frame[:])
	return k, nil
}

// expand derives one purpose's key, so that no two purposes or services share one.
func expand(s Secret, service, purpose string) (key [32]byte) {
	m := hmac.New(sha256.New, s.Material[:])
	m.Write([]byte(purpose))
	m.Write([]byte{0})
	m.Write([]byte(service))
	m.Sum(key[:0])
	return key
}

// Current is the key that seals.
func (r *Ring) Current() *Key { return &r.keys[0] }

// Keys are all keys that open, the current one first. The caller must not change them.
func (r *Ring) Keys() []Key { return r.keys }

// Seal makes a connection ID. Of the nonce 56 bits count; they must not repeat while
// the owner's flows last.
func (r *Ring) Seal(o Owner, nonce uint64) (id ID) {
	k := &r.keys[0]
	id[0] = k.Tag
	var plain [aes.BlockSize]byte
	binary.BigEndian.PutUint32(plain[0:], o.Server)
	binary.BigEndian.PutUint32(plain[4:], uint32(r.Service))
	binary.BigEndian.PutUint64(plain[8:], uint64(o.Side)<<56|nonce&maxNonce)
	k.block.Encrypt(id[1:], plain[:])
	return id
}

// Open reads the owner out of a connection ID. It returns ErrLength or ErrForeign.
func (r *Ring) Open(id []byte) (o Owner, err error) {
	if len(id) != Length {
		return Owner{}, ErrLength
	}
	var plain [aes.BlockSize]byte
	for i := range r.keys {
		k := &r.keys[i]
		if k.Tag != id[0] {
			continue
		}
		k.block.Decrypt(plain[:], id[1:])
		if binary.BigEndian.Uint32(plain[4:]) == uint32(r.Service) {
			return Owner{Server: binary.BigEndian.Uint32(plain[0:]), Side: plain[8]}, nil
		}
	}
	return Owner{}, ErrForeign
}
