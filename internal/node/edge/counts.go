package edge

import "github.com/VictoriaMetrics/metrics"

var (
	received    = metrics.NewCounter(`mangowinch_caller_packets_total`)
	forwarded   = metrics.NewCounter(`mangowinch_carried_packets_total`)
	placed      = metrics.NewCounter(`mangowinch_flows_placed_total`)
	homeQueries = metrics.NewCounter(`mangowinch_flows_asked_total`)
	expired     = metrics.NewCounter(`mangowinch_flows_expired_total`)
	reachProbes = metrics.NewCounter(`mangowinch_reach_questions_total`)
	linkWaits   = metrics.NewCounter(`mangowinch_link_waits_total`)
	unanswered  = metrics.NewCounter(`mangowinch_flows_unanswered_total`)
	linkLate    = metrics.NewCounter(`mangowinch_link_late_total`)
	pacedCount  = metrics.NewCounter(`mangowinch_paced_packets_total`)
	pacedBytes  = metrics.NewCounter(`mangowinch_paced_bytes_total`)
	paceWaits   = metrics.NewSummary(`mangowinch_pace_wait_seconds`)
)

// countDropped counts a packet that was discarded.
func countDropped(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_dropped_packets_total{reason="` + reason + `"}`).Inc()
}

// countRefused counts a flow that was reset before it was open.
func countRefused(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_refused_total{reason="` + reason + `"}`).Inc()
}

// countReturned counts an opening packet that an agent returned.
func countReturned(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_turned_back_total{reason="` + reason + `"}`).Inc()
}

// countReset counts an open flow that the entry reset.
func countReset(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_reset_total{reason="` + reason + `"}`).Inc()
}
