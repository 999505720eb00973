// Package table writes reports of experiments as Markdown tables.
//
// # Usage
//
//	table.Write(os.Stdout, rows)
package table

import (
	"fmt"
	"io"
	"time"

	"mangowinch/internal/exper/flows"
	"mangowinch/internal/exper/meter"
)

// Row is one line of a table.
type Row struct {
	Name   string
	Report meter.Report
}

// Write writes a table with one row for each report.
func Write(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| policy | goodput | in time | p50 | p99 | refused | refusal p99 | late | failed | servers 1 s | servers 10 s | Jain | worst caller | twice | given up | broken | recovered | settled | handed |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		v := r.Report
		fmt.Fprintf(w, "| %s | %.1f%% | %s | %s | %s | %s | %s | %s | %s | %.3f | %.3f | %.3f | %.3f | %d | %d | %d | %s | %s | %.1f%% |\n",
			r.Name, 100*v.Goodput, share(v.InTime, v.Offered), ms(v.P50), ms(v.P99), share(v.Refused, v.Offered), ms(v.RefusalP99),
			share(v.Late, v.Offered), share(v.Failed, v.Offered), v.Imbalance1, v.Imbalance10, v.Jain, v.WorstCaller, v.RunTwice, v.GivenUp, v.Broken,
			ms(v.RecoveryTime), ms(v.EmptiedAfter), 100*v.HandedOver)
	}
}

// Callers writes what each caller got.
func Callers(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| policy | caller | offered | in time | of its due | lookups in time | p50 | p99 |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		for _, c := range r.Report.Callers {
			fmt.Fprintf(w, "| %s | %s | %d | %.1f%% | %.3f | %.1f%% | %s | %s |\n",
				r.Name, c.Name, c.Offered, 100*c.InTime, c.OfFairShare, 100*c.LookupsInTime, ms(c.P50), ms(c.P99))
		}
	}
}

func share(n, all int) string {
	if all == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(all))
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// Flows writes what became of the weights of new flows.
func Flows(w io.Writer, names []string, reports []flows.Report) {
	fmt.Fprintln(w, "| rule | imbalance before | moved a minute | entries apart | peak of the healthy | time off | imbalance at the end | strays |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for i, r := range reports {
		fmt.Fprintf(w, "| %s | %.3f | %.1f%% | %.2f%% | %.2f | %.0f s | %.3f | %.0f |\n",
			names[i], r.ImbalanceBefore, 100*r.ShareChange, 100*r.Divergence, r.PeakHealthy, r.TimeImbalanced.Seconds(), r.ImbalanceAfter, r.StrayFlows)
	}
}
