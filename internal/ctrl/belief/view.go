package belief

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangowinch/internal/flow/homes"
	"mangowinch/internal/flow/order"
)

// View is an immutable snapshot of a belief, indexed for lookups per packet.
type View struct {
	Revision       order.Revision
	Config         *Config // nil before the first one is received
	Homes          *homes.List
	LowestPriority int // lowest priority of all routes, which is the highest number
	routes         map[netip.AddrPort]*Route
	services       map[string][]Server
	agents         map[netip.Addr]Server
	evacuated      []string // evacuated failure domains, sorted
}

// viewData is the input from which newView builds a View.
type viewData struct {
	Revision  order.Revision
	Config    *Config
	Servers   []Server
	Evacuated []string
}

func newView(c viewData) *View {
	slices.Sort(c.Evacuated)
	v := &View{
		Revision:  c.Revision,
		Config:    c.Config,
		evacuated: c.Evacuated,
		routes:    map[netip.AddrPort]*Route{},
		services:  map[string][]Server{},
		agents:    map[netip.Addr]Server{},
	}
	if c.Config != nil {
		for i := range c.Config.Routes {
			r := &c.Config.Routes[i]
			v.routes[r.Called] = r
			v.LowestPriority = max(v.LowestPriority, r.Priority)
		}
	}
	// If several servers have the same address, the latest one counts: the others were replaced, and
	// their records have not expired yet.
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

// Route returns the route of a called address, or nil.
func (v *View) Route(called netip.AddrPort) *Route { return v.routes[called] }

// Servers returns a service's servers. The result must not be modified.
func (v *View) Servers(service string) []Server { return v.services[service] }

// Server returns the server of the agent with an address.
func (v *View) Server(agent netip.Addr) (s Server, ok bool) {
	s, ok = v.agents[agent]
	return s, ok
}

// Evacuated reports whether the operator has evacuated a failure domain, so that its servers get no
// new flows.
func (v *View) Evacuated(domain string) bool {
	_, found := slices.BinarySearch(v.evacuated, domain)
	return found
}

// EvacuatedDomains returns the evacuated failure domains, sorted. The result must not be modified.
func (v *View) EvacuatedDomains() []string { return v.evacuated }

// AgentsIn returns the number of agents in a failure domain, 0 for an unknown domain.
func (v *View) AgentsIn(domain string) (count int) {
	for _, s := range v.agents {
		if s.Domain == domain {
			count++
		}
	}
	return count
}

// Version returns the version of the configuration, 0 if there is none.
func (v *View) Version() int64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// Allows reports whether the route of a called address sends flows to a service.
func (v *View) Allows(called netip.AddrPort, service string) bool {
	r := v.routes[called]
	return r != nil && slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// WarmUp returns the warm-up settings of a service; the zero value if it has none.
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

// ServiceHash returns the hash that identifies a service in messages.
func ServiceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// DomainHash returns the hash that stands for a failure domain in messages. Two domains may have the
// same hash, so it is only used for preferences.
func DomainHash(domain string) uint8 { return uint8(ServiceHash(domain)) }
