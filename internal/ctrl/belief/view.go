package belief

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangowinch/internal/flow/homes"
)

// View is an immutable snapshot of a belief, indexed for the path of a packet.
type View struct {
	Revision uint64
	Config   *Config // nil: none known yet
	Homes    *homes.List
	Lowest   int // the lowest priority of a route, which is the highest number
	routes   map[netip.AddrPort]*Route
	services map[string][]Server
	agents   map[netip.Addr]Server
}

func newView(revision uint64, config *Config, servers []Server) *View {
	v := &View{
		Revision: revision,
		Config:   config,
		routes:   map[netip.AddrPort]*Route{},
		services: map[string][]Server{},
		agents:   map[netip.Addr]Server{},
	}
	if config != nil {
		for i := range config.Routes {
			v.routes[config.Routes[i].Called] = &config.Routes[i]
			v.Lowest = max(v.Lowest, config.Routes[i].Priority)
		}
	}
	// A server that starts at the address of one whose entry has not lapsed yet is
	// the one that is there now.
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Or(cmp.Compare(b.Born, a.Born), cmp.Compare(b.Created, a.Created)) })
	var addresses []netip.Addr
	for _, s := range servers {
		if _, ok := v.agents[s.Addr.Addr()]; ok {
			continue
		}
		v.agents[s.Addr.Addr()] = s
		v.services[s.Service] = append(v.services[s.Service], s)
		addresses = append(addresses, s.Addr.Addr())
	}
	v.Homes = homes.New(addresses)
	return v
}

// Route returns the route of an address that callers call, or nil.
func (v *View) Route(called netip.AddrPort) *Route { return v.routes[called] }

// Servers returns a service's servers. The caller doesn't change it.
func (v *View) Servers(service string) []Server { return v.services[service] }

// Server returns the server beside the agent with an address.
func (v *View) Server(agent netip.Addr) (s Server, ok bool) {
	s, ok = v.agents[agent]
	return s, ok
}

// Version is the configuration's version, or 0.
func (v *View) Version() int64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// Allows says whether the route of an address sends flows to a service.
func (v *View) Allows(called netip.AddrPort, service string) bool {
	r := v.routes[called]
	return r != nil && slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Hash names a service in messages.
func Hash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// DomainHash names a failure domain in messages, for preferences only: two domains may have the same.
func DomainHash(domain string) uint8 { return uint8(Hash(domain)) }
