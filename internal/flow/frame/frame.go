// Package frame is the header that entries and agents put before a datagram on
// the link between them, and the small messages that have a header only.
//
// The header names the service (so that an agent refuses another's datagram), the
// caller, the entry that received the datagram (so that an agent knows a way back),
// the candidates that may own the flow (so that an agent which does not own it can
// pass it on), and the sender's document revision (so that control rides on what
// flows anyway). It is authenticated with a key of the service; the datagram behind
// it is protected by QUIC itself and not read.
//
// It is no transport: nothing is acknowledged, ordered or sent again.
//
// # Usage
//
//	b = frame.Append(b[:0], key, &h)
//	b = append(b, datagram...)
//	h, datagram, err := frame.Parse(b, ring)
package frame

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/dchest/siphash"

	"mangowinch/internal/flow/ident"
	"mangowinch/internal/flow/order"
)

// Kind is what a frame is for.
type Kind uint8

// The kinds of frame.
const (
	Forward Kind = 1 + iota // entry to agent, or agent to agent: a caller's datagram
	Return                  // agent to entry: a datagram for the caller
	Probe                   // agent to entry: are you there
	Echo                    // entry to agent: answer to a Probe, with its Nonce
)

// Flag is a bit of what the sender says of itself or of the frame.
type Flag uint8

// The flags.
const (
	Leaving   Flag = 1 << iota // the sender takes no new work
	Cold                       // the sender's backend server has just started
	IfOwner                    // Forward: keep it only if you own the flow, else hand it back
	NoOwner                    // Forward: nobody else owns the flow
	HasFormer                  // Forward: the last candidate is that of the document before
)

// Sizes and bounds.
const (
	version       = 1
	MaxCandidates = 4
	// MaxHops bounds how often a datagram is passed on between agents: ask, hand
	// back, two that leave. One more would be a loop between stale views.
	MaxHops = 4
	fixed   = 6 + 8 + 8 + 18 + 18 + 4 + 8 + 2 + 1
	macSize = 8
	// MaxSize is the largest header in bytes.
	MaxSize = fixed + MaxCandidates*4 + macSize
	// MaxPayload is the largest datagram that fits one Ethernet frame behind the
	// header, in bytes: 1500 less IP and UDP headers and MaxSize. A larger one is
	// dropped and counted; QUIC finds the path's size by such drops, while IP
	// fragments would double the loss.
	MaxPayload = 1500 - 28 - MaxSize
)

// Errors of Parse, one a reason.
var (
	ErrShort   = errors.New("frame is too short")
	ErrVersion = errors.New("frame is of an unknown version or kind")
	ErrService = errors.New("frame is of another service")
	ErrForged  = errors.New("frame is damaged or forged")
)

// Header is one frame's header.
type Header struct {
	Kind       Kind
	Flags      Flag
	Hops       uint8          // how often it was passed on
	Service    uint64         // ident.ServiceTag
	Revision   order.Revision // document revision that the sender has for the service
	Caller     netip.AddrPort // whose datagram it is; not set in Probe and Echo
	Entry      netip.AddrPort // link address of the entry
	Server     uint32         // Forward: the server meant; else the sender's server ID
	Nonce      uint64         // Probe and Echo: matches them; Return: the agent's incarnation
	Load       uint16         // Return and Probe: share of slots and queue in use, 0 to 1000 and over
	Candidates []uint32       // Forward of a flow that names no server: who may own it, best first
}

// Append puts the header behind b, sealed with the key.
func Append(b []byte, k *ident.Key, h *Header) []byte {
	start := len(b)
	n := min(len(h.Candidates), MaxCandidates)
	b = append(b, version, byte(h.Kind), byte(h.Flags), h.Hops, k.Tag, byte(n))
	b = binary.BigEndian.AppendUint64(b, h.Service)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Revision))
	b = appendAddr(b, h.Caller)
	b = appendAddr(b, h.Entry)
	b = binary.BigEndian.AppendUint32(b, h.Server)
	b = binary.BigEndian.AppendUint64(b, h.Nonce)
	b = binary.BigEndian.AppendUint16(b, h.Load)
	b = append(b, 0)
	for _, c := range h.Candidates[:n] {
		b = binary.BigEndian.AppendUint32(b, c)
	}
	return binary.BigEndian.AppendUint64(b, mac(k, b[start:]))
}

// Service reads which service a frame is of, before its key is known.
func Service(b []byte) (service uint64, err error) {
	if len(b) < fixed+macSize {
		return 0, ErrShort
	}
	return binary.BigEndian.Uint64(b[6:]), nil
}

// Parse reads a frame of the ring's service. The payload points into b; the
// candidates go into h.Candidates' own memory, so that a reused Header costs
// no allocation.
func Parse(b []byte, r *ident.Ring, h *Header) (payload []byte, err error) {
	service, err := Service(b)
	if err != nil {
		return nil, err
	}
	if b[0] != version || b[1] < byte(Forward) || b[1] > byte(Echo) || b[5] > MaxCandidates {
		return nil, ErrVersion
	}
	if service != r.Service {
		return nil, ErrService
	}
	end := fixed + int(b[5])*4
	if len(b) < end+macSize {
		return nil, ErrShort
	}
	if !verify(b[:end], binary.BigEndian.Uint64(b[end:]), r) {
		return nil, ErrForged
	}
	read(b, h)
	return b[end+macSize:], nil
}

func read(b []byte, h *Header) {
	h.Kind = Kind(b[1])
	h.Flags = Flag(b[2])
	h.Hops = b[3]
	h.Service = binary.BigEndian.Uint64(b[6:])
	h.Revision = order.Revision(binary.BigEndian.Uint64(b[14:]))
	h.Caller = readAddr(b[22:])
	h.Entry = readAddr(b[40:])
	h.Server = binary.BigEndian.Uint32(b[58:])
	h.Nonce = binary.BigEndian.Uint64(b[62:])
	h.Load = binary.BigEndian.Uint16(b[70:])
	h.Candidates = h.Candidates[:0]
	for i := range int(b[5]) {
		h.Candidates = append(h.Candidates, binary.BigEndian.Uint32(b[fixed+4*i:]))
	}
}

func verify(b []byte, want uint64, r *ident.Ring) bool {
	keys := r.Keys()
	for i := range keys {
		if keys[i].Tag == b[4] && mac(&keys[i], b) == want {
			return true
		}
	}
	return false
}

func mac(k *ident.Key, b []byte) uint64 {
	k0 := binary.LittleEndian.Uint64(k.Frame[0:])
	k1 := binary.LittleEndian.Uint64(k.Frame[8:])
	return siphash.Hash(k0, k1, b)
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	var ip [16]byte
	if a.IsValid() {
		ip = a.Addr().As16()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func readAddr(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b)).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:]))
}
