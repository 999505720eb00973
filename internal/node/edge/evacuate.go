package edge

import (
	"net/netip"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
)

// An evacuated failure domain.
//
// Its servers get no new flows. An entry that doesn't know the order yet learns it from the first agent that hands an opening packet
// back for it, and takes that agent's word for the whole domain until its own belief has caught up: tried one after the other,
// the agents of a domain use up a flow's tries, and its caller is refused while others have room.

// evacuated says whether the servers of a failure domain get no new flows.
func (e *Entry) evacuated(v *belief.View, domain string) bool {
	return v.Evacuated(domain) || e.emptied[domain] > v.Revision
}

// noteEvacuated takes an agent's word that its failure domain is evacuated, if the agent knows more than this entry.
func (e *Entry) noteEvacuated(v *belief.View, agent netip.Addr, m *msgs.Refused) {
	if m.Reason != msgs.ReasonEvacuated || m.Revision <= v.Revision {
		return
	}
	if s, ok := v.Server(agent); ok {
		e.emptied[s.Domain] = max(e.emptied[s.Domain], m.Revision)
	}
}

// caughtUp forgets what agents said of domains once the belief is as new as their word.
func (e *Entry) caughtUp(v *belief.View) {
	for domain, revision := range e.emptied {
		if revision <= v.Revision {
			delete(e.emptied, domain)
		}
	}
}

// unservedWhy says why no server of a service takes a new flow.
func (e *Entry) unservedWhy(v *belief.View, service string) string {
	for _, s := range v.Servers(service) {
		if e.evacuated(v, s.Domain) {
			return "evacuated"
		}
	}
	return "unserved"
}
