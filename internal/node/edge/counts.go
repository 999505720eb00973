package edge

import "github.com/VictoriaMetrics/metrics"

var (
	received = metrics.NewCounter(`mangowinch_caller_packets_total`)
	carried  = metrics.NewCounter(`mangowinch_carried_packets_total`)
	placed   = metrics.NewCounter(`mangowinch_flows_placed_total`)
	asked    = metrics.NewCounter(`mangowinch_flows_asked_total`)
	expired  = metrics.NewCounter(`mangowinch_flows_expired_total`)
	asks     = metrics.NewCounter(`mangowinch_reach_questions_total`)
	heldUp   = metrics.NewCounter(`mangowinch_link_waits_total`)
	silent   = metrics.NewCounter(`mangowinch_flows_unanswered_total`)
)

// dropped counts a packet that went nowhere.
func dropped(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_dropped_packets_total{reason="` + reason + `"}`).Inc()
}

// refused counts a flow that was reset before it was open.
func refused(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_refused_total{reason="` + reason + `"}`).Inc()
}

// turnedBack counts an opening packet that an agent handed back.
func turnedBack(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_turned_back_total{reason="` + reason + `"}`).Inc()
}

// resets counts open flows that the entry ended.
func resets(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_reset_total{reason="` + reason + `"}`).Inc()
}
