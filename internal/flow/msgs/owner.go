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

// Find asks whether the receiver's server holds a flow; Ack is what the caller
// acknowledged last.
type Find struct {
	Head
	Flow segs.Flow
	Ack  uint32
}

// AppendTo appends the encoded message.
func (m *Find) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindFind)
	b = m.Flow.AppendTo(b)
	return binary.LittleEndian.AppendUint32(b, m.Ack)
}

// ReadFind reads the rest of a message.
func ReadFind(h Head, b []byte) (m Find, err error) {
	if len(b) < segs.Size+4 {
		return Find{}, ErrShort
	}
	return Find{Head: h, Flow: segs.FlowFrom(b), Ack: binary.LittleEndian.Uint32(b[segs.Size:])}, nil
}

// Verdict is what an agent knows of a flow that it was asked for.
type Verdict uint8

// The verdicts. Unsure means that the agent hasn't seen all of its server's flows.
const (
	Held Verdict = iota + 1
	NotHeld
	Unsure
)

// Found answers Find, and a Carry that was a probe.
type Found struct {
	Head
	Flow    segs.Flow
	Verdict Verdict
}

// AppendTo appends the encoded message.
func (m *Found) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindFound)
	b = m.Flow.AppendTo(b)
	return append(b, byte(m.Verdict))
}

// ReadFound reads the rest of a message.
func ReadFound(h Head, b []byte) (m Found, err error) {
	if len(b) < segs.Size+1 {
		return Found{}, ErrShort
	}
	return Found{Head: h, Flow: segs.FlowFrom(b), Verdict: Verdict(b[segs.Size])}, nil
}
