package queue

import (
	"net/netip"

	"mangowinch/internal/conf/docs"
)

// Prefix lengths that identify callers outside every declared network. They are the sizes commonly
// assigned to one site, so that a site does not become several callers by using more of its own addresses.
const (
	siteBits4 = 24
	siteBits6 = 48
)

// DefaultSiteBits is the prefix length of the network of a site, for IPv4 addresses.
const DefaultSiteBits = siteBits4

// Caller is the party that a request is charged to: a caller named in the document, or, if Name is empty,
// the network of a site that the document does not name.
type Caller struct {
	Name    string
	Network netip.Prefix // set only for callers without a name
}

// String returns the caller's name, or its network.
func (c Caller) String() string {
	if c.Name != "" {
		return c.Name
	}
	return c.Network.String()
}

// MarshalText returns the caller as shown by /status. It never fails.
func (c Caller) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Identify returns the caller of a source address. The longest declared network that contains the address
// wins. The address has completed a QUIC handshake and cannot be forged. Connections, ports and request
// keys are ignored, because a caller can create any number of them.
func Identify(callers []docs.Caller, source netip.Addr) Caller {
	return IdentifySite(callers, source, DefaultSiteBits)
}

// IdentifySite is Identify with the prefix length bits that identifies the site of an IPv4 address. Where each caller
// has a single address, as behind address translation, it is 32.
func IdentifySite(callers []docs.Caller, source netip.Addr, bits int) Caller {
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
	if source.Is6() {
		bits = siteBits6
	}
	// The length is in range for every valid address; an invalid address yields the zero prefix.
	network, _ := source.Prefix(bits)
	return Caller{Network: network}
}
