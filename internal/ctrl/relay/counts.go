package relay

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var probesTotal = metrics.GetOrCreateCounter(`mangowinch_relay_probes_total`)

// countRefused counts what was refused or left out, by reason.
func countRefused(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_refused_total{reason=%q}`, reason)).Inc()
}

func countExchange(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_exchanges_total{result=%q}`, result)).Inc()
}

func countPull(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_pulls_total{result=%q}`, result)).Inc()
}

func countHeartbeat(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_beats_total{result=%q}`, result)).Inc()
}

func countSent(to string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_told_total{to=%q}`, to)).Inc()
}
