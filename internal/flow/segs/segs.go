// Package segs describes the packets of opaque flows: flows whose bytes only the two
// ends read, so that the balancer sees addresses, flags and sequence numbers alone.
//
// It exists so that whatever decides about such flows (packages owner, steer, edge,
// local) is written against one type and no wire format. The codec that turns
// datagrams into segments is handed in by whoever knows the format; this package
// has none and does no input or output.
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

// The flags. Returned marks a packet that a backend server handed back because it
// doesn't hold the flow or can't take it.
const (
	Syn Flags = 1 << iota
	Ack
	Fin
	Rst
	Returned
)

// Flow names one flow: the caller's end, then the address it called. All processes
// print it in the same way, so that one search over all logs gives a flow's way.
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

// ParseFlow reads what String writes.
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

// ServiceAddr returns the address that the caller called.
func (f Flow) ServiceAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.Service), f.Port)
}

// FlowSize is the length in bytes of a flow in messages.
const FlowSize = 12

// AppendTo appends the flow's bytes.
func (f Flow) AppendTo(b []byte) []byte {
	b = append(b, f.Caller[:]...)
	b = append(b, f.Service[:]...)
	return append(b, byte(f.CallerPort), byte(f.CallerPort>>8), byte(f.Port), byte(f.Port>>8))
}

// FlowFrom reads a flow that AppendTo wrote; b holds Size bytes or more.
func FlowFrom(b []byte) (f Flow) {
	copy(f.Caller[:], b)
	copy(f.Service[:], b[4:])
	f.CallerPort = uint16(b[8]) | uint16(b[9])<<8
	f.Port = uint16(b[10]) | uint16(b[11])<<8
	return f
}

// Hash is the same in every process. It decides which agent keeps the place of the
// flow and which flows are logged.
func (f Flow) Hash() uint64 {
	var b [FlowSize]byte
	return xxhash.Sum64(f.AppendTo(b[:0]))
}

// Segment is one packet. Flow is named from the caller's side in both directions.
type Segment struct {
	Flow       Flow
	FromServer bool // sent by a backend server; otherwise by a caller
	Flags      Flags
	Seq        uint32
	Ack        uint32 // of an opening packet: how many copies of it were sent before
	Len        int    // bytes of data
}

// Opening says whether the segment asks for a new flow.
func (s *Segment) Opening() bool { return s.Flags&(Syn|Ack) == Syn }

// Accepting says whether the segment is a backend server's answer to an opening one.
func (s *Segment) Accepting() bool { return s.Flags&(Syn|Ack) == Syn|Ack }

// Has says whether all the flags are set.
func (s *Segment) Has(f Flags) bool { return s.Flags&f == f }

// Distance is how many bytes of a server that began at seq the acknowledgement covers. Servers
// begin at random numbers, so of two servers that accepted the same flow the caller's is
// the one with the lesser distance.
func Distance(ack, seq uint32) uint32 { return ack - seq - 1 }

// firstData bounds what a server can have sent when the caller's first packet after the
// handshake is seen: 16 packets in flight of 1,200 bytes. A foreign number fits by chance
// once in 200,000 flows that two servers accepted.
const firstData = 16 * 1200

// IsFirstAck says whether ack can be a caller's first one to a server that began at seq.
func IsFirstAck(ack, seq uint32) bool { return Distance(ack, seq) <= firstData }

// End is an end of a flow. Nothing in a packet tells which end wrote it; the socket that it
// came to does.
type End bool

// The ends.
const (
	CallerEnd End = false
	ServerEnd End = true
)

// Codec turns datagrams into segments and back.
type Codec interface {
	// Decode reads a datagram that an end sent. A returned one counts as the caller's. The result
	// holds no reference to the datagram.
	Decode(datagram []byte, end End) (Segment, error)
	// Restore makes a returned datagram what its sender wrote, in place.
	Restore(datagram []byte)
	// Reset appends a packet that ends the flow of the caller's segment.
	Reset(b []byte, caller Segment) []byte
}
