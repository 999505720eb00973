package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// Admission of new flows while all servers of a service are overloaded (package level). It applies to routes
// with a timeout: without one, no wait counts as too long.

// admitByLevel reports whether the level of its service admits a new flow. Otherwise the flow is refused. A
// copy of an opening packet is always admitted: a server may have opened its flow by way of another entry.
func (e *Entry) admitByLevel(now time.Time, v *belief.View, route *belief.Route, s *segs.Segment) bool {
	if e.Off.Level || route.Timeout <= 0 || s.Ack > 0 {
		return true
	}
	service := pickService(route.Shares, s.Flow)
	left := route.Timeout
	if w := e.Callers.OpenWindow(); w > 0 {
		left = min(left, w)
	}
	if e.level.Admit(now, service, route.Priority, left, e.countServers(v, service)) {
		return true
	}
	e.refuse(now, s, "overload")
	return false
}

// countServers returns the number of servers of a service that take new flows.
func (e *Entry) countServers(v *belief.View, service string) (n int) {
	for _, s := range v.Servers(service) {
		if e.takesFlows(v, s) {
			n++
		}
	}
	return n
}

// takesFlows reports whether a server takes new flows.
func (e *Entry) takesFlows(v *belief.View, s belief.Server) bool {
	return s.State != belief.Unknown && s.State != belief.Draining && !e.evacuated(v, s.Domain)
}

// retainReports keeps only the reports of agents whose servers take new flows.
func (e *Entry) retainReports(v *belief.View) {
	e.level.Retain(func(service string, agent netip.Addr) bool {
		s, ok := v.Server(agent)
		return ok && s.Service == service && e.takesFlows(v, s)
	})
}

// levelKey returns the service of an agent and the priority of a flow's route, which together select the level. It
// returns false if the flow has no level: the route has no timeout, or the server takes no new flows and isn't
// counted among the servers of its service.
func (e *Entry) levelKey(agent netip.Addr, f segs.Flow) (service string, priority int, ok bool) {
	v := e.Log.View()
	s, known := v.Server(agent)
	route := v.Route(f.ServiceAddr())
	if !known || route == nil || route.Timeout <= 0 || !e.takesFlows(v, s) {
		return "", 0, false
	}
	return s.Service, route.Priority, true
}

// recordOpened records that an agent's server has opened a flow, and the agent's report, for the level and for
// operators.
func (e *Entry) recordOpened(now time.Time, agent netip.Addr, m *msgs.Opened) {
	e.countOpened(now, agent, m)
	if service, priority, ok := e.levelKey(agent, m.Flow); ok {
		e.level.Opened(now, service, priority)
		e.level.Report(now, service, agent, m.Estimate)
	}
}

// recordEstimate records the estimate that came with the location of a flow.
func (e *Entry) recordEstimate(now time.Time, agent netip.Addr, f segs.Flow, m msgs.Estimate) {
	if service, _, ok := e.levelKey(agent, f); ok && m != (msgs.Estimate{}) {
		e.level.Report(now, service, agent, m)
	}
}

// recordBusy records that an agent has returned a flow as busy.
func (e *Entry) recordBusy(now time.Time, agent netip.Addr, f segs.Flow) {
	if service, priority, ok := e.levelKey(agent, f); ok {
		e.level.Refused(now, service, agent, priority)
	}
}

// reportLevels logs the beginning and the end of refusals for a service, and updates the levels' metrics.
func (e *Entry) reportLevels(now time.Time) {
	for _, c := range e.level.Changes(now) {
		if c.Limited {
			e.Events.State("overload").Str("service", c.Service).Int("percent", c.Percent).Send()
		} else {
			e.Events.State("overload-ends").Str("service", c.Service).Int("percent", c.Percent).Send()
		}
	}
	levels := e.level.Levels()
	for _, l := range e.levels {
		setLevel(l.Service, l.Priority, 100)
	}
	for _, l := range levels {
		setLevel(l.Service, l.Priority, l.Percent)
	}
	e.levels = levels
}
