package edge

import (
	"net/netip"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
)

// New flows and evacuated failure domains.
//
// The servers of an evacuated failure domain get no new flows. An entry that hasn't received the order yet
// learns it from the first agent that returns an opening packet because of it. Until its own view has
// caught up, the entry then treats the whole domain as evacuated. Trying the agents of the domain one by
// one would use up the tries of a flow, and the caller would be refused although servers elsewhere have
// room.

// evacuated reports whether the servers of a failure domain get no new flows.
func (e *Entry) evacuated(v *belief.View, domain string) bool {
	return v.Evacuated(domain) || e.evacuations[domain] > v.Revision
}

// recordEvacuation records an agent's report that its failure domain is evacuated, if the agent's view is
// newer than this entry's.
func (e *Entry) recordEvacuation(v *belief.View, agent netip.Addr, m *msgs.Refused) {
	if m.Reason != msgs.ReasonEvacuated || m.Revision <= v.Revision {
		return
	}
	if s, ok := v.Server(agent); ok {
		e.evacuations[s.Domain] = max(e.evacuations[s.Domain], m.Revision)
		e.retainReports(v)
	}
}

// expireEvacuations drops the reports of evacuations that are not newer than the view.
func (e *Entry) expireEvacuations(v *belief.View) {
	for domain, revision := range e.evacuations {
		if revision <= v.Revision {
			delete(e.evacuations, domain)
		}
	}
}

// unservedReason returns the reason why no server of a service takes a new flow.
func (e *Entry) unservedReason(v *belief.View, service string) string {
	for _, s := range v.Servers(service) {
		if e.evacuated(v, s.Domain) {
			return "evacuated"
		}
	}
	return "unserved"
}
