// Package segs describes the packets of opaque flows. Only the two ends read the contents of such flows; the
// balancer sees addresses, flags and sequence numbers alone.
//
// The packages that make decisions about opaque flows (owner, steer, edge, local) depend on the types of this
// package and not on a wire format. The Codec that translates between datagrams and segments is provided by
// the package that implements the format. This package contains none and does no input or output.
//
// # Usage
//
//	seg, err := codec.Decode(datagram, segs.CallerEnd)
//	if seg.Opening() {
//		place(seg.Flow)
//	}
package segs

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Flags are the flags of a segment.
type Flags uint8

// The flags. Returned marks a packet that a backend server returned because it does not hold the flow or
// cannot accept it.
const (
	Syn Flags = 1 << iota
	Ack
	Fin
	Rst
	Returned
)

// Flow identifies a flow by the caller's address and the service address that it called. All processes print
// it in the same way, so that a single search over all logs shows a flow's path.
type Flow struct {
	Caller     [4]byte
	Service    [4]byte
	CallerPort uint16
	Port       uint16
}

// String returns the flow as CALLER:PORT>ADDRESS:PORT.
func (f Flow) String() string {
	b := make([]byte, 0, 48)
	b = netip.AddrFrom4(f.Caller).AppendTo(b)
	b = append(b, ':')
	b = strconv.AppendUint(b, uint64(f.CallerPort), 10)
	b = append(b, '>')
	b = netip.AddrFrom4(f.Service).AppendTo(b)
	b = append(b, ':')
	return string(strconv.AppendUint(b, uint64(f.Port), 10))
}

// ParseFlow parses the format of Flow.String.
func ParseFlow(text string) (f Flow, err error) {
	for i := range text {
		if text[i] != '>' {
			continue
		}
		caller, err := netip.ParseAddrPort(text[:i])
		if err != nil {
			return Flow{}, err
		}
		called, err := netip.ParseAddrPort(text[i+1:])
		if err != nil {
			return Flow{}, err
		}
		if !caller.Addr().Is4() || !called.Addr().Is4() {
			return Flow{}, fmt.Errorf("%q: not IPv4", text)
		}
		return Flow{caller.Addr().As4(), called.Addr().As4(), caller.Port(), called.Port()}, nil
	}
	return Flow{}, fmt.Errorf("%q is not CALLER:PORT>ADDRESS:PORT", text)
}

// ServiceAddr returns the address and port that the caller called.
func (f Flow) ServiceAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.Service), f.Port)
}

// FlowSize is the length of an encoded flow in bytes.
const FlowSize = 12

// AppendTo appends the encoded flow.
func (f Flow) AppendTo(b []byte) []byte {
	b = append(b, f.Caller[:]...)
	b = append(b, f.Service[:]...)
	return append(b, byte(f.CallerPort), byte(f.CallerPort>>8), byte(f.Port), byte(f.Port>>8))
}

// FlowFrom decodes a flow that AppendTo encoded. b holds at least FlowSize bytes.
func FlowFrom(b []byte) (f Flow) {
	copy(f.Caller[:], b)
	copy(f.Service[:], b[4:])
	f.CallerPort = uint16(b[8]) | uint16(b[9])<<8
	f.Port = uint16(b[10]) | uint16(b[11])<<8
	return f
}

// Hash returns a hash that is the same in every process. It determines the flow's home and which flows are
// logged.
func (f Flow) Hash() uint64 {
	var b [FlowSize]byte
	return xxhash.Sum64(f.AppendTo(b[:0]))
}

// Segment is one packet. Flow is the same in both directions: the caller's address comes first.
type Segment struct {
	Flow       Flow
	FromServer bool // sent by a backend server; otherwise by a caller
	Flags      Flags
	Seq        uint32
	Ack        uint32 // in an opening packet: number of copies sent before it
	Len        int    // bytes of data
}

// Opening reports whether the segment is an opening packet.
func (s *Segment) Opening() bool { return s.Flags&(Syn|Ack) == Syn }

// Accepting reports whether the segment is a backend server's positive answer to an opening packet.
func (s *Segment) Accepting() bool { return s.Flags&(Syn|Ack) == Syn|Ack }

// Has reports whether all the flags f are set.
func (s *Segment) Has(f Flags) bool { return s.Flags&f == f }

// Distance returns how many bytes of a server whose first sequence number is seq are covered by the
// acknowledgement ack. Servers start at random sequence numbers, so if two servers accepted the same flow,
// the one with the lesser distance is the one that the caller acknowledges.
func Distance(ack, seq uint32) uint32 { return ack - seq - 1 }

// maxFirstData bounds the bytes that a server can have sent when the caller's first packet after the
// handshake arrives: 16 packets in flight of 1,200 bytes. The acknowledgement of another server's data is
// within this bound by chance for one in 200,000 flows that two servers accepted.
const maxFirstData = 16 * 1200

// IsFirstAck reports whether ack can be a caller's first acknowledgement of a server whose first sequence
// number is seq.
func IsFirstAck(ack, seq uint32) bool { return Distance(ack, seq) <= maxFirstData }

// End is an end of a flow. A packet does not show which end sent it; this follows from the socket that
// received it.
type End bool

// The ends.
const (
	CallerEnd End = false
	ServerEnd End = true
)

// Codec translates between datagrams and segments.
type Codec interface {
	// Decode decodes a datagram that an end sent. A returned datagram counts as the caller's. The result
	// holds no reference to the datagram.
	Decode(datagram []byte, end End) (Segment, error)
	// Restore converts a returned datagram, in place, to the one that its sender wrote.
	Restore(datagram []byte)
	// Reset appends a packet that ends the flow to which the caller's segment belongs.
	Reset(b []byte, caller Segment) []byte
}
