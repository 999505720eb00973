// Package room computes how much room a service has: the capacity of its servers, how much of it is in use,
// and which part of what callers ask for would be refused without some servers or a whole failure domain.
//
// An entry knows the load and the estimate that each agent has last sent, and how many flows it was asked for
// and how many were opened. An agent knows its own server. A Report holds what one process knows; Merge joins
// the reports of several, takes the newest figures of each server and adds up what entries were asked for.
//
// The capacity of a server is its slots over the time that it takes for a request. A server whose service time
// is unknown counts with the average of its service. The offered load is what the servers work on,
// divided by the part of the flows that is opened. Attempts of refused callers count as asked, so the offered
// load of an overloaded service is an upper bound. Priorities are assumed to cost the same for each flow.
//
// Package room decides nothing. It performs no I/O: the caller passes in the time. A Meter is not safe for
// concurrent use; the other types hold no state.
//
// # Usage
//
//	m := room.NewMeter()
//	m.Arrived(now, service, priority)
//	m.Opened(now, service, priority)
//	m.Report(now, agent, load, estimate)
//	m.Fill(now, agent, &server)
//	all := room.Merge(reports)
//	for _, o := range all.Outlooks([]string{"zg-b"}) { print(o) }
package room

import (
	"cmp"
	"maps"
	"slices"

	"mangowinch/internal/flow/msgs"
)

// Report is what one process knows, or the merged knowledge of several.
type Report struct {
	Servers []Server `json:"servers"`
	Demands []Demand `json:"demands"`
}

// Server is a server with the figures that its agent has last sent.
type Server struct {
	ID      string `json:"id"`
	Agent   string `json:"agent"` // address
	Service string `json:"service"`
	Domain  string `json:"domain"` // failure domain
	Open    bool   `json:"open"`   // takes new flows
	Slots   int    `json:"slots"`
	Known   bool   `json:"known"` // the figures below have been reported
	Busy    int    `json:"busy"`  // requests in progress
	// ServiceMillis is the time for a request, or 0 if it was not reported.
	ServiceMillis float64 `json:"service_ms"`
	// WaitMillis holds by priority the time until the server receives a new flow.
	WaitMillis [msgs.NumWaits]float64 `json:"waits_ms"`
	AgeMillis  int64                  `json:"age_ms"` // of the figures
}

// Demand is what entries were asked for by callers of a service with one priority.
type Demand struct {
	Service  string  `json:"service"`
	Priority int     `json:"priority"`
	Asked    float64 `json:"asked"`  // new flows per second, attempts of refused callers included
	Opened   float64 `json:"opened"` // flows per second that servers accepted
	Percent  int     `json:"level"`  // lowest part that an entry admits
}

// Sum adds up the servers of a service in one failure domain.
type Sum struct {
	Service, Domain string
	Servers         int // that take new flows
	Closed          int // that take none
	Unknown         int // of Servers, without a known service time
	Slots, Busy     int
	Capacity        float64                // requests per second; 0: unknown
	WaitMillis      [msgs.NumWaits]float64 // average of the reporting servers
	OldestMillis    int64                  // age of the oldest figures
}

// Outlook is the capacity and load of a service as they would be without some servers.
type Outlook struct {
	Service  string
	Servers  int     // that remain and take new flows
	Known    bool    // the service time is known, so that the figures below are
	Capacity float64 // of the remaining servers, requests per second
	Offered  float64 // requests per second
	Percent  float64 // of the offered load that finds no room
	// RefusedPercent holds the part of each priority's offered load that finds no room, the higher priorities
	// being served first. Priorities without demand are left out.
	RefusedPercent map[int]float64
}

// Merge joins the reports of several processes.
func Merge(reports []Report) (all Report) {
	servers := map[string][]Server{} // by agent
	demands := map[Demand]Demand{}
	for _, r := range reports {
		for _, s := range r.Servers {
			servers[s.Agent] = append(servers[s.Agent], s)
		}
		for _, d := range r.Demands {
			key := Demand{Service: d.Service, Priority: d.Priority}
			sum, ok := demands[key]
			if !ok {
				sum = Demand{Service: d.Service, Priority: d.Priority, Percent: d.Percent}
			}
			sum.Asked += d.Asked
			sum.Opened += d.Opened
			sum.Percent = min(sum.Percent, d.Percent)
			demands[key] = sum
		}
	}
	for _, seen := range servers {
		all.Servers = append(all.Servers, newest(seen))
	}
	slices.SortFunc(all.Servers, compareServers)
	all.Demands = slices.SortedFunc(maps.Values(demands), compareDemands)
	return all
}

// newest returns the newest figures about one server. If they lack the service time, it and the waits are those
// of the newest figures that have it, and so is the age.
func newest(seen []Server) Server {
	slices.SortStableFunc(seen, func(a, b Server) int {
		if a.Known != b.Known {
			if a.Known {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.AgeMillis, b.AgeMillis)
	})
	s := seen[0]
	i := slices.IndexFunc(seen, func(s Server) bool { return s.Known && s.ServiceMillis > 0 })
	if s.ServiceMillis <= 0 && i >= 0 {
		s.ServiceMillis, s.WaitMillis, s.AgeMillis = seen[i].ServiceMillis, seen[i].WaitMillis, seen[i].AgeMillis
	}
	return s
}

func compareServers(a, b Server) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Agent, b.Agent))
}

