// Package ident creates and reads connection IDs that name the server of a flow.
//
// Entries share no flow table, and any packet of a flow may reach any entry, so the packet itself must show
// where it belongs. The agent that terminates a flow therefore chooses connection IDs whose encrypted content
// is its server ID, and every entry that holds the service's keys can read them. The idea is that of the IETF
// QUIC-LB drafts; the layout is this project's own.
//
// An ID consists of a tag byte, which selects the key, and one AES block with the server ID, the service's
// tag, the side and a nonce. The side distinguishes an agent's process from its successor while both run. The
// AES key is derived from the key material and the service's name. An ID that belongs to another service, is
// forged or is damaged therefore decrypts to a wrong service tag except in one case in 2^32, and the agent
// checks the service again (the frame header contains it, package frame). Outsiders cannot tell which flows
// share a server.
//
// The package does not authenticate flows: QUIC's own cryptography does.
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
	// ErrLength means that the size of a connection ID is not Length.
	ErrLength = errors.New("connection ID has an unexpected length")
	// ErrForeign means that no key of the service opens the connection ID: the caller chose it, or it is
	// forged, damaged or belongs to another service.
	ErrForeign = errors.New("connection ID does not belong to this service")
)

// ID is a connection ID.
type ID [Length]byte

// Owner is the process that a connection ID names.
type Owner struct {
	Server uint32
	Side   uint8 // distinguishes the two processes that run while an agent is replaced
}

// maxNonce is the largest nonce; the nonce shares eight bytes with the side.
const maxNonce = 1<<56 - 1

// Secret is named key material from the settings.
type Secret struct {
	Name     string
	Material [SecretSize]byte
}

// Key holds the keys that are derived for one service from one Secret.
type Key struct {
	Tag   byte     // identifies the key, as the first byte of IDs and in frames
	Frame [16]byte // authenticates frames between entry and agent
	Token [32]byte // authenticates request keys
	Reset [32]byte // derives stateless reset tokens
	block cipher.Block
}

// Ring holds a service's keys: the current one, which seals, and all that open.
type Ring struct {
	Service uint64 // tag of the service, as in frames
	keys    []Key  // the current key first
}

// NewRing derives the keys of a service. It fails only if a secret has no name.
func NewRing(service string, current Secret, former ...Secret) (r *Ring, err error) {
	defer func() { err = errors.Wrapf(err, "derive keys of service %q", service) }()
	r = &Ring{Service: ServiceTag(service)}
	for _, s := range append([]Secret{current}, former...) {
		k, err := newKey(service, s)
		if err != nil {
			return nil, err
		}
		r.keys = append(r.keys, k)
	}
	return r, nil
}

// ServiceTag returns the hash that stands for a service's name in frames.
func ServiceTag(service string) uint64 { return xxhash.Sum64String(service) }

func newKey(service string, s Secret) (k Key, err error) {
	if s.Name == "" {
		return Key{}, errors.New("secret without a name")
	}
	cid := deriveKey(s, service, "connection-id")
	block, err := aes.NewCipher(cid[:16])
	if err != nil {
		return Key{}, err
	}
	frame := deriveKey(s, service, "frame")
	k = Key{
		Tag:   byte(xxhash.Sum64String(s.Name)),
		Token: deriveKey(s, service, "token"),
		Reset: deriveKey(s, service, "reset"),
		block: block,
	}
	copy(k.Frame[:], frame[:])
	return k, nil
}

// deriveKey derives the key for one purpose, so that no two purposes or services share a key.
func deriveKey(s Secret, service, purpose string) (key [32]byte) {
	m := hmac.New(sha256.New, s.Material[:])
	m.Write([]byte(purpose))
	m.Write([]byte{0})
	m.Write([]byte(service))
	m.Sum(key[:0])
	return key
}

// Current returns the key that seals.
func (r *Ring) Current() *Key { return &r.keys[0] }

// Keys returns all keys that open, the current one first. The caller must not modify them.
func (r *Ring) Keys() []Key { return r.keys }

// Seal creates a connection ID. It uses the low 56 bits of the nonce, which must not repeat while flows of
// the owner last.
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

// Open returns the owner that a connection ID names. Its errors are ErrLength and ErrForeign.
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
