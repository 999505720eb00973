package msgs

import (
	"encoding/binary"
	"net/netip"
)

// Role is the role of a process in a beacon.
type Role uint8

// The roles.
const (
	Entry Role = iota + 1
	Agent
)

// Beacon says how much its sender knows. Head.Revision is complete up to Age ago.
type Beacon struct {
	Header
	Role         Role
	Domain       uint8        // belief.DomainHash of the sender's failure domain
	Reader       bool         // the sender reads the platform itself
	PlatformDown bool         // the sender calls the platform and gets no answer
	Leaving      bool         // the sender is being stopped
	WantReply    bool         // wants a beacon back
	Age          uint32       // milliseconds; maxAge stands for never
	Readers      []Reader     // others that the sender knows to read the platform
	Peers        []netip.Addr // a few entries that the sender has heard of
}

// Reader is a process that reads the platform.
type Reader struct {
	Process netip.Addr
	Age     uint16 // milliseconds since it was heard to read, by whomever
}

const readerSize = 6

// MaxAge is the age in milliseconds of what was never known.
const MaxAge = ^uint32(0)

const beaconSize = 8

// AppendTo appends the encoded message.
func (m *Beacon) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindBeacon)
	b = append(b, byte(m.Role), m.Domain, flag(m.Reader)|flag(m.Leaving)<<1|flag(m.WantReply)<<2|flag(m.PlatformDown)<<3)
	b = binary.LittleEndian.AppendUint32(b, m.Age)
	b = append(b, byte(len(m.Readers)))
	for _, r := range m.Readers {
		b = binary.LittleEndian.AppendUint16(appendAddr(b, r.Process), r.Age)
	}
	for _, p := range m.Peers {
		b = appendAddr(b, p)
	}
	return b
}

// ReadBeacon reads the rest of a message.
func ReadBeacon(h Header, b []byte) (m Beacon, err error) {
	if len(b) < beaconSize || len(b) < beaconSize+int(b[beaconSize-1])*readerSize {
		return Beacon{}, ErrShort
	}
	m = Beacon{Header: h, Role: Role(b[0]), Domain: b[1], Reader: b[2]&1 != 0, Leaving: b[2]&2 != 0, WantReply: b[2]&4 != 0, PlatformDown: b[2]&8 != 0}
	m.Age = binary.LittleEndian.Uint32(b[3:])
	count := int(b[beaconSize-1])
	b = b[beaconSize:]
	for range count {
		m.Readers = append(m.Readers, Reader{Process: addrFrom(b), Age: binary.LittleEndian.Uint16(b[4:])})
		b = b[readerSize:]
	}
	for ; len(b) >= 4; b = b[4:] {
		m.Peers = append(m.Peers, addrFrom(b))
	}
	return m, nil
}

// Update carries an encoded change of what is known.
type Update struct {
	Header
	Change []byte
}

// AppendTo appends the encoded message.
func (m *Update) AppendTo(b []byte) []byte { return append(m.appendTo(b, KindUpdate), m.Change...) }
