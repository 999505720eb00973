package follow

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/ctrl/belief"
)

// evacuatedDomains is the number of failure domains whose servers get no new flows.
var evacuatedDomains = metrics.NewGauge(`mangowinch_evacuated_domains`, nil)

// logEvacuations logs the failure domains whose evacuation began or was revoked since a view.
func (n *Node) logEvacuations(before *belief.View) {
	v := n.Log.View()
	old, now := before.EvacuatedDomains(), v.EvacuatedDomains()
	evacuatedDomains.Set(float64(len(now)))
	for _, d := range now {
		if !slices.Contains(old, d) {
			n.Events.State("evacuated").Str("domain", d).Int("agents", v.AgentsIn(d)).Stringer("revision", v.Revision).Send()
		}
	}
	for _, d := range old {
		if !slices.Contains(now, d) {
			n.Events.State("taken-back").Str("domain", d).Int("agents", v.AgentsIn(d)).Stringer("revision", v.Revision).Send()
		}
	}
}
