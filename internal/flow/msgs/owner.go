package msgs

import (
	"encoding/binary"

	"mangowinch/internal/flow/segs"
)

// Opened notifies an entry that the server has accepted a flow, with its first sequence number.
type Opened struct {
	Header
	Flow segs.Flow
	Seq  uint32
	Load Load
	Estimate
}

const openedSize = segs.FlowSize + 8

// AppendTo appends the encoded message.
func (m *Opened) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindOpened)
	b = m.Flow.AppendTo(b)
	b = binary.LittleEndian.AppendUint32(b, m.Seq)
	return appendEstimate(appendLoad(b, m.Load), m.Estimate)
}

// ReadOpened decodes a message from the bytes after its header.
func ReadOpened(h Header, b []byte) (m Opened, err error) {
	if len(b) < openedSize {
		return Opened{}, ErrShort
	}
	return Opened{
		Header:   h,
		Flow:     segs.FlowFrom(b),
		Seq:      binary.LittleEndian.Uint32(b[segs.FlowSize:]),
		Load:     loadFrom(b[segs.FlowSize+4:]),
		Estimate: estimateFrom(b[openedSize:]),
	}, nil
}

// Owner notifies an entry that the sender owns a flow or, with NoOwner, that no agent does. With Open, the
// server holds the flow; otherwise the flow waits to be opened.
type Owner struct {
	Header
	Flow    segs.Flow
	NoOwner bool
	Open    bool
	Estimate
}

const ownerSize = segs.FlowSize + 1

// AppendTo appends the encoded message.
func (m *Owner) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindOwner)
	b = m.Flow.AppendTo(b)
	b = append(b, flag(m.NoOwner)|flag(m.Open)<<1)
	return appendEstimate(b, m.Estimate)
}

// ReadOwner decodes a message from the bytes after its header.
func ReadOwner(h Header, b []byte) (m Owner, err error) {
	if len(b) < ownerSize {
		return Owner{}, ErrShort
	}
	flags := b[segs.FlowSize]
	return Owner{Header: h, Flow: segs.FlowFrom(b), NoOwner: flags&1 != 0, Open: flags&2 != 0, Estimate: estimateFrom(b[ownerSize:])}, nil
}

// Location is a flow's location record: the flow and the first sequence number of the server that holds it.
type Location struct {
	Flow segs.Flow
	Seq  uint32
}

// MaxLocations is the number of locations that fit into a datagram of 1,200 bytes, which passes any link
// unfragmented.
const MaxLocations = (1200 - headerSize) / locationSize

const locationSize = segs.FlowSize + 4

// Register notifies homes which flows the sender owns.
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

// ReadRegister decodes a message from the bytes after its header.
func ReadRegister(h Header, b []byte) (m Register, err error) {
	if len(b)%locationSize != 0 {
		return Register{}, ErrShort
	}
	m = Register{Header: h}
	for ; len(b) > 0; b = b[locationSize:] {
		m.Locations = append(m.Locations, Location{Flow: segs.FlowFrom(b), Seq: binary.LittleEndian.Uint32(b[segs.FlowSize:])})
	}
	return m, nil
}
