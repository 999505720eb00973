// Package msgs encodes and decodes the datagrams that entries and agents exchange about opaque flows.
//
// A datagram may be lost, delayed or duplicated, so no message depends on the arrival of another one. Each
// message carries the newest revision that its sender knows, so that a receiver with an older one learns of
// it from the traffic itself. The package makes no decisions and uses no sockets.
//
// # Usage
//
//	b = (&msgs.Forward{Header: header, Origin: self, Packet: packet}).AppendTo(b[:0])
//
//	h, rest, err := msgs.ReadHeader(datagram)
//	switch h.Kind {
//	case msgs.KindForward:
//		err = msgs.Handle(h, rest, msgs.ReadForward, forward)
//	}
package msgs

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/order"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds.
const (
	KindForward      Kind = iota + 1 // entry or agent to agent: a caller's packet
	KindOpened                       // agent to entry: the server has accepted the flow
	KindRefused                      // agent to entry: the agent or its server has not accepted this opening packet
	KindOwner                        // agent to entry: the sender owns the flow, or no agent does
	KindRegister                     // agent to home: the sender owns these flows
	KindQuery                        // lead to agents: asks whether their servers hold these flows
	KindQueryAnswer                  // agent to lead: answers KindQuery
	KindBeacon                       // any process to any: how current the sender's configuration is
	KindUpdate                       // any process to any: a change of the configuration or the servers
	KindOffer                        // agent to agent: an opening packet for a less busy server
	KindPing                         // any process to any: asks whether it, or a third process, is alive
	KindPingAck                      // answers KindPing
	KindLookup                       // home to lead: asks which agent holds the flow
	KindLookupResult                 // lead to home: answers KindLookup
	KindProbeResult                  // agent to the sender of a KindForward that was a probe: answers it
	KindFailed                       // entry to home, and between home and lead: these agents have failed
)

// NumKinds is the size of tables that are indexed by kind. No kind is 0.
const NumKinds = int(KindFailed) + 1

// kindNames holds the names of kinds in metrics.
var kindNames = [...]string{
	KindForward: "carry", KindOpened: "opened", KindRefused: "refused", KindOwner: "owner", KindRegister: "register", KindQuery: "find",
	KindQueryAnswer: "found", KindBeacon: "beacon", KindUpdate: "news", KindOffer: "offer", KindPing: "ask", KindPingAck: "alive",
	KindLookup: "seek", KindLookupResult: "sought", KindProbeResult: "tried", KindFailed: "lost",
}

// String returns the kind's name in metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return "other"
}

// CarriesPacket reports whether messages of the kind consist mainly of a caller's packet. All others are
// control messages.
func (k Kind) CarriesPacket() bool {
	switch k {
	case KindForward, KindOffer, KindRefused:
		return true
	default:
		return false
	}
}

// KindOf returns the kind of an encoded message, or 0 if the message is too short.
func KindOf(message []byte) Kind {
	if len(message) < headerSize {
		return 0
	}
	return Kind(message[1])
}

const (
	magic      = 0xd7 // first byte of every message
	headerSize = 14
)

// Errors of the Read functions.
var (
	ErrForeign = errors.New("datagram is not a mangowinch message")
	ErrShort   = errors.New("message truncated")
)

// Header is the common start of all messages.
type Header struct {
	Kind     Kind
	Revision order.Revision // newest revision up to which the sender knows all changes
	Service  uint32         // hash of the name of the service that the message is about, or 0
}

func (h Header) appendTo(b []byte, k Kind) []byte {
	b = append(b, magic, byte(k))
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Revision))
	return binary.LittleEndian.AppendUint32(b, h.Service)
}

// ReadHeader reads the header of a datagram and returns the rest of the datagram.
func ReadHeader(b []byte) (h Header, rest []byte, err error) {
	if len(b) < headerSize || b[0] != magic {
		return Header{}, nil, ErrForeign
	}
	h = Header{Kind: Kind(b[1]), Revision: order.Revision(binary.LittleEndian.Uint64(b[2:])), Service: binary.LittleEndian.Uint32(b[10:])}
	return h, b[headerSize:], nil
}

// Load describes how busy an agent's server is.
type Load struct {
	Busy  uint16 // requests that are unanswered or about to arrive (a flow is opened for one)
	Flows uint16 // open flows
}

// Handle reads the rest of a message with read and passes the message to handle.
func Handle[M any](h Header, rest []byte, read func(Header, []byte) (M, error), handle func(M)) error {
	m, err := read(h, rest)
	if err != nil {
		return err
	}
	handle(m)
	return nil
}

func flag(on bool) byte {
	if on {
		return 1
	}
	return 0
}

func appendAddr(b []byte, a netip.Addr) []byte {
	if !a.Is4() {
		return append(b, 0, 0, 0, 0)
	}
	four := a.As4()
	return append(b, four[:]...)
}

func addrFrom(b []byte) netip.Addr { return netip.AddrFrom4([4]byte(b)) }

func appendLoad(b []byte, l Load) []byte {
	b = binary.LittleEndian.AppendUint16(b, l.Busy)
	return binary.LittleEndian.AppendUint16(b, l.Flows)
}

func loadFrom(b []byte) Load {
	return Load{Busy: binary.LittleEndian.Uint16(b), Flows: binary.LittleEndian.Uint16(b[2:])}
}
