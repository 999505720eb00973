package usage

import (
	"net/netip"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/queue"
)

// Callers determines to which caller an address belongs, and the weight of each caller.
type Callers struct {
	Named    []docs.Caller
	SiteBits int // prefix length of the network of a site, for IPv4 addresses of no named caller
}

// Identify returns the caller with an address.
func (c *Callers) Identify(source netip.Addr) queue.Caller {
	return queue.IdentifySite(c.Named, source, c.SiteBits)
}

// Weight returns the weight of a caller. Each caller without a name has the weight 1 of its own.
func (c *Callers) Weight(caller queue.Caller) float64 {
	for _, n := range c.Named {
		if caller.Name != "" && n.Name == caller.Name {
			return float64(max(n.Weight, 1))
		}
	}
	return 1
}
