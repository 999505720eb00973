package msgs

import (
	"encoding/binary"
	"net/netip"
)

// Ping asks a process whether it is alive, directly or through another process (an indirect probe): a
// receiver that is not Target relays the message to Target once. This distinguishes a broken path between two
// processes from a failed process.
type Ping struct {
	Header
	Target  netip.Addr
	Origin  netip.Addr // process that probes Target
	Relayed bool       // a process other than Origin has relayed it
	Round   uint32     // probe round of Origin, to match acknowledgements
}

const pingSize = 13

// AppendTo appends the encoded message.
func (m *Ping) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindPing)
	b = appendAddr(b, m.Target)
	b = appendAddr(b, m.Origin)
	b = append(b, flag(m.Relayed))
	return binary.LittleEndian.AppendUint32(b, m.Round)
}

// ReadPing decodes a message from the bytes after its header.
func ReadPing(h Header, b []byte) (m Ping, err error) {
	if len(b) < pingSize {
		return Ping{}, ErrShort
	}
	return Ping{Header: h, Target: addrFrom(b), Origin: addrFrom(b[4:]), Relayed: b[8] != 0, Round: binary.LittleEndian.Uint32(b[9:])}, nil
}

// PingAck acknowledges a Ping, along the path that the Ping took.
type PingAck struct {
	Header
	Target netip.Addr
	Origin netip.Addr
	Round  uint32 // Round of the Ping
}

const pingAckSize = 12

// AppendTo appends the encoded message.
func (m *PingAck) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindPingAck)
	b = appendAddr(b, m.Target)
	b = appendAddr(b, m.Origin)
	return binary.LittleEndian.AppendUint32(b, m.Round)
}

// ReadPingAck decodes a message from the bytes after its header.
func ReadPingAck(h Header, b []byte) (m PingAck, err error) {
	if len(b) < pingAckSize {
		return PingAck{}, ErrShort
	}
	return PingAck{Header: h, Target: addrFrom(b), Origin: addrFrom(b[4:]), Round: binary.LittleEndian.Uint32(b[8:])}, nil
}

// Failed names agents that the sender considers failed.
type Failed struct {
	Header
	Agents []FailedAgent
}

// FailedAgent is an agent that the failure detector has declared failed.
type FailedAgent struct {
	Agent netip.Addr
	Age   uint16 // milliseconds since the process that detected the failure declared it
}

const failedAgentSize = 6

// MaxFailed is the number of agents that fit into a datagram of 1,200 bytes.
const MaxFailed = (1200 - headerSize) / failedAgentSize

// AppendTo appends the encoded message.
func (m *Failed) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindFailed)
	for _, s := range m.Agents {
		b = binary.LittleEndian.AppendUint16(appendAddr(b, s.Agent), s.Age)
	}
	return b
}

// ReadFailed decodes a message from the bytes after its header.
func ReadFailed(h Header, b []byte) (m Failed, err error) {
	if len(b)%failedAgentSize != 0 {
		return Failed{}, ErrShort
	}
	m = Failed{Header: h}
	for ; len(b) > 0; b = b[failedAgentSize:] {
		m.Agents = append(m.Agents, FailedAgent{Agent: addrFrom(b), Age: binary.LittleEndian.Uint16(b[4:])})
	}
	return m, nil
}
