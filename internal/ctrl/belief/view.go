package belief

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangowinch/internal/flow/homes"
	"mangowinch/internal/flow/order"
)

// View is an immutable snapshot of a belief, indexed for the path of a packet.
type View struct {
	Revision       order.Revision
	Config         *Config // nil: none known yet
	Homes          *homes.List
	LowestPriority int // the lowest priority of a route, which is the highest number
	routes         map[netip.AddrPort]*Route
	services       map[string][]Server
	agents         map[netip.Addr]Server
	emptied        []string // failure domains that are evacuated, in order
}

// content is what a view is made of.
type content struct {
	Revision  order.Revision
	Config    *Config
	Servers   []Server
	Evacuated []string
}

func newView(c content) *View {
	slices.Sort(c.Evacuated)
	v := &View{
		Revision: c.Revision,
		Config:   c.Config,
		emptied:  c.Evacuated,
		routes:   map[netip.AddrPort]*Route{},
		services: map[string][]Server{},
		agents:   map[netip.Addr]Server{},
	}
	if c.Config != nil {
		for i := range c.Config.Routes {
			r := &c.Config.Routes[i]
			v.routes[r.Called] = r
			v.LowestPriority = max(v.LowestPriority, r.Priority)
		}
	}
	// A server that starts at the address of one whose entry has not lapsed yet is
	// the one that is there now.
	slices.SortFunc(c.Servers, func(a, b Server) int { return cmp.Or(cmp.Compare(b.Born, a.Born), cmp.Compare(b.Created, a.Created)) })
	var addresses []netip.Addr
	for _, s := range c.Servers {
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

// Evacuated says whether the servers of a failure domain get no new flows by the operator's order.
func (v *View) Evacuated(domain string) bool {
	_, found := slices.BinarySearch(v.emptied, domain)
	return found
}

// EvacuatedDomains returns the failure domains that are evacuated, in order. The caller doesn't change the list.
func (v *View) EvacuatedDomains() []string { return v.emptied }

// AgentsIn is the number of agents beside servers of a failure domain; 0 for a domain that nobody knows.
func (v *View) AgentsIn(domain string) (count int) {
	for _, s := range v.agents {
		if s.Domain == domain {
			count++
		}
	}
	return count
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

// WarmUp is what a service states of its cold servers; its rate is 0 if nothing is stated.
func (v *View) WarmUp(service string) WarmUp {
	if v.Config == nil {
		return WarmUp{}
	}
	i := slices.IndexFunc(v.Config.WarmUps, func(w WarmUp) bool { return w.Service == service })
	if i < 0 {
		return WarmUp{}
	}
	return v.Config.WarmUps[i]
}

// ServiceHash names a service in messages.
func ServiceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// DomainHash names a failure domain in messages, for preferences only: two domains may have the same.
func DomainHash(domain string) uint8 { return uint8(ServiceHash(domain)) }
