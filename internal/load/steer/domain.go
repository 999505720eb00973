package steer

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/load/spill"
)

// Split returns how the flows of a service are split over the failure domains, or nil if that is unknown.
func (c *Chooser) Split(service string) *spill.Split {
	if p := c.splits[service]; p != nil && p.Known() {
		return p
	}
	return nil
}

// Services returns the services for which the split is kept, sorted.
func (c *Chooser) Services() (services []string) {
	for s := range c.splits {
		services = append(services, s)
	}
	slices.Sort(services)
	return services
}

// drawDomain returns the candidates among which a flow is placed. The split draws a failure domain. If it is another
// one, its servers are the candidates, as far as they need not come last. If it is the own one, servers of others with
// capacity to spare remain candidates at the extra cost: the split follows reports within seconds, and a queue grows
// faster. All candidates are returned while the split is unknown, or if there are no others.
func (c *Chooser) drawDomain(now time.Time, candidates []Candidate, tried []netip.Addr) []Candidate {
	c.drawn = false
	if c.off.Domains || c.off.Distance || c.off.Reports || len(candidates) == 0 {
		return candidates
	}
	p := c.split(candidates[0].Service)
	if p.Due(now) {
		p.Step(now, servers(candidates))
	}
	if !p.Known() {
		return candidates
	}
	domain, ok := p.Draw(c.random.Float64())
	if !ok {
		return candidates
	}
	list := c.within(now, candidates, tried, c.open(now, p, domain))
	if len(list) == 0 {
		return candidates
	}
	c.drawn = domain != c.domain
	return list
}

// open returns the failure domains whose servers are candidates if the split has drawn the given one.
func (c *Chooser) open(now time.Time, p *spill.Split, drawn string) []string {
	domains := []string{drawn}
	if drawn != c.domain {
		return domains
	}
	for _, d := range p.Domains() {
		if d.Name != drawn && p.Spare(now, d.Name) {
			domains = append(domains, d.Name)
		}
	}
	return domains
}

// within returns the candidates of the failure domains that have not been tried and need not come last. The result
// is valid until the next call.
func (c *Chooser) within(now time.Time, candidates []Candidate, tried []netip.Addr, domains []string) []Candidate {
	c.list = c.list[:0]
	for _, k := range candidates {
		if slices.Contains(domains, k.Domain) && !slices.Contains(tried, k.Agent) && c.avoidance(now, k) == 0 {
			c.list = append(c.list, k)
		}
	}
	return c.list
}

func (c *Chooser) split(service string) *spill.Split {
	p := c.splits[service]
	if p == nil {
		p = spill.New(c.domain)
		c.splits[service] = p
	}
	return p
}

// servers returns the candidates that may take flows for longer, so that a refusal does not change the split.
func servers(candidates []Candidate) (list []spill.Server) {
	for _, k := range candidates {
		if !k.Failed && !k.Draining {
			list = append(list, spill.Server{Agent: k.Agent, Domain: k.Domain, Slots: k.Slots})
		}
	}
	return list
}

// retainSplits removes what the splits know of agents that are not listed.
func (c *Chooser) retainSplits(agents []netip.Addr) {
	for service, p := range c.splits {
		if !p.Retain(agents) {
			delete(c.splits, service)
		}
	}
}
