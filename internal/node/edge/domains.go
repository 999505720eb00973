package edge

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/load/spill"
)

// Metrics and log lines of the split of new flows over the failure domains (package spill).

// splitReportInterval is the shortest time between two updates of a service's metrics and log lines.
const splitReportInterval = time.Second

// splitReport is what was last reported about the split of a service.
type splitReport struct {
	crossing bool
	at       time.Time
	gauges   []string // names of the metrics, of services and failure domains of the view
}

// reportSplits updates the metrics of all services, and logs when a split leaves or returns to all local.
func (e *Entry) reportSplits(now time.Time) {
	for _, service := range e.chooser.Services() {
		if e.splits[service] == nil {
			e.splits[service] = &splitReport{}
		}
	}
	for service, r := range e.splits {
		if now.Sub(r.at) < splitReportInterval {
			continue
		}
		r.at = now
		p := e.chooser.Split(service)
		r.setGauges(service, p)
		e.logSplit(r, service, p)
		if p == nil {
			delete(e.splits, service)
		}
	}
}

// logSplit logs whether a part of the flows of a service goes to other failure domains, if that has changed.
func (e *Entry) logSplit(r *splitReport, service string, p *spill.Split) {
	crossing := p != nil && p.Local() < 1
	if crossing == r.crossing {
		return
	}
	r.crossing = crossing
	if crossing {
		e.Events.State("domain-full").Str("service", service).Float64("local", p.Local()).Send()
		return
	}
	e.Events.State("domain-local").Str("service", service).Send()
}

// setGauges sets the metrics of a service, and removes those of failure domains of which nothing is known any more.
func (r *splitReport) setGauges(service string, p *spill.Split) {
	before := r.gauges
	r.gauges = nil
	if p != nil {
		r.addGauges(service, p)
	}
	for _, name := range before {
		if !slices.Contains(r.gauges, name) {
			metrics.UnregisterMetric(name)
		}
	}
}

func (r *splitReport) addGauges(service string, p *spill.Split) {
	r.setGauge(fmt.Sprintf(`mangowinch_local_part{service=%q}`, service), p.Local())
	for _, d := range p.Domains() {
		if d.Known {
			r.setGauge(fmt.Sprintf(`mangowinch_domain_capacity{service=%q,domain=%q}`, service, d.Name), d.Capacity)
			r.setGauge(fmt.Sprintf(`mangowinch_domain_use{service=%q,domain=%q}`, service, d.Name), d.Use)
		}
	}
}

func (r *splitReport) setGauge(name string, value float64) {
	metrics.GetOrCreateGauge(name, nil).Set(value)
	r.gauges = append(r.gauges, name)
}
