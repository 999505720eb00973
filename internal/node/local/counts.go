package local

import "github.com/VictoriaMetrics/metrics"

var (
	received   = metrics.NewCounter(`mangowinch_received_packets_total`)
	sent       = metrics.NewCounter(`mangowinch_sent_packets_total`)
	forwarded  = metrics.NewCounter(`mangowinch_forwarded_packets_total`)
	learned    = metrics.NewCounter(`mangowinch_flows_learned_total`)
	registered = metrics.NewCounter(`mangowinch_flows_registered_total`)
	offers     = metrics.NewCounter(`mangowinch_offers_total`)
	held       = metrics.NewCounter(`mangowinch_flows_held_total`)
	searched   = metrics.NewCounter(`mangowinch_searches_total`)
	rounds     = metrics.NewCounter(`mangowinch_search_rounds_total`)
	questions  = metrics.NewCounter(`mangowinch_search_questions_total`)
	probes     = metrics.NewCounter(`mangowinch_probes_total`)
	searchTime = metrics.NewHistogram(`mangowinch_search_seconds`)
	openTime   = metrics.NewHistogram(`mangowinch_open_seconds`)
	answerTime = metrics.NewHistogram(`mangowinch_answer_seconds`)

	evacuatedFlows = metrics.NewGauge(`mangowinch_evacuated_flows`, nil)
)

// dropped counts a packet that went nowhere.
func dropped(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_dropped_packets_total{reason="` + reason + `"}`).Inc()
}

// handedBack counts an opening packet that went back to its entry.
func handedBack(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_handed_back_total{reason="` + reason + `"}`).Inc()
}

// resets counts flows that the agent ended.
func resets(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_reset_total{reason="` + reason + `"}`).Inc()
}
