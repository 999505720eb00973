// Package packet reads the part of a QUIC packet's header that all versions share
// (RFC 8999): whether it is long or short, and the connection IDs.
//
// It is no QUIC implementation: nothing behind the connection IDs is looked at, so
// a new version of QUIC needs no new balancer.
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

// MinOpeningSize is the smallest datagram, in bytes, that may open a flow. RFC 9000
// section 14.1 makes callers pad them; a smaller one would let a forger have
// more bytes sent to a third party than it spends.
const MinOpeningSize = 1200

// MaxIDSize is the longest connection ID of the QUIC versions in use, in bytes.
const MaxIDSize = 20

// MinOpeningIDSize is the shortest connection ID a caller may choose (RFC 9000
// section 7.2), in bytes. It keeps flow keys apart.
const MinOpeningIDSize = 8

// Errors of Parse.
var (
	ErrShort   = errors.New("datagram is too short for a QUIC header")
	ErrID      = errors.New("connection ID is too long")
	ErrOpening = errors.New("datagram is too small to open a flow")
)

// Header is the version-independent part of a packet's header. Its slice points
// into the datagram.
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

// parseShort takes the ID's length as known: short headers go only to IDs that an
// agent made.
func parseShort(b []byte) (h Header, err error) {
	if len(b) < 1+ident.Length {
		return Header{}, ErrShort
	}
	return Header{Destination: b[1 : 1+ident.Length]}, nil
}

// CheckOpening says whether a datagram with a caller-chosen ID may open a flow. It
// returns ErrOpener if the datagram or its ID is too small.
func CheckOpening(b []byte, h Header) error {
	if !h.Long || len(b) < MinOpeningSize || len(h.Destination) < MinOpeningIDSize {
		return ErrOpening
	}
	return nil
}
