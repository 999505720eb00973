package edge

import (
	"fmt"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/load/room"
)

var (
	received    = metrics.NewCounter(`mangowinch_caller_packets_total`)
	forwarded   = metrics.NewCounter(`mangowinch_carried_packets_total`)
	placed      = metrics.NewCounter(`mangowinch_flows_placed_total`)
	homeQueries = metrics.NewCounter(`mangowinch_flows_asked_total`)
	expired     = metrics.NewCounter(`mangowinch_flows_expired_total`)
	reachProbes = metrics.NewCounter(`mangowinch_reach_questions_total`)
	linkWaits   = metrics.NewCounter(`mangowinch_link_waits_total`)
	retried     = metrics.NewCounter(`mangowinch_flows_retried_total`)
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

// countLevel counts a new flow by the level of what its caller uses.
func countLevel(level uint8) {
	metrics.GetOrCreateCounter(`mangowinch_flows_by_usage_total{usage="` + strconv.Itoa(int(level)) + `"}`).Inc()
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

// setLevel sets the metric of the part of a service's new flows that the entry admits.
func setLevel(service string, priority, percent int) {
	name := fmt.Sprintf(`mangowinch_level_percent{service=%q,priority="%d"}`, service, priority)
	metrics.GetOrCreateGauge(name, nil).Set(float64(percent))
}

// setRoom sets the metrics of a service's servers in one failure domain.
func setRoom(s *room.Sum) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`mangowinch_room_slots{service=%q,domain=%q}`, s.Service, s.Domain), nil).Set(float64(s.Slots))
	metrics.GetOrCreateGauge(fmt.Sprintf(`mangowinch_room_busy{service=%q,domain=%q}`, s.Service, s.Domain), nil).Set(float64(s.Busy))
	metrics.GetOrCreateGauge(fmt.Sprintf(`mangowinch_room_capacity{service=%q,domain=%q}`, s.Service, s.Domain), nil).Set(s.Capacity)
}
