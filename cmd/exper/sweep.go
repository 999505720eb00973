package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"

	"mangowinch/internal/exper/cases"
	"mangowinch/internal/exper/meter"
	"mangowinch/internal/exper/policy"
)

type sweepCommand struct {
	Threshold string `help:"Only thresholds whose name begins so."`
	Seeds     int    `help:"Runs that make up a row." default:"2"`
}

// threshold is a parameter to vary, with the cases that it affects.
type threshold struct {
	name   string
	values []float64
	set    func(*policy.Tuning, float64)
	cases  []cases.Case
}

// thresholds lists the parameters to sweep. The values of each include the value in use.
func thresholds() []threshold {
	return []threshold{
		{"admit wait", []float64{0.1, 0.2, 0.3, 0.4, 0.6, 1}, func(t *policy.Tuning, v float64) { t.Admit.WaitShare = v }, []cases.Case{cases.Tight(), cases.Lying()}},
		{"admit spread", []float64{0, 1, 2, 4, 8}, func(t *policy.Tuning, v float64) { t.Admit.Spread = v }, []cases.Case{cases.Storm()}},
		{"admit long", []float64{0.25, 0.5, 0.75, 1}, func(t *policy.Tuning, v float64) { t.Admit.LongShare = v }, []cases.Case{cases.Long()}},
		{"place even", []float64{0, 0.005, 0.01, 0.02, 0.05}, func(t *policy.Tuning, v float64) { t.Place.EvenMargin = v }, []cases.Case{cases.Steady()}},
		{"place shorter", []float64{0.5, 0.7, 0.8, 0.9, 1}, func(t *policy.Tuning, v float64) { t.Place.ShorterFactor = v }, []cases.Case{cases.Lying(), cases.Partial()}},
		{"place slower", []float64{1.5, 2, 3, 100}, func(t *policy.Tuning, v float64) { t.Place.SlowFactor = v }, []cases.Case{cases.Slow(), cases.Lying()}},
		{"place fade, seconds", []float64{0.5, 1, 2, 5}, func(t *policy.Tuning, v float64) { t.Place.ReportLifetime = time.Duration(v * float64(time.Second)) }, []cases.Case{cases.Steady()}},
		{"place slow start, seconds", []float64{0, 5, 10, 20}, func(t *policy.Tuning, v float64) { t.Place.SlowStart = time.Duration(v * float64(time.Second)) }, []cases.Case{cases.Cold()}},
		{"place ceiling", []float64{0.2, 1.0 / 3, 0.5, 1}, func(t *policy.Tuning, v float64) { t.Place.MaxEjected = v }, []cases.Case{cases.FailHalf(3), cases.FailHalf(7)}},
		{"retry share", []float64{0, 0.05, 0.1, 0.3, 10}, func(t *policy.Tuning, v float64) { t.Retry.Share = v }, []cases.Case{cases.Partial(), cases.Storm()}},
		{"usage window, seconds", []float64{0.5, 1, 2, 5}, func(t *policy.Tuning, v float64) { t.UsageWindow = time.Duration(v * float64(time.Second)) }, []cases.Case{cases.Steady()}},
		{"reports, seconds (0: on replies)", []float64{0, 0.05, 0.25, 1}, func(t *policy.Tuning, v float64) { t.ReportInterval = time.Duration(v * float64(time.Second)) }, []cases.Case{cases.Steady(), cases.Slow()}},
	}
}

// Run prints a table for each selected threshold and case.
func (c sweepCommand) Run(a *arguments) error {
	out := bufio.NewWriter(os.Stdout)
	for _, t := range thresholds() {
		if !strings.HasPrefix(t.name, c.Threshold) {
			continue
		}
		for _, v := range t.cases {
			c.sweep(out, a, t, v)
		}
	}
	return out.Flush()
}

func (c sweepCommand) sweep(out *bufio.Writer, a *arguments, t threshold, v cases.Case) {
	fmt.Fprintf(out, "### %s: %s\n\n%s, tracing-core. Means of %d seeds.\n\n", t.name, v.Name, v.Description, c.Seeds)
	fmt.Fprintln(out, "| value | goodput | in time | p50 | p99 | refused | refusal p99 | late | failed | given up | servers 1 s | servers 10 s | handed |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	reports := make([]meter.Report, len(t.values)*c.Seeds)
	forEach(a.Workers, len(reports), func(i int) {
		tuning := a.Tuning.policy()
		t.set(&tuning, t.values[i/c.Seeds])
		reports[i] = cases.Run(v, cases.TracingCore, policy.Mangowinch, tuning, a.Seed+uint64(i%c.Seeds))
	})
	for i, value := range t.values {
		m := mean(reports[i*c.Seeds : (i+1)*c.Seeds])
		fmt.Fprintf(out, "| %.3g | %.1f%% | %.2f%% | %.1f ms | %.1f ms | %.2f%% | %.1f ms | %.2f%% | %.2f%% | %.0f | %.3f | %.3f | %.1f%% |\n",
			value, 100*m.goodput, 100*m.inTime, m.p50, m.p99, 100*m.refused, m.refusal, 100*m.late, 100*m.failed, m.givenUp, m.imbalance1, m.imbalance10, 100*m.handed)
	}
	fmt.Fprintln(out)
}

// means holds the means over several reports, with times in milliseconds.
type means struct {
	goodput, inTime, p50, p99, refused, refusal, late, failed, givenUp, imbalance1, imbalance10, handed float64
}

func mean(reports []meter.Report) (m means) {
	n := float64(len(reports))
	milli := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) / n }
	for _, r := range reports {
		all := float64(r.Offered) * n
		m.goodput += r.Goodput / n
		m.inTime += float64(r.InTime) / all
		m.p50 += milli(r.P50)
		m.p99 += milli(r.P99)
		m.refused += float64(r.Refused) / all
		m.refusal += milli(r.RefusalP99)
		m.late += float64(r.Late) / all
		m.failed += float64(r.Failed) / all
		m.givenUp += float64(r.GivenUp) / n
		m.imbalance1 += r.Imbalance1 / n
		m.imbalance10 += r.Imbalance10 / n
		m.handed += r.HandedOver / n
	}
	return m
}
