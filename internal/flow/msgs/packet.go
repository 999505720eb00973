package msgs

import (
	"encoding/binary"
	"net/netip"
)

// Forward is a caller's packet. Probe says that the receiver shall try its server although it doesn't know the flow.
type Forward struct {
	Header
	Origin     netip.Addr // the entry that took the packet from the caller
	Domain     uint8      // of Origin: belief.DomainHash of its failure domain
	Hops       uint8      // agents that have passed it on
	Probe      bool
	ToOwner    bool // the sender knows the receiver as the flow's owner
	LastResort bool // other agents have handed it back: a server that fails now and then is better than none
	AsHome     bool // the receiver is to act as the flow's home, whose place it takes: the home is lost
	Packet     []byte
}

const (
	carrySize = 6
	probeBit  = 0x80
	namedBit  = 0x40
	insistBit = 0x20
	homeBit   = 0x10
	hopsMask  = homeBit - 1
)

// AppendTo appends the encoded message.
func (m *Forward) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindForward)
	b = appendAddr(b, m.Origin)
	hops := m.Hops & hopsMask
	if m.Probe {
		hops |= probeBit
	}
	if m.ToOwner {
		hops |= namedBit
	}
	if m.LastResort {
		hops |= insistBit
	}
	if m.AsHome {
		hops |= homeBit
	}
	b = append(b, hops, m.Domain)
	return append(b, m.Packet...)
}

// ReadForward reads the rest of a message; Packet points into b.
func ReadForward(h Header, b []byte) (m Forward, err error) {
	if len(b) < carrySize {
		return Forward{}, ErrShort
	}
	return Forward{
		Header:     h,
		Origin:     addrFrom(b),
		Domain:     b[5],
		Hops:       b[4] & hopsMask,
		Probe:      b[4]&probeBit != 0,
		ToOwner:    b[4]&namedBit != 0,
		LastResort: b[4]&insistBit != 0,
		AsHome:     b[4]&homeBit != 0,
		Packet:     b[carrySize:],
	}, nil
}

// Visit is an agent that an opening packet has been at, and how busy its server was.
type Visit struct {
	Agent       netip.Addr
	Utilization uint16 // requests under way or about to come, in hundredths of the server's slots
}

// Offer is an opening packet that agents pass on in search of a less busy server. Final says
// that the receiver was the best of those visited and takes it.
type Offer struct {
	Header
	Origin     netip.Addr // the entry that placed it
	Final      bool
	LastResort bool // as in Carry
	Visited    []Visit
	Packet     []byte
}

const (
	offerSize = 6
	visitSize = 6
)

// AppendTo appends the encoded message.
func (m *Offer) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindOffer)
	b = appendAddr(b, m.Origin)
	b = append(b, flag(m.Final)|flag(m.LastResort)<<1, byte(len(m.Visited)))
	for _, v := range m.Visited {
		b = appendAddr(b, v.Agent)
		b = binary.LittleEndian.AppendUint16(b, v.Utilization)
	}
	return append(b, m.Packet...)
}

// ReadOffer reads the rest of a message; Packet points into b.
func ReadOffer(h Header, b []byte) (m Offer, err error) {
	if len(b) < offerSize || len(b) < offerSize+int(b[5])*visitSize {
		return Offer{}, ErrShort
	}
	m = Offer{Header: h, Origin: addrFrom(b), Final: b[4]&1 != 0, LastResort: b[4]&2 != 0}
	count := int(b[5])
	b = b[offerSize:]
	for range count {
		m.Visited = append(m.Visited, Visit{Agent: addrFrom(b), Utilization: binary.LittleEndian.Uint16(b[4:])})
		b = b[visitSize:]
	}
	m.Packet = b
	return m, nil
}

// Reason says why an agent didn't take an opening packet.
type Reason uint8

// The reasons.
const (
	ReasonServer       Reason = iota + 1 // the server returned it
	ReasonDown                           // nothing listens at the server's address
	ReasonDraining                       // the server takes no new flows
	ReasonLeaving                        // the agent is being stopped
	ReasonService                        // the agent's server belongs to another service
	ReasonRoute                          // a newer configuration doesn't let it
	ReasonTable                          // the agent's table is full
	ReasonBusy                           // more flows wait than can be served before their callers give up
	ReasonUnresponsive                   // the server doesn't answer
	ReasonFailing                        // the server breaks off its requests, or fails them at once
	ReasonEvacuated                      // the server's failure domain is evacuated
)

var whys = [...]string{ReasonServer: "server", ReasonDown: "down", ReasonDraining: "draining", ReasonLeaving: "leaving",
	ReasonService: "service", ReasonRoute: "route", ReasonTable: "table", ReasonBusy: "busy", ReasonUnresponsive: "mute", ReasonFailing: "fails", ReasonEvacuated: "evacuated"}

// String returns the reason as logs and counters show it.
func (w Reason) String() string {
	if int(w) < len(whys) && whys[w] != "" {
		return whys[w]
	}
	return "other"
}

// Refused hands an opening packet back to the entry, which may place it elsewhere:
// no server has taken it.
type Refused struct {
	Header
	Reason Reason
	Load   Load
	Packet []byte
}

const refusedSize = 5

// AppendTo appends the encoded message.
func (m *Refused) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindRefused)
	b = append(b, byte(m.Reason))
	b = appendLoad(b, m.Load)
	return append(b, m.Packet...)
}

// ReadRefused reads the rest of a message; Packet points into b.
func ReadRefused(h Header, b []byte) (m Refused, err error) {
	if len(b) < refusedSize {
		return Refused{}, ErrShort
	}
	return Refused{Header: h, Reason: Reason(b[0]), Load: loadFrom(b[1:]), Packet: b[refusedSize:]}, nil
}
