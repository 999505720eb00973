package queue

import (
	"net/netip"

	"mangowinch/internal/conf/docs"
)

// Prefix lengths by which callers outside every declared network are told
// apart: what one site commonly holds, so that it cannot multiply itself by
// taking more addresses of its own.
const (
	siteBits4 = 24
	siteBits6 = 48
)

// Caller is the party that a request counts against: a caller that the document
// names, or, with an empty name, the network of a site that it does not name.
type Caller struct {
	Name    string
	Network netip.Prefix // only for callers without a name
}

// String returns the caller's name, or its network.
func (c Caller) String() string {
	if c.Name != "" {
		return c.Name
	}
	return c.Network.String()
}

// MarshalText gives the caller as /status shows it. It never fails.
func (c Caller) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Identify returns the caller that a source address counts as. The longest
// declared network wins. The address is one that has answered a QUIC handshake, so
// it cannot be forged; connections, ports and request keys, which a caller can
// multiply at will, play no part.
func Identify(callers []docs.Caller, source netip.Addr) Caller {
	source = source.Unmap()
	best, name := -1, ""
	for _, c := range callers {
		for _, n := range c.Networks {
			if n.Contains(source) && n.Bits() > best {
				best, name = n.Bits(), c.Name
			}
		}
	}
	if best >= 0 {
		return Caller{Name: name}
	}
	bits := siteBits4
	if source.Is6() {
		bits = siteBits6
	}
	// The length fits every valid address; an invalid one gives the zero prefix.
	network, _ := source.Prefix(bits)
	return Caller{Network: network}
}
