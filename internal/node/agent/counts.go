package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/frame"
	"mangowinch/internal/flow/table"
	"mangowinch/internal/work/result"
)

// counters are those of the agent's service.
type counters struct {
	service string

	kept, passed, sided, returned, probes, woken, hints *metrics.Counter

	short, forged, stray, kind *metrics.Counter // unreadable, not authentic, of another service, of no use here
	foreign, hops, owner       *metrics.Counter // ID of nobody, passed on too often, server not in the document
	backlog, unsent, noPath    *metrics.Counter // QUIC is behind, the kernel refused it, no entry known
	unusable, broken           *metrics.Counter // documents, answers broken off
	connections                *metrics.Counter // refused over the document's limit
}

func newCounters(service string) counters {
	event := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_agent_%s_total{service=%q}`, name, service))
	}
	dropped := func(reason string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_agent_dropped_total{service=%q,reason=%q}`, service, reason))
	}
	return counters{
		service:  service,
		kept:     event("kept"),
		passed:   event("passed"),
		sided:    event("sided"),
		returned: event("returned"),
		probes:   event("probes"),
		woken:    event("woken"),
		hints:    event("hints"),
		short:    dropped("short"),
		forged:   dropped("forged"),
		stray:    dropped("service"),
		kind:     dropped("kind"),
		foreign:  dropped("foreign"),
		hops:     dropped(string(table.TooManyHops)),
		owner:    dropped(string(table.UnknownServer)),
		backlog:  dropped("backlog"),
		unsent:   dropped("unsent"),
		noPath:   dropped("path"),
		unusable: event("unusable"),
		broken:   event("broken"),

		connections: dropped("connections"),
	}
}

// refuse counts a frame that cannot be read.
func (c *counters) refuse(err error) {
	switch {
	case errors.Is(err, frame.ErrService):
		c.stray.Inc()
	case errors.Is(err, frame.ErrForged):
		c.forged.Inc()
	default:
		c.short.Inc()
	}
}

func (c *counters) drop(r table.Reason) {
	if r == table.TooManyHops {
		c.hops.Inc()
		return
	}
	c.owner.Inc()
}

// end counts a request by outcome and reason.
func (c *counters) end(r result.Result) {
	name := fmt.Sprintf(`mangowinch_requests_total{service=%q,outcome=%q,reason=%q}`, c.service, r.Outcome, r.Reason)
	metrics.GetOrCreateCounter(name).Inc()
}
