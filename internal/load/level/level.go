// Package level decides, at an entry, which part of a service's new opaque flows is admitted while the service
// is overloaded.
//
// An agent whose server is full offers the opening packet to others, and returns it as busy after several
// visits. If every server is as full, each flow that is refused costs these visits and the time for them, and
// its caller's next attempt costs them again. Only the entry can refuse a flow without any visit, and it has
// the waits that agents report with the flows they open.
//
// The gate keeps a level for each service and priority, the part of the new flows that is admitted:
//
//   - A server is full if its agent has lately refused a flow of this priority or a higher one, or has
//     reported a long wait: more than half of the time that such a flow has left beyond the service time. The
//     level falls only while nearly all servers of the service are full and agents return flows: long waits
//     alone may come from a burst that queues absorb.
//   - If nearly all servers have reported long waits so lately that these can't have passed, the level falls to
//     less than the part that is opened. Otherwise it falls to somewhat more than that part, which keeps servers
//     busy whatever has changed since the reports.
//   - The level rises by steps when a good part of the servers has room, or agents return hardly any flow. It
//     holds in between.
//   - After a pause without flows that is longer than any flow waits, the level starts anew.
//   - A few flows are admitted at any level, so that the end of an overload is noticed. A lower priority is
//     never admitted in a greater part than a higher one.
//
// Servers that have not reported count as having room. An entry that has just started, is cut off from some
// agents, or serves a service too rarely to know its servers therefore admits every flow, and so does every
// entry while more than a tenth of the servers has room.
//
// The condition on waits is that of DAGOR (Zhou et al., SoCC 2018), which detects overload by queueing time
// and not by utilization. Its fixed steps, and other additive increase and multiplicative decrease, go on
// falling for as long as reports are old; so the level is bounded by what is opened, as in client-side
// throttling (Beyer et al., Site Reliability Engineering, 2016, chapter 21). Credits as in Breakwater (Cho et
// al., OSDI 2020) need messages in both directions and state of the callers at the servers.
//
// Package level does not measure waits and does not choose servers. It performs no I/O: the caller passes in
// the time and the source of randomness. A Gate is not safe for concurrent use.
//
// # Usage
//
//	g := level.New(random)
//	g.Report(now, service, agent, estimate)
//	g.Opened(now, service, priority)
//	g.Refused(now, service, agent, priority)
//	if g.Admit(now, service, priority, left, servers) { place(packet) }
//	for _, c := range g.Changes(now) { log(c) }
package level

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
)

const (
	// forgetAfter is the age at which a report is discarded, so that an entry which no longer hears from agents
	// stops refusing flows on outdated reports.
	forgetAfter = 5 * time.Second
	// stepInterval is the shortest time between two steps of a level. In this time every agent has opened
	// several flows, whose reports show the effect of the last step.
	stepInterval = 100 * time.Millisecond
	// averageTime is the time over which flows are counted. It spans several steps, and ends soon enough that
	// flows returned during an overload don't count for long after it.
	averageTime = 500 * time.Millisecond
	// fullPercent is the part of the servers that must be full before a level falls, roomBelowPercent the
	// part below which it rises.
	fullPercent      = 90
	roomBelowPercent = 75
	// longWaitDivisor is the divisor of the time that a flow has left to wait: a longer wait than the quotient is long.
	// Agents take no flows beyond the whole of it, so an agent that refuses flows reports a little less than that.
	longWaitDivisor = 2
	// admitRatio is the lowest ratio of admitted to opened flows to which a level falls, so that enough flows wait
	// when a server has become faster since its report.
	admitRatio = 1.1
	// drainRatio is the same ratio while reports are so new that waits are certainly long. Below 1, queues get
	// shorter: waits of half of a flow's time do so within a few seconds, and no server is idle meanwhile.
	drainRatio = 0.8
	// fallFactor and riseFactor are the largest steps of a level, riseStep the smallest one up.
	fallFactor = 0.7
	riseFactor = 1.2
	riseStep   = 0.01
	// fewReturnedRatio is the ratio of returned to opened flows below which a level rises whatever agents have
	// reported. It is well below admitRatio less one, so the ratio doesn't fall below it while servers are full.
	fewReturnedRatio = 0.02
	// probePart is the part of the flows that is admitted at any level. It is small against admitRatio less one, so
	// that probes alone don't fill servers.
	probePart = 1.0 / 32
	// probeInterval is the longest time without an admitted flow while there are flows.
	probeInterval = 100 * time.Millisecond
	// minOutcomes is the number of opened and returned flows below which their ratio depends too much on chance to
	// lower a level.
	minOutcomes = 8
	// endDelay is how long every flow must have been admitted before an overload is reported as ended.
	endDelay = time.Second
	// minCount is the number of arrived flows below which a decayed count is set to zero.
	minCount = 0.01
	// maxServices and maxAgents bound the memory used for services, and for the agents of each.
	maxServices = 256
	maxAgents   = 8192
)