func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
}

// Unmatched returns the names that are neither a server, nor an agent's address, nor a failure domain.
func (r *Report) Unmatched(names []string) (unmatched []string) {
	for _, n := range names {
		if !slices.ContainsFunc(r.Servers, func(s Server) bool { return s.hasName([]string{n}) }) {
			unmatched = append(unmatched, n)
		}
	}
	return unmatched
}

// hasName reports whether any of the names is that of the server, its agent or its failure domain.
func (s *Server) hasName(names []string) bool {
	return slices.Contains(names, s.ID) || slices.Contains(names, s.Agent) || slices.Contains(names, s.Domain)
}

// Sums returns the sums by service and failure domain, in order.
func (r *Report) Sums() (sums []Sum) {
	byKey := map[[2]string]*Sum{}
	averages := r.averageMillis()
	waiting := map[*Sum]int{} // number of servers that have reported waits
	for _, s := range r.Servers {
		key := [2]string{s.Service, s.Domain}
		if byKey[key] == nil {
			byKey[key] = &Sum{Service: s.Service, Domain: s.Domain}
		}
		byKey[key].add(&s, averages[s.Service])
		if s.ServiceMillis > 0 {
			waiting[byKey[key]]++
		}
	}
	for _, s := range byKey {
		for p := range s.WaitMillis {
			s.WaitMillis[p] /= float64(max(waiting[s], 1))
		}
		sums = append(sums, *s)
	}
	slices.SortFunc(sums, func(a, b Sum) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
	})
	return sums
}

// add adds a server to a sum. averageMillis is the average service time of its service.
func (t *Sum) add(s *Server, averageMillis float64) {
	t.Busy += s.Busy
	if s.Known {
		t.OldestMillis = max(t.OldestMillis, s.AgeMillis)
	}
	for p, w := range s.WaitMillis {
		t.WaitMillis[p] += w
	}
	if !s.Open {
		t.Closed++
		return
	}
	t.Servers++
	t.Slots += s.Slots
	t.Capacity += s.capacity(averageMillis)
	if s.ServiceMillis <= 0 {
		t.Unknown++
	}
}

// millis returns the service time of a server, or the given average if it is unknown.
func (s *Server) millis(averageMillis float64) float64 {
	if s.ServiceMillis > 0 {
		return s.ServiceMillis
	}
	return averageMillis
}

// capacity returns the requests per second that a server can answer, or 0 if that is unknown.
func (s *Server) capacity(averageMillis float64) float64 {
	if m := s.millis(averageMillis); m > 0 {
		return float64(s.Slots) * 1000 / m
	}
	return 0
}

// rate returns the requests per second that a server answers now.
func (s *Server) rate(averageMillis float64) float64 {
	if m := s.millis(averageMillis); m > 0 {
		return float64(min(s.Busy, s.Slots)) * 1000 / m
	}
	return 0
}

// averageMillis returns the average service time by service, of the servers that have reported one.
func (r *Report) averageMillis() map[string]float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, s := range r.Servers {
		if s.ServiceMillis > 0 {
			sums[s.Service] += s.ServiceMillis
			counts[s.Service]++
		}
	}
	for name := range sums {
		sums[name] /= counts[name]
	}
	return sums
}

// Outlooks returns the outlook of each service without the servers that have one of the given names. A name is
// that of a server, its agent's address, or that of a failure domain.
func (r *Report) Outlooks(without []string) (list []Outlook) {
	averages := r.averageMillis()
	byService := map[string]*Outlook{}
	for _, s := range r.Servers {
		o := byService[s.Service]
		if o == nil {
			o = &Outlook{Service: s.Service, Known: averages[s.Service] > 0, RefusedPercent: map[int]float64{}}
			byService[s.Service] = o
		}
		o.Offered += s.rate(averages[s.Service])
		if s.Open && !s.hasName(without) {
			o.Servers++
			o.Capacity += s.capacity(averages[s.Service])
		}
	}
	for _, o := range byService {
		o.computeRefused(r.Demands)
		list = append(list, *o)
	}
	slices.SortFunc(list, func(a, b Outlook) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// computeRefused computes the offered load from the servers' work and the part of the flows that is opened, and which
// part of each priority's load finds no room.
func (o *Outlook) computeRefused(demands []Demand) {
	asked, opened := 0.0, 0.0
	var own []Demand
	for _, d := range demands {
		if d.Service == o.Service && d.Asked > 0 {
			asked += d.Asked
			opened += d.Opened
			own = append(own, d)
		}
	}
	if opened > 0 {
		o.Offered *= max(1, asked/opened)
	}
	if o.Offered > o.Capacity {
		o.Percent = 100 * (1 - o.Capacity/o.Offered)
	}
	slices.SortFunc(own, compareDemands)
	free := o.Capacity
	for _, d := range own {
		offered := o.Offered * d.Asked / asked
		served := min(offered, free)
		free -= served
		o.RefusedPercent[d.Priority] = 0
		if offered > 0 {
			o.RefusedPercent[d.Priority] = 100 * (1 - served/offered)
		}
	}
}
