package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/frame"
	"mangowinch/internal/flow/table"
	"mangowinch/internal/work/result"
)

// counters are the metrics of the agent's service.
type counters struct {
	service string

	kept, passed, sided, returned, probes, woken, hints *metrics.Counter

	short, forged, wrongService, kind *metrics.Counter // unreadable, not authentic, of another service, of an unexpected kind
	foreign, hops, owner              *metrics.Counter // unknown connection ID, forwarded too often, server not in the document
	backlog, unsent, noPath           *metrics.Counter // QUIC's queue is full, sending failed, no entry known
	unusable, broken                  *metrics.Counter // rejected documents, aborted answers
	connections                       *metrics.Counter // refused because of the document's limit
}

func newCounters(service string) counters {
	event := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_agent_%s_total{service=%q}`, name, service))
	}
	dropped := func(reason string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_agent_dropped_total{service=%q,reason=%q}`, service, reason))
	}
	return counters{
		service:      service,
		kept:         event("kept"),
		passed:       event("passed"),
		sided:        event("sided"),
		returned:     event("returned"),
		probes:       event("probes"),
		woken:        event("woken"),
		hints:        event("hints"),
		short:        dropped("short"),
		forged:       dropped("forged"),
		wrongService: dropped("service"),
		kind:         dropped("kind"),
		foreign:      dropped("foreign"),
		hops:         dropped(string(table.TooManyHops)),
		owner:        dropped(string(table.UnknownServer)),
		backlog:      dropped("backlog"),
		unsent:       dropped("unsent"),
		noPath:       dropped("path"),
		unusable:     event("unusable"),
		broken:       event("broken"),

		connections: dropped("connections"),
	}
}

// countUnreadable counts a frame that cannot be read.
func (c *counters) countUnreadable(err error) {
	switch {
	case errors.Is(err, frame.ErrService):
		c.wrongService.Inc()
	case errors.Is(err, frame.ErrForged):
		c.forged.Inc()
	default:
		c.short.Inc()
	}
}

func (c *counters) countDropped(r table.Reason) {
	if r == table.TooManyHops {
		c.hops.Inc()
		return
	}
	c.owner.Inc()
}

// countResult counts a request by outcome and reason.
func (c *counters) countResult(r result.Result) {
	name := fmt.Sprintf(`mangowinch_requests_total{service=%q,outcome=%q,reason=%q}`, c.service, r.Outcome, r.Reason)
	metrics.GetOrCreateCounter(name).Inc()
}
