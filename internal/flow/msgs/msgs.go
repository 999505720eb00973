// Package msgs encodes the datagrams that entries and agents send each other about
// opaque flows.
//
// A datagram may be lost, late or doubled; no message needs another one to have come. Each carries
// the newest revision its sender knows, so that whoever is behind learns it from
// the traffic itself. The package decides nothing and knows no socket.
//
// # Usage
//
//	b = msgs.Forward{Head: head, Origin: self, Packet: packet}.AppendTo(b[:0])
//	switch m := msgs.Decode(datagram).(type) { ... }
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
	KindForward      Kind = iota + 1 // a caller's packet on its way to an agent
	KindOpened                       // agent to entry: the server accepted the flow
	KindRefused                      // agent to entry: the server didn't take this opening packet
	KindOwner                        // agent to entry: send the flow's packets to me
	KindRegister                     // agent to home: I own these flows
	KindQuery                        // lead to agents: do you hold these flows?
	KindQueryAnswer                  // the answer to it
	KindBeacon                       // to any: how much I know
	KindUpdate                       // to any: what changed
	KindOffer                        // agent to agent: do you have more room for this flow?
	KindPing                         // to any: are you alive, or is that other one?
	KindPingAck                      // the answer to it
	KindLookup                       // home to lead: who holds this flow?
	KindLookupResult                 // the answer to it
	KindProbeResult                  // the answer to a Carry that was a probe
	KindFailed                       // entry to home, between home and lead: these agents answer nobody
)

// NumKinds is more than any kind, for tables by kind; 0 is none.
const NumKinds = int(KindFailed) + 1

// kinds are the names of kinds in counters.
var kinds = [...]string{
	KindForward: "carry", KindOpened: "opened", KindRefused: "refused", KindOwner: "owner", KindRegister: "register", KindQuery: "find",
	KindQueryAnswer: "found", KindBeacon: "beacon", KindUpdate: "news", KindOffer: "offer", KindPing: "ask", KindPingAck: "alive",
	KindLookup: "seek", KindLookupResult: "sought", KindProbeResult: "tried", KindFailed: "lost",
}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) < len(kinds) && kinds[k] != "" {
		return kinds[k]
	}
	return "other"
}

// CarriesPacket says whether messages of the kind are a caller's packet and little else. All others are control.
func (k Kind) CarriesPacket() bool {
	switch k {
	case KindForward, KindOffer, KindRefused:
		return true
	default:
		return false
	}
}

// KindOf returns the kind of an encoded message, or 0.
func KindOf(message []byte) Kind {
	if len(message) < headSize {
		return 0
	}
	return Kind(message[1])
}

const (
	magic    = 0xd7 // first byte of every message
	headSize = 14
)

// Errors of Decode.
var (
	ErrForeign = errors.New("not a message of ours")
	ErrShort   = errors.New("message cut short")
)

// Header is what every message begins with.
type Header struct {
	Kind     Kind
	Revision order.Revision // the newest that the sender knows completely
	Service  uint32         // hash of the service's name the message is about, or 0
}

func (h Header) appendTo(b []byte, k Kind) []byte {
	b = append(b, magic, byte(k))
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Revision))
	return binary.LittleEndian.AppendUint32(b, h.Service)
}

// ReadHeader reads the head of a datagram and returns what follows it.
func ReadHeader(b []byte) (h Header, rest []byte, err error) {
	if len(b) < headSize || b[0] != magic {
		return Header{}, nil, ErrForeign
	}
	h = Header{Kind: Kind(b[1]), Revision: order.Revision(binary.LittleEndian.Uint64(b[2:])), Service: binary.LittleEndian.Uint32(b[10:])}
	return h, b[headSize:], nil
}

// Load is how busy an agent's server is.
type Load struct {
	Busy  uint16 // requests under way: sent by callers and not answered yet
	Flows uint16 // open flows
}

// Handle reads the rest of a message and hands it to take.
func Handle[M any](h Header, rest []byte, read func(Header, []byte) (M, error), take func(M)) error {
	m, err := read(h, rest)
	if err != nil {
		return err
	}
	take(m)
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
