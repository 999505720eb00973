package msgs

import (
	"encoding/binary"

	"mangowinch/internal/flow/segs"
)

// Opened tells an entry that the server accepted a flow, and its first sequence number.
type Opened struct {
	Head
	Flow segs.Flow
	Seq  uint32
	Load Load
}

const openedSize = segs.Size + 8

// AppendTo appends the encoded message.
func (m *Opened) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindOpened)
	b = m.Flow.AppendTo(b)
	b = binary.LittleEndian.AppendUint32(b, m.Seq)
	return appendLoad(b, m.Load)
}

// ReadOpened reads the rest of a message.
func ReadOpened(h Head, b []byte) (m Opened, err error) {
	if len(b) < openedSize {
		return Opened{}, ErrShort
	}
	return Opened{Head: h, Flow: segs.FlowFrom(b), Seq: binary.LittleEndian.Uint32(b[segs.Size:]), Load: loadFrom(b[segs.Size+4:])}, nil
}

// Owner tells an entry that the sender owns a flow. Gone says instead that nobody does. Open says that the server
// holds it; otherwise it waits to be opened.
type Owner struct {
	Head
	Flow segs.Flow
	Gone bool
	Open bool
}

// AppendTo appends the encoded message.
func (m *Owner) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindOwner)
	b = m.Flow.AppendTo(b)
	return append(b, flag(m.Gone)|flag(m.Open)<<1)
}

// ReadOwner reads the rest of a message.
func ReadOwner(h Head, b []byte) (m Owner, err error) {
	if len(b) < segs.Size+1 {
		return Owner{}, ErrShort
	}
	return Owner{Head: h, Flow: segs.FlowFrom(b), Gone: b[segs.Size]&1 != 0, Open: b[segs.Size]&2 != 0}, nil
}

// Place is a flow and the first sequence number of the server that holds it.
type Place struct {
	Flow segs.Flow
	Seq  uint32
}

// MaxPlaces is how many places fit into one datagram of 1,200 bytes, which passes
// any link unfragmented.
const MaxPlaces = (1200 - headSize) / placeSize

const placeSize = segs.Size + 4

// Register tells homes which flows the sender owns.
type Register struct {
	Head
	Places []Place
}

// AppendTo appends the encoded message.
func (m *Register) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindRegister)
	for _, p := range m.Places {
		b = p.Flow.AppendTo(b)
		b = binary.LittleEndian.AppendUint32(b, p.Seq)
	}
	return b
}

// ReadRegister reads the rest of a message.
func ReadRegister(h Head, b []byte) (m Register, err error) {
	if len(b)%placeSize != 0 {
		return Register{}, ErrShort
	}
	m = Register{Head: h}
	for ; len(b) > 0; b = b[placeSize:] {
		m.Places = append(m.Places, Place{Flow: segs.FlowFrom(b), Seq: binary.LittleEndian.Uint32(b[segs.Size:])})
	}
	return m, nil
}
