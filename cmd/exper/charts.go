package main

import (
	"path/filepath"
	"time"

	"mangowinch/internal/exper/cases"
	"mangowinch/internal/exper/chart"
	"mangowinch/internal/exper/meter"
	"mangowinch/internal/exper/policy"
)

type chartsCommand struct {
	Directory string `arg:"" help:"Where the SVG files go." type:"existingdir"`
}

// loadLevels lists the offered loads, as multiples of the capacity.
var loadLevels = []float64{0.3, 0.5, 0.7, 0.8, 0.9, 1, 1.2, 1.5, 2, 3, 5}

// chartDuration is the duration of the run at each load.
const chartDuration = 20 * time.Second

// Run writes the charts.
func (c chartsCommand) Run(a *arguments) error {
	goodput := chart.Chart{Title: "Goodput, tracing-core", X: "offered load / capacity", Y: "share of slot time answered in time", LogX: true}
	p99 := chart.Chart{Title: "p99 of lookups, tracing-core", X: "offered load / capacity", Y: "milliseconds", LogX: true, LogY: true}
	imbalance := chart.Chart{Title: "Imbalance between servers (windows of 10 s), tracing-core", X: "offered load / capacity", Y: "greatest / mean slot time", LogX: true}
	for _, n := range policy.Names {
		reports := make([]meter.Report, len(loadLevels))
		forEach(a.Workers, len(loadLevels), func(i int) {
			reports[i] = cases.Run(cases.Saturation(loadLevels[i], chartDuration), cases.TracingCore, n, a.Tuning.policy(), a.Seed)
		})
		curve := func(value func(meter.Report) float64) chart.Line {
			l := chart.Line{Name: string(n)}
			for i, r := range reports {
				l.Points = append(l.Points, chart.Point{X: loadLevels[i], Y: value(r)})
			}
			return l
		}
		goodput.Lines = append(goodput.Lines, curve(func(r meter.Report) float64 { return r.Goodput }))
		p99.Lines = append(p99.Lines, curve(func(r meter.Report) float64 { return max(1, float64(r.P99)/float64(time.Millisecond)) }))
		if n != policy.LeastReported {
			imbalance.Lines = append(imbalance.Lines, curve(func(r meter.Report) float64 { return r.Imbalance10 }))
		}
	}
	for name, figure := range map[string]chart.Chart{"goodput.svg": goodput, "p99.svg": p99, "balance.svg": imbalance} {
		if err := chart.Write(filepath.Join(c.Directory, name), figure); err != nil {
			return err
		}
	}
	return nil
}
