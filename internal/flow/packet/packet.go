// Package packet reads the part of a QUIC packet's header that is the same in all versions (RFC 8999):
// whether the header is long or short, and the destination connection ID.
//
// It is no QUIC implementation: it reads nothing behind the connection ID, so that a new version of QUIC does
// not require a new balancer.
//
// # Usage
//
//	h, err := packet.Parse(datagram)
//	if err != nil {
//		return // counted by reason, dropped
//	}
package packet

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/ident"
)

// MinOpeningSize is the size in bytes of the smallest datagram that may open a flow. RFC 9000 section 14.1
// requires callers to pad such datagrams. Smaller ones would let an attacker with a forged source address
// cause more bytes to be sent to a third party than it sends itself.
const MinOpeningSize = 1200

// MaxIDSize is the size in bytes of the longest connection ID of the QUIC versions in use.
const MaxIDSize = 20

// MinOpeningIDSize is the size in bytes of the shortest connection ID that a caller may choose (RFC 9000
// section 7.2). IDs of this size keep the keys of flows distinct.
const MinOpeningIDSize = 8

// Errors of Parse.
var (
	ErrShort   = errors.New("datagram is too short for a QUIC header")
	ErrID      = errors.New("connection ID is too long")
	ErrOpening = errors.New("datagram or its connection ID is too small to open a flow")
)

// Header is the version-independent part of a packet's header. Destination points into the datagram.
type Header struct {
	Long        bool
	Version     uint32 // long headers only
	Destination []byte // destination connection ID
}

// Parse reads the header of a datagram's first packet. It returns ErrShort or ErrID.
func Parse(b []byte) (h Header, err error) {
	if len(b) < 1 {
		return Header{}, ErrShort
	}
	if b[0]&0x80 == 0 {
		return parseShort(b)
	}
	const fixed = 6 // first byte, version, length of the destination ID
	if len(b) < fixed {
		return Header{}, ErrShort
	}
	n := int(b[5])
	if n > MaxIDSize {
		return Header{}, ErrID
	}
	if len(b) < fixed+n+1 {
		return Header{}, ErrShort
	}
	return Header{
		Long:        true,
		Version:     binary.BigEndian.Uint32(b[1:]),
		Destination: b[fixed : fixed+n],
	}, nil
}

// parseShort parses a short header. The length of its ID is known, because callers send short headers only
// with IDs that an agent created.
func parseShort(b []byte) (h Header, err error) {
	if len(b) < 1+ident.Length {
		return Header{}, ErrShort
	}
	return Header{Destination: b[1 : 1+ident.Length]}, nil
}

// CheckOpening checks that a datagram with a caller-chosen ID may open a flow. It returns ErrOpening if the
// header is short, or the datagram or its ID is too small.
func CheckOpening(b []byte, h Header) error {
	if !h.Long || len(b) < MinOpeningSize || len(h.Destination) < MinOpeningIDSize {
		return ErrOpening
	}
	return nil
}
