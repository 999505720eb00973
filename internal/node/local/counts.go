package local

import "github.com/VictoriaMetrics/metrics"

var (
	received       = metrics.NewCounter(`mangowinch_received_packets_total`)
	sent           = metrics.NewCounter(`mangowinch_sent_packets_total`)
	forwarded      = metrics.NewCounter(`mangowinch_forwarded_packets_total`)
	learned        = metrics.NewCounter(`mangowinch_flows_learned_total`)
	registered     = metrics.NewCounter(`mangowinch_flows_registered_total`)
	offers         = metrics.NewCounter(`mangowinch_offers_total`)
	queued         = metrics.NewCounter(`mangowinch_flows_held_total`)
	lookupsStarted = metrics.NewCounter(`mangowinch_searches_total`)
	rounds         = metrics.NewCounter(`mangowinch_search_rounds_total`)
	questions      = metrics.NewCounter(`mangowinch_search_questions_total`)
	probes         = metrics.NewCounter(`mangowinch_probes_total`)
	lookupTime     = metrics.NewHistogram(`mangowinch_search_seconds`)
	openTime       = metrics.NewHistogram(`mangowinch_open_seconds`)
	answerTime     = metrics.NewHistogram(`mangowinch_answer_seconds`)

	serviceTime    = metrics.NewGauge(`mangowinch_service_seconds`, nil)
	evacuatedFlows = metrics.NewGauge(`mangowinch_evacuated_flows`, nil)
)

// countDropped counts a dropped packet.
func countDropped(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_dropped_packets_total{reason="` + reason + `"}`).Inc()
}

// countReturned counts an opening packet that was returned to its entry.
func countReturned(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_handed_back_total{reason="` + reason + `"}`).Inc()
}

// countReset counts a flow that the agent reset.
func countReset(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_reset_total{reason="` + reason + `"}`).Inc()
}

// countConfirmed counts a reading of the settings that confirms the server's service, by its outcome.
func countConfirmed(outcome string) {
	metrics.GetOrCreateCounter(`mangowinch_service_confirmed_total{outcome="` + outcome + `"}`).Inc()
}

// countUnserved counts a waiting flow that the server never received.
func countUnserved(reason string) {
	metrics.GetOrCreateCounter(`mangowinch_flows_unserved_total{reason="` + reason + `"}`).Inc()
}
