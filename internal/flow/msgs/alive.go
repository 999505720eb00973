package msgs

import (
	"encoding/binary"
	"net/netip"
)

// Ping asks a process whether it is alive, directly or by way of another one: who gets it and isn't
// Target hands it on to Target once. So a broken way between two processes is told from a process that is gone.
type Ping struct {
	Header
	Target  netip.Addr
	Origin  netip.Addr // who wants to know
	Relayed bool       // it has been handed on
	Round   uint32     // of questions, by which Origin knows the answers
}

const askSize = 13

// AppendTo appends the encoded message.
func (m *Ping) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindPing)
	b = appendAddr(b, m.Target)
	b = appendAddr(b, m.Origin)
	b = append(b, flag(m.Relayed))
	return binary.LittleEndian.AppendUint32(b, m.Round)
}

// ReadPing reads the rest of a message.
func ReadPing(h Header, b []byte) (m Ping, err error) {
	if len(b) < askSize {
		return Ping{}, ErrShort
	}
	return Ping{Header: h, Target: addrFrom(b), Origin: addrFrom(b[4:]), Relayed: b[8] != 0, Round: binary.LittleEndian.Uint32(b[9:])}, nil
}

// PingAck answers Ask, by the way that it came.
type PingAck struct {
	Header
	Target netip.Addr
	Origin netip.Addr
	Round  uint32 // of the question
}

const aliveSize = 12

// AppendTo appends the encoded message.
func (m *PingAck) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindPingAck)
	b = appendAddr(b, m.Target)
	b = appendAddr(b, m.Origin)
	return binary.LittleEndian.AppendUint32(b, m.Round)
}

// ReadPingAck reads the rest of a message.
func ReadPingAck(h Header, b []byte) (m PingAck, err error) {
	if len(b) < aliveSize {
		return PingAck{}, ErrShort
	}
	return PingAck{Header: h, Target: addrFrom(b), Origin: addrFrom(b[4:]), Round: binary.LittleEndian.Uint32(b[8:])}, nil
}

// Failed names agents that answer nobody.
type Failed struct {
	Header
	Agents []FailedAgent
}

// FailedAgent is an agent that answers nobody.
type FailedAgent struct {
	Agent netip.Addr
	Age   uint16 // milliseconds since whoever found out was sure of it
}

const silentSize = 6

// MaxFailed is how many agents fit into a datagram of 1,200 bytes.
const MaxFailed = (1200 - headSize) / silentSize

// AppendTo appends the encoded message.
func (m *Failed) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindFailed)
	for _, s := range m.Agents {
		b = binary.LittleEndian.AppendUint16(appendAddr(b, s.Agent), s.Age)
	}
	return b
}

// ReadFailed reads the rest of a message.
func ReadFailed(h Header, b []byte) (m Failed, err error) {
	if len(b)%silentSize != 0 {
		return Failed{}, ErrShort
	}
	m = Failed{Header: h}
	for ; len(b) > 0; b = b[silentSize:] {
		m.Agents = append(m.Agents, FailedAgent{Agent: addrFrom(b), Age: binary.LittleEndian.Uint16(b[4:])})
	}
	return m, nil
}
