package msgs

import (
	"encoding/binary"
	"net/netip"
)

// Forward carries a caller's packet. With Probe, the receiver is to send the packet to its server even if it
// does not know the flow.
type Forward struct {
	Header
	Origin netip.Addr // entry that received the packet from the caller
	Domain uint8      // of Origin: belief.DomainHash of its failure domain
	// Hops is the number of agents that have forwarded the packet. In an opening packet, which agents pass on by
	// Offer instead, it is the level of what the caller uses already (package usage), at most maxUsage.
	Hops  uint8
	Probe bool
	// ToOwner is set if the sender knows that the receiver owns the flow. In an opening packet it asks the receiver to take
	// the flow, or to return it, and not to offer it to others.
	ToOwner    bool
	LastResort bool // other agents have returned the packet: a server that fails intermittently is better than none
	AsHome     bool // the receiver is to act as the flow's home, because the home has failed
	Packet     []byte
}

const (
	forwardSize   = 6
	probeBit      = 0x80
	toOwnerBit    = 0x40
	lastResortBit = 0x20
	homeBit       = 0x10
	hopsMask      = homeBit - 1
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
		hops |= toOwnerBit
	}
	if m.LastResort {
		hops |= lastResortBit
	}
	if m.AsHome {
		hops |= homeBit
	}
	b = append(b, hops, m.Domain)
	return append(b, m.Packet...)
}

// ReadForward decodes a message from the bytes after its header. Packet points into b.
func ReadForward(h Header, b []byte) (m Forward, err error) {
	if len(b) < forwardSize {
		return Forward{}, ErrShort
	}
	return Forward{
		Header:     h,
		Origin:     addrFrom(b),
		Domain:     b[5],
		Hops:       b[4] & hopsMask,
		Probe:      b[4]&probeBit != 0,
		ToOwner:    b[4]&toOwnerBit != 0,
		LastResort: b[4]&lastResortBit != 0,
		AsHome:     b[4]&homeBit != 0,
		Packet:     b[forwardSize:],
	}, nil
}

// Visit is an agent that an opening packet has visited, and how busy its server was.
type Visit struct {
	Agent       netip.Addr
	Utilization uint16 // requests in progress or expected, in hundredths of the server's slots
}

// Offer carries an opening packet that agents offer to each other to find a less busy server. With Final, the
// receiver's server was the least busy one visited, and the receiver has to take the flow.
type Offer struct {
	Header
	Origin     netip.Addr // entry that placed the flow
	Final      bool
	LastResort bool // as in Forward
	Visited    []Visit
	Packet     []byte
	Usage      uint8 // level of what the caller uses already (package usage), at most maxUsage
}

const (
	offerSize = 6
	visitSize = 6
	// The level is in bits of the flags that older processes ignore.
	usageShift = 2
	maxUsage   = 15
)

// AppendTo appends the encoded message.
func (m *Offer) AppendTo(b []byte) []byte {
	b = m.appendTo(b, KindOffer)
	b = appendAddr(b, m.Origin)
	b = append(b, flag(m.Final)|flag(m.LastResort)<<1|min(m.Usage, maxUsage)<<usageShift, byte(len(m.Visited)))
	for _, v := range m.Visited {
		b = appendAddr(b, v.Agent)
		b = binary.LittleEndian.AppendUint16(b, v.Utilization)
	}
	return append(b, m.Packet...)
}

// ReadOffer decodes a message from the bytes after its header. Packet points into b.
func ReadOffer(h Header, b []byte) (m Offer, err error) {
	if len(b) < offerSize || len(b) < offerSize+int(b[5])*visitSize {
		return Offer{}, ErrShort
	}
	m = Offer{Header: h, Origin: addrFrom(b), Final: b[4]&1 != 0, LastResort: b[4]&2 != 0, Usage: b[4] >> usageShift & maxUsage}
	count := int(b[5])
	b = b[offerSize:]
	for range count {
		m.Visited = append(m.Visited, Visit{Agent: addrFrom(b), Utilization: binary.LittleEndian.Uint16(b[4:])})
		b = b[visitSize:]
	}
	m.Packet = b
	return m, nil
}

// Reason is the reason why an agent did not accept an opening packet.
type Reason uint8

// The reasons.
const (
	ReasonServer       Reason = iota + 1 // the server returned the packet
	ReasonDown                           // no process listens at the server's address
	ReasonDraining                       // the server takes no new flows
	ReasonLeaving                        // the agent is being stopped
	ReasonService                        // the agent's server belongs to another service
	ReasonRoute                          // a newer configuration does not allow it
	ReasonTable                          // the agent's table is full
	ReasonBusy                           // more flows wait than the server can take before their callers give up
	ReasonUnresponsive                   // the server does not answer
	ReasonFailing                        // the server aborts its requests or fails them at once
	ReasonEvacuated                      // the server's failure domain is evacuated
)

var reasonNames = [...]string{ReasonServer: "server", ReasonDown: "down", ReasonDraining: "draining", ReasonLeaving: "leaving",
	ReasonService: "service", ReasonRoute: "route", ReasonTable: "table", ReasonBusy: "busy", ReasonUnresponsive: "mute", ReasonFailing: "fails", ReasonEvacuated: "evacuated"}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) && reasonNames[r] != "" {
		return reasonNames[r]
	}
	return "other"
}

// Refused returns an opening packet to the entry, which may place it elsewhere, because no server has
// accepted it.
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

// ReadRefused decodes a message from the bytes after its header. Packet points into b.
func ReadRefused(h Header, b []byte) (m Refused, err error) {
	if len(b) < refusedSize {
		return Refused{}, ErrShort
	}
	return Refused{Header: h, Reason: Reason(b[0]), Load: loadFrom(b[1:]), Packet: b[refusedSize:]}, nil
}
