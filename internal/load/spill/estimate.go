package spill

import (
	"math"
	"net/netip"
	"time"
)

// Domain is what is estimated of a failure domain.
type Domain struct {
	Name     string
	Capacity float64 // requests per second, or slots while no server has reported the time of a request
	Use      float64 // requests in progress per slot, and those that wait if the slots are full
	Known    bool    // a server has reported within ReportLifetime
	Part     float64 // of the new flows

	heardAt time.Time // of the last report
}

// report is what an agent has reported of its server.
type report struct {
	slots   int
	running float64 // moving average of the requests in progress, at most one per slot
	waiting float64 // moving average of the requests beyond
	service time.Duration
	at      time.Time // of the last report
	meanAt  time.Time // time of the reports, averaged like running
}

// Report records the requests in progress and waiting at an agent's server when it has opened a flow, and the time of a
// request there without waiting, 0 if unknown. The request of that flow is not counted: without it, arrivals see the mean
// over time. Reports of agents that are not among the servers of the last step are ignored.
func (s *Split) Report(now time.Time, agent netip.Addr, busy uint16, service time.Duration) {
	r := s.reports[agent]
	if r == nil {
		return
	}
	others := max(float64(busy)-1, 0)
	running := min(others, float64(r.slots))
	waiting := min(others-running, maxUse*float64(r.slots))
	if now.Sub(r.at) >= ReportLifetime {
		r.running, r.waiting, r.meanAt = running, waiting, now
	}
	weight := max(reportWeight, 1-math.Exp(-now.Sub(r.at).Seconds()/memory.Seconds()))
	r.running += weight * (running - r.running)
	r.waiting += weight * (waiting - r.waiting)
	r.meanAt = r.meanAt.Add(time.Duration(weight * float64(now.Sub(r.meanAt))))
	r.service, r.at = service, now
}

// sums are the sums over the servers of a failure domain.
type sums struct {
	slots      int     // of all servers
	heardSlots float64 // of the servers with a report, by the weight of the report
	running    float64
	waiting    float64
	rate       float64 // capacity of the servers that have reported the time of a request
	rateSlots  int
	heard      int
	age        time.Duration
	heardAt    time.Time
}

// estimate sets the capacity and the use of each failure domain from the reports.
func (s *Split) estimate(now time.Time, servers []Server) {
	var all sums
	byDomain := map[string]*sums{}
	for _, v := range servers {
		m := byDomain[v.Domain]
		if m == nil {
			m = &sums{}
			byDomain[v.Domain] = m
		}
		s.addServer(now, m, v)
	}
	for _, m := range byDomain {
		all.rate += m.rate
		all.rateSlots += m.rateSlots
	}
	for i := range s.domains {
		d := &s.domains[i]
		d.set(byDomain[d.Name], &all)
	}
	s.age = ReportLifetime
	if m := byDomain[s.local]; m != nil && m.heard > 0 {
		s.age = m.age / time.Duration(m.heard)
	}
}

// addServer adds a server to the sums of its failure domain.
func (s *Split) addServer(now time.Time, m *sums, v Server) {
	slots := max(v.Slots, 1)
	m.slots += slots
	r := s.reports[v.Agent]
	if now.Sub(r.at) >= ReportLifetime {
		return
	}
	m.heard++
	weight := math.Exp(-now.Sub(r.meanAt).Seconds() / memory.Seconds())
	m.heardSlots += weight * float64(slots)
	m.running += weight * r.running
	m.waiting += weight * r.waiting
	if r.at.After(m.heardAt) {
		m.heardAt = r.at
	}
	m.age += now.Sub(r.meanAt)
	if r.service > 0 {
		m.rate += float64(slots) / r.service.Seconds()
		m.rateSlots += slots
	}
}

// set sets the estimates of a failure domain. Servers without an estimate count as the others of the failure domain
// or, if there are none, of the service.
func (d *Domain) set(m, all *sums) {
	perSlot := 1.0
	if all.rateSlots > 0 {
		perSlot = all.rate / float64(all.rateSlots)
	}
	if m.rateSlots > 0 {
		perSlot = m.rate / float64(m.rateSlots)
	}
	d.Capacity = perSlot * float64(m.slots)
	d.Known = m.heardSlots > 0
	d.heardAt = m.heardAt
	d.Use = 0
	if d.Known {
		d.Use = use(m.running/m.heardSlots, m.waiting/m.heardSlots)
	}
}

// use returns the use for requests in progress and waiting per slot. Requests also wait for a slot at a server while
// other servers have free ones, so that those that wait count as the slots become full.
func use(running, waiting float64) float64 {
	full := max(0, running-LocalUse) / (1 - LocalUse)
	return running + full*waiting
}

// level returns the use up to which the local servers take all flows: LocalUse, or the use that all known failure
// domains would have together if that is higher, and at most FullUse.
func (s *Split) level() float64 {
	load, capacity := 0.0, 0.0
	for _, d := range s.domains {
		if d.Known {
			load += min(d.Use, maxUse) * d.Capacity
			capacity += d.Capacity
		}
	}
	if capacity == 0 {
		return LocalUse
	}
	return max(LocalUse, min(load/capacity, FullUse))
}

// spare returns the capacity that a failure domain has below a level of use.
func (d *Domain) spare(level float64) float64 {
	if !d.Known {
		return 0
	}
	return d.Capacity * max(0, level-d.Use)
}

// excess returns the load of a failure domain above a level of use.
func (d *Domain) excess(level float64) float64 {
	if !d.Known {
		return 0
	}
	return d.Capacity * max(0, min(d.Use, maxUse)-level)
}