// Gate holds the levels of one entry.
type Gate struct {
	random   *rand.Rand
	services map[string]*service
}

// Change is a service that has begun or ended to refuse flows.
type Change struct {
	Service string
	Limited bool // flows are refused; false: all flows are admitted again
	Percent int  // lowest level of the lowest priority since the last change
}

// Level is the admitted part of one priority of a service.
type Level struct {
	Service  string
	Priority int
	Percent  int
}

// New returns a gate that has no reports and admits every flow.
func New(random *rand.Rand) *Gate {
	return &Gate{random: random, services: map[string]*service{}}
}

// Report records the estimate that an agent of a service has sent.
func (g *Gate) Report(now time.Time, name string, agent netip.Addr, e msgs.Estimate) {
	s := g.service(name)
	if s == nil {
		return
	}
	if e == (msgs.Estimate{}) {
		delete(s.reports, agent)
		return
	}
	s.record(agent, report{estimate: e, estimatedAt: now})
}

// Refused records that an agent has returned a flow as busy, after it was offered to several.
func (g *Gate) Refused(now time.Time, name string, agent netip.Addr, priority int) {
	s := g.service(name)
	if s == nil {
		return
	}
	p := class(priority)
	s.levels[p].returned++
	r := s.reports[agent]
	r.refusedAt[p] = now
	s.record(agent, r)
}

// Opened records that a server of the service has accepted a flow.
func (g *Gate) Opened(_ time.Time, name string, priority int) {
	if s := g.service(name); s != nil {
		s.levels[class(priority)].opened++
	}
}

// Admit reports whether a new flow may be placed. The caller of the flow gives up after left; the service has
// the given number of servers that take new flows. Without any server, waits don't decide about the flow.
func (g *Gate) Admit(now time.Time, name string, priority int, left time.Duration, servers int) bool {
	s := g.service(name)
	if s == nil || left <= 0 || servers <= 0 {
		return true
	}
	s.endPauses(now)
	p := class(priority)
	l := &s.levels[p]
	l.nextMaxLeft = max(l.nextMaxLeft, left)
	l.arrivedAt = now
	if now.Sub(s.steppedAt) >= stepInterval {
		s.step(now, servers)
	}
	l.arrived++
	part := s.part(p)
	if part < 1 && g.random.Float64() >= part && now.Sub(l.admittedAt) < probeInterval {
		return false
	}
	l.admitted++
	l.admittedAt = now
	return true
}

// Levels returns all levels below full admission, in order.
func (g *Gate) Levels() (list []Level) {
	for name, s := range g.services {
		for p := range s.levels {
			if part := s.part(p); part < 1 {
				list = append(list, Level{Service: name, Priority: p, Percent: int(math.Floor(100 * part))})
			}
		}
	}
	slices.SortFunc(list, func(a, b Level) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return list
}

// Changes returns the services that have begun to refuse flows, or have admitted all flows for endDelay, since
// the last call. It also removes what is outdated and must be called regularly.
func (g *Gate) Changes(now time.Time) (list []Change) {
	for name, s := range g.services {
		idle := s.idle(now)
		if idle {
			s.expire(now)
		}
		lowest := int(math.Floor(100 * s.part(msgs.NumWaits-1)))
		if lowest < 100 {
			s.belowFullAt = now
			s.lowestPercent = min(s.lowestPercent, lowest)
		}
		limited := lowest < 100 || s.limited && now.Sub(s.belowFullAt) < endDelay
		if limited != s.limited {
			list = append(list, Change{Service: name, Limited: limited, Percent: s.lowestPercent})
			s.limited, s.lowestPercent = limited, 100
		}
		if idle && len(s.reports) == 0 && !s.limited {
			delete(g.services, name)
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Retain removes the reports of all agents for which takesFlows returns false, given the service's name.
func (g *Gate) Retain(takesFlows func(name string, agent netip.Addr) bool) {
	for name, s := range g.services {
		for a := range s.reports {
			if !takesFlows(name, a) {
				delete(s.reports, a)
			}
		}
	}
}

// service returns what is known about a service, or nil if there are too many.
func (g *Gate) service(name string) *service {
	s := g.services[name]
	if s == nil && len(g.services) < maxServices {
		s = &service{reports: map[netip.Addr]report{}, lowestPercent: 100}
		g.services[name] = s
	}
	return s
}

// class returns the index of a priority.
func class(priority int) int { return min(max(priority, 0), msgs.NumWaits-1) }
