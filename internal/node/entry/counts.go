package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of one service. Each dropped datagram is counted under one reason.
type counters struct {
	received, forwarded, named, ranked, returned, echoes *metrics.Counter

	short, smallOpener, foreign, size *metrics.Counter // unreadable, opening datagram too small, connection ID names no server, too large
	unknown, noServer                 *metrics.Counter // server not in the document, no server at all
	unsent, unread, forged            *metrics.Counter // write failed, read failed, frame not authentic
	unusable, conflict                *metrics.Counter // document or address that can't be used, address claimed by two services
	silent                            *metrics.Counter // servers found unresponsive
	hints                             *metrics.Counter // frames that carried a newer revision of the document
}

func newCounters(service string) counters {
	event := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_entry_%s_total{service=%q}`, name, service))
	}
	dropped := func(reason string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_entry_dropped_total{service=%q,reason=%q}`, service, reason))
	}
	return counters{
		received:    event("received"),
		forwarded:   event("forwarded"),
		named:       event("named"),
		ranked:      event("ranked"),
		returned:    event("returned"),
		echoes:      event("echoes"),
		silent:      event("silent"),
		hints:       event("hints"),
		short:       dropped("short"),
		smallOpener: dropped("opener"),
		foreign:     dropped("foreign"),
		size:        dropped("size"),
		unknown:     dropped("unknown"),
		noServer:    dropped("nobody"),
		unsent:      dropped("unsent"),
		unread:      dropped("unread"),
		forged:      dropped("forged"),
		unusable:    event("unusable"),
		conflict:    event("conflict"),
	}
}
