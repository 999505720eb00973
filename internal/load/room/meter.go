package room

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
)

const (
	// averageTime is the time over which flows are counted. Operators compare figures of processes that they
	// ask within seconds.
	averageTime = 5 * time.Second
	// minCount is the number of flows below which a decayed count is forgotten.
	minCount = 0.01
	// maxRates and maxAgents bound the memory used for rates, one for each priority of a service, and for agents.
	maxRates  = 1024
	maxAgents = 8192
)

// Meter holds what an entry learns from flows and messages.
type Meter struct {
	rates   map[key]*rate
	reports map[netip.Addr]report
}

type key struct {
	service  string
	priority int
}

// rate counts flows. The counts lose their weight over averageTime, and divided by it they are a rate.
type rate struct {
	asked, opened float64
	at            time.Time
}

// report is what an agent has last sent.
type report struct {
	load     msgs.Load
	estimate msgs.Estimate
	at       time.Time
}

// NewMeter returns a Meter that has counted nothing.
func NewMeter() *Meter { return &Meter{rates: map[key]*rate{}, reports: map[netip.Addr]report{}} }

// Arrived records that a caller has asked for a new flow.
func (m *Meter) Arrived(now time.Time, service string, priority int) {
	if r := m.rate(now, service, priority); r != nil {
		r.asked++
	}
}

// Opened records that a server has accepted a flow.
func (m *Meter) Opened(now time.Time, service string, priority int) {
	if r := m.rate(now, service, priority); r != nil {
		r.opened++
	}
}

// Report records what an agent has sent about its server.
func (m *Meter) Report(now time.Time, agent netip.Addr, l msgs.Load, e msgs.Estimate) {
	if _, known := m.reports[agent]; known || len(m.reports) < maxAgents {
		m.reports[agent] = report{load: l, estimate: e, at: now}
	}
}

// Retain removes the reports of all agents that are not listed, and rates that have become nearly zero.
func (m *Meter) Retain(now time.Time, agents []netip.Addr) {
	present := make(map[netip.Addr]bool, len(agents))
	for _, a := range agents {
		present[a] = true
	}
	for a := range m.reports {
		if !present[a] {
			delete(m.reports, a)
		}
	}
	m.forget(now)
}

// forget removes rates that have become nearly zero.
func (m *Meter) forget(now time.Time) {
	for k, r := range m.rates {
		if r.decay(now); r.asked+r.opened < minCount {
			delete(m.rates, k)
		}
	}
}

// Fill sets the figures of a server that its agent has reported.
func (m *Meter) Fill(now time.Time, agent netip.Addr, s *Server) {
	if r, known := m.reports[agent]; known {
		s.Fill(r.load, r.estimate, now.Sub(r.at))
	}
}

// Fill sets the figures of a server, which are of the given age.
func (s *Server) Fill(l msgs.Load, e msgs.Estimate, age time.Duration) {
	s.Known, s.Busy, s.AgeMillis = true, int(l.Busy), age.Milliseconds()
	s.ServiceMillis = millis(e.ServiceTime())
	for p := range s.WaitMillis {
		s.WaitMillis[p] = millis(e.Wait(p))
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Demands returns what callers have asked for, with full levels.
func (m *Meter) Demands(now time.Time) (list []Demand) {
	m.forget(now)
	for k, r := range m.rates {
		list = append(list, Demand{
			Service:  k.service,
			Priority: k.priority,
			Asked:    r.asked / averageTime.Seconds(),
			Opened:   r.opened / averageTime.Seconds(),
			Percent:  100,
		})
	}
	slices.SortFunc(list, compareDemands)
	return list
}

// rate returns the counts of a service and priority, or nil if there are too many.
func (m *Meter) rate(now time.Time, service string, priority int) *rate {
	k := key{service, priority}
	r := m.rates[k]
	if r == nil {
		if len(m.rates) >= maxRates {
			return nil
		}
		r = &rate{at: now}
		m.rates[k] = r
	}
	r.decay(now)
	return r
}

func (r *rate) decay(now time.Time) {
	keep := math.Exp(-max(now.Sub(r.at), 0).Seconds() / averageTime.Seconds())
	r.asked *= keep
	r.opened *= keep
	r.at = now
}
