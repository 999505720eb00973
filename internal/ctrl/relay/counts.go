package relay

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var probesTotal = metrics.GetOrCreateCounter(`mangowinch_relay_probes_total`)

// refused counts what was turned away or left out, by reason.
func refused(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_refused_total{reason=%q}`, reason)).Inc()
}

func exchanged(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_exchanges_total{result=%q}`, result)).Inc()
}

func pulled(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_pulls_total{result=%q}`, result)).Inc()
}

func beaten(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_beats_total{result=%q}`, result)).Inc()
}

func told(to string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_relay_told_total{to=%q}`, to)).Inc()
}
