package msgs

import (
	"encoding/binary"

	"mangowinch/internal/flow/segs"
)

// Opened tells an entry that the server accepted a flow, and its first sequence number.
type Opened struct {
	Header
	Flow segs.Flow
	Seq  uint32
	Load Load
}

const openedSize = segs.FlowSize + 8

// AppendTo appends the encoded message.
func (m *Opened) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindOpened)
	b = m.Flow.AppendTo(b)
	b = binary.LittleEndian.AppendUint32(b, m.Seq)
	return appendLoad(b, m.Load)
}

// ReadOpened reads the rest of a message.
func ReadOpened(h Header, b []byte) (m Opened, err error) {
	if len(b) < openedSize {
		return Opened{}, ErrShort
	}
	return Opened{Header: h, Flow: segs.FlowFrom(b), Seq: binary.LittleEndian.Uint32(b[segs.FlowSize:]), Load: loadFrom(b[segs.FlowSize+4:])}, nil
}

// Owner tells an entry that the sender owns a flow. Gone says instead that nobody does. Open says that the server
// holds it; otherwise it waits to be opened.
type Owner struct {
	Header
	Flow    segs.Flow
	NoOwner bool
	Open    bool
}

// AppendTo appends the encoded message.
func (m *Owner) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindOwner)
	b = m.Flow.AppendTo(b)
	return append(b, flag(m.NoOwner)|flag(m.Open)<<1)
}

// ReadOwner reads the rest of a message.
func ReadOwner(h Header, b []byte) (m Owner, err error) {
	if len(b) < segs.FlowSize+1 {
		return Owner{}, ErrShort
	}
	return Owner{Header: h, Flow: segs.FlowFrom(b), NoOwner: b[segs.FlowSize]&1 != 0, Open: b[segs.FlowSize]&2 != 0}, nil
}

// Location is a flow and the first sequence number of the server that holds it.
type Location struct {
	Flow segs.Flow
	Seq  uint32
}

// MaxLocations is how many places fit into one datagram of 1,200 bytes, which passes
// any link unfragmented.
const MaxLocations = (1200 - headSize) / placeSize

const placeSize = segs.FlowSize + 4

// Register tells homes which flows the sender owns.
type Register struct {
	Header
	Locations []Location
}

// AppendTo appends the encoded message.
func (m *Register) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindRegister)
	for _, p := range m.Locations {
		b = p.Flow.AppendTo(b)
		b = binary.LittleEndian.AppendUint32(b, p.Seq)
	}
	return b
}

// ReadRegister reads the rest of a message.
func ReadRegister(h Header, b []byte) (m Register, err error) {
	if len(b)%placeSize != 0 {
		return Register{}, ErrShort
	}
	m = Register{Header: h}
	for ; len(b) > 0; b = b[placeSize:] {
		m.Locations = append(m.Locations, Location{Flow: segs.FlowFrom(b), Seq: binary.LittleEndian.Uint32(b[segs.FlowSize:])})
	}
	return m, nil
}
