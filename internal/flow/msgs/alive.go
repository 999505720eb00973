package msgs

import (
	"encoding/binary"
	"net/netip"
)

// Ask asks a process whether it is alive, directly or by way of another one: who gets it and isn't
// Target hands it on to Target once. So a broken way between two processes is told from a process that is gone.
type Ask struct {
	Head
	Target  netip.Addr
	Origin  netip.Addr // who wants to know
	Relayed bool       // it has been handed on
	Round   uint32     // of questions, by which Origin knows the answers
}

const askSize = 13

// AppendTo appends the encoded message.
func (m *Ask) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindAsk)
	b = appendAddr(b, m.Target)
	b = appendAddr(b, m.Origin)
	b = append(b, flag(m.Relayed))
	return binary.LittleEndian.AppendUint32(b, m.Round)
}

// ReadAsk reads the rest of a message.
func ReadAsk(h Head, b []byte) (m Ask, err error) {
	if len(b) < askSize {
		return Ask{}, ErrShort
	}
	return Ask{Head: h, Target: addrFrom(b), Origin: addrFrom(b[4:]), Relayed: b[8] != 0, Round: binary.LittleEndian.Uint32(b[9:])}, nil
}

// Alive answers Ask, by the way that it came.
type Alive struct {
	Head
	Target netip.Addr
	Origin netip.Addr
	Round  uint32 // of the question
}

const aliveSize = 12

// AppendTo appends the encoded message.
func (m *Alive) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindAlive)
	b = appendAddr(b, m.Target)
	b = appendAddr(b, m.Origin)
	return binary.LittleEndian.AppendUint32(b, m.Round)
}

// ReadAlive reads the rest of a message.
func ReadAlive(h Head, b []byte) (m Alive, err error) {
	if len(b) < aliveSize {
		return Alive{}, ErrShort
	}
	return Alive{Head: h, Target: addrFrom(b), Origin: addrFrom(b[4:]), Round: binary.LittleEndian.Uint32(b[8:])}, nil
}

// Lost names agents that answer nobody.
type Lost struct {
	Head
	Agents []Silent
}

// Silent is an agent that answers nobody.
type Silent struct {
	Agent netip.Addr
	Age   uint16 // milliseconds since whoever found out was sure of it
}

const silentSize = 6

// MaxLost is how many agents fit into a datagram of 1,200 bytes.
const MaxLost = (1200 - headSize) / silentSize

// AppendTo appends the encoded message.
func (m *Lost) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindLost)
	for _, s := range m.Agents {
		b = binary.LittleEndian.AppendUint16(appendAddr(b, s.Agent), s.Age)
	}
	return b
}

// ReadLost reads the rest of a message.
func ReadLost(h Head, b []byte) (m Lost, err error) {
	if len(b)%silentSize != 0 {
		return Lost{}, ErrShort
	}
	m = Lost{Head: h}
	for ; len(b) > 0; b = b[silentSize:] {
		m.Agents = append(m.Agents, Silent{Agent: addrFrom(b), Age: binary.LittleEndian.Uint16(b[4:])})
	}
	return m, nil
}
