// Package frame defines the header that precedes a datagram on the link between entries and agents, and the
// small messages that consist of a header only.
//
// The header names the service, so that an agent refuses another service's datagram; the caller; the entry
// that received the datagram, so that an agent knows a path back; the candidates that may own the flow, so
// that an agent that does not own it can forward the datagram; and the sender's document revision, so that
// control information travels with the traffic. The header is authenticated with a key of the service. The
// datagram behind it is protected by QUIC itself and is not read.
//
// The package is no transport: it does not acknowledge, order or retransmit anything.
//
// # Usage
//
//	b = frame.Append(b[:0], key, &h)
//	b = append(b, datagram...)
//	datagram, err := frame.Parse(b, ring, &h)
package frame

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/dchest/siphash"

	"mangowinch/internal/flow/ident"
	"mangowinch/internal/flow/order"
)

// Kind is the purpose of a frame.
type Kind uint8

// The kinds of frame.
const (
	Forward Kind = 1 + iota // entry to agent, or agent to agent: a caller's datagram
	Return                  // agent to entry: a datagram for the caller
	Probe                   // agent to entry: asks for an Echo
	Echo                    // entry to agent: answer to a Probe, with its Nonce
)

// Flag is a bit that describes the sender or the frame.
type Flag uint8

// The flags.
const (
	Leaving   Flag = 1 << iota // the sender takes no new flows
	Cold                       // the sender's backend server has just started (cold start)
	IfOwner                    // Forward: the receiver keeps the datagram if it owns the flow, else returns it
	NoOwner                    // Forward: no other agent owns the flow
	HasFormer                  // Forward: the last candidate is the choice under the previous document
)

// Sizes and bounds.
const (
	version       = 1
	MaxCandidates = 4
	// MaxHops bounds how often agents forward a datagram: to the possible owner, back, and on from two
	// leaving servers. One more hop would mean a loop between outdated views.
	MaxHops   = 4
	fixedSize = 6 + 8 + 8 + 18 + 18 + 4 + 8 + 2 + 1
	macSize   = 8
	// MaxSize is the size of the largest header in bytes.
	MaxSize = fixedSize + MaxCandidates*4 + macSize
	// MaxPayload is the size of the largest datagram that fits into one Ethernet frame behind the header, in
	// bytes: 1500 less IP and UDP headers and MaxSize. A larger datagram is dropped and counted. QUIC finds
	// the path MTU by such drops, while IP fragmentation would double the loss.
	MaxPayload = 1500 - 28 - MaxSize
)

// Errors of Parse, one for each reason.
var (
	ErrShort   = errors.New("frame is too short")
	ErrVersion = errors.New("frame is of an unknown version or kind")
	ErrService = errors.New("frame is of another service")
	ErrForged  = errors.New("frame is damaged or forged")
)

// Header is the header of a frame.
type Header struct {
	Kind       Kind
	Flags      Flag
	Hops       uint8          // how often agents have forwarded the datagram
	Service    uint64         // ident.ServiceTag
	Revision   order.Revision // revision of the service document that the sender has
	Caller     netip.AddrPort // caller that sent or receives the datagram; not set in Probe and Echo
	Entry      netip.AddrPort // link address of the entry
	Server     uint32         // Forward: ID of the server that is to receive it; else the sender's server ID
	Nonce      uint64         // Probe and Echo: matches the two; Return: the agent's process incarnation
	Load       uint16         // Return and Probe: share of slots and queue in use, in thousandths; may exceed 1000
	Candidates []uint32       // Forward, if the datagram names no server: servers that may own the flow, best first
}

// Append appends the header to b, authenticated with the key.
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

// Service returns the tag of the service that a frame belongs to, before the service's keys are known.
func Service(b []byte) (service uint64, err error) {
	if len(b) < fixedSize+macSize {
		return 0, ErrShort
	}
	return binary.BigEndian.Uint64(b[6:]), nil
}

// Parse reads a frame of the ring's service into h. The payload points into b. Candidates are stored in the
// memory of h.Candidates, so that a reused Header costs no allocation.
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
	end := fixedSize + int(b[5])*4
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
		h.Candidates = append(h.Candidates, binary.BigEndian.Uint32(b[fixedSize+4*i:]))
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
