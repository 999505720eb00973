package main

import (
	"bufio"
	"fmt"
	"os"
	"time"

	"mangowinch/internal/exper/cases"
	"mangowinch/internal/exper/meter"
	"mangowinch/internal/exper/policy"
)

type aimsCommand struct {
	Seeds int `help:"Runs, each with a seed of its own." default:"3"`
}

// aimsDuration is the duration of each saturation run.
const aimsDuration = 30 * time.Second

// figures holds the figures that the aims refer to, for one service and seed.
type figures struct {
	goodput       float64       // at 5 times the capacity, relative to that at the capacity
	refusal       time.Duration // p99 of the time to a refusal; the maximum at 1.2, 2 and 5 times the capacity and in the burst
	modestShare   float64       // answers in time to a modest caller beside a heavy one, relative to those without it; the minimum of two callers
	modestP99     float64       // p99 of a modest caller beside a heavy one, relative to that without it; the maximum of two callers
	imbalance     [2]float64    // between servers at 70% of the capacity, in windows of 1 s and 10 s
	bestImbalance [2]float64    // lowest imbalance of the placement baselines
	bestBaseline  [2]string

	recoveries string
}

// Run prints the figures of all services and seeds.
func (c aimsCommand) Run(a *arguments) error {
	out := bufio.NewWriter(os.Stdout)
	fmt.Fprintln(out, "| service | seed | goodput 5x / 1x | refusal p99 | modest caller keeps | its p99 / alone | servers 10 s | best baseline | servers 1 s | best baseline | recovered after 1.2x, 2x, 5x, burst |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
	type job struct {
		service cases.Service
		seed    uint64
	}
	var jobs []job
	for _, s := range cases.Services {
		for i := range c.Seeds {
			jobs = append(jobs, job{s, a.Seed + uint64(i)})
		}
	}
	rows := make([]figures, len(jobs))
	forEach(a.Workers, len(jobs), func(i int) { rows[i] = measure(jobs[i].service, jobs[i].seed, a.Tuning.policy()) })
	for i, f := range rows {
		fmt.Fprintf(out, "| %s | %d | %.3f | %.1f ms | %.1f%% | %.2f | %.3f | %.3f %s | %.3f | %.3f %s | %s |\n",
			jobs[i].service.Name, jobs[i].seed, f.goodput, float64(f.refusal)/float64(time.Millisecond), 100*f.modestShare, f.modestP99,
			f.imbalance[1], f.bestImbalance[1], f.bestBaseline[1], f.imbalance[0], f.bestImbalance[0], f.bestBaseline[0], f.recoveries)
	}
	return out.Flush()
}

func measure(s cases.Service, seed uint64, t policy.Tuning) (f figures) {
	own := func(c cases.Case) meter.Report { return cases.Run(c, s, policy.Mangowinch, t, seed) }
	atCapacity := own(cases.Saturation(1, aimsDuration))
	for i, c := range []cases.Case{cases.Saturation(1.2, aimsDuration), cases.Saturation(2, aimsDuration), cases.Saturation(5, aimsDuration), cases.Burst()} {
		r := own(c)
		if i == 2 {
			f.goodput = r.Goodput / atCapacity.Goodput
		}
		f.refusal = max(f.refusal, r.RefusalP99)
		if i > 0 {
			f.recoveries += ", "
		}
		f.recoveries += fmt.Sprintf("%.1f ms", float64(r.RecoveryTime)/float64(time.Millisecond))
	}
	alone, beside := own(cases.Alone()), own(cases.Heavy())
	f.modestShare = 1
	for i, c := range beside.Callers[1:] {
		baseline := alone.Callers[i]
		f.modestShare = min(f.modestShare, c.InTime/baseline.InTime)
		f.modestP99 = max(f.modestP99, float64(c.P99)/float64(baseline.P99))
	}
	f.compareServers(s, seed, t)
	return f
}

// compareServers compares the imbalance between servers with that of the placement baselines.
func (f *figures) compareServers(s cases.Service, seed uint64, t policy.Tuning) {
	own := cases.Run(cases.Steady(), s, policy.Mangowinch, t, seed)
	f.imbalance = [2]float64{own.Imbalance1, own.Imbalance10}
	for _, n := range []policy.Name{policy.RoundRobin, policy.Random, policy.LeastConnections, policy.LeastReported, policy.ByFlow} {
		r := cases.Run(cases.Steady(), s, n, t, seed)
		for i, v := range []float64{r.Imbalance1, r.Imbalance10} {
			if f.bestBaseline[i] == "" || v < f.bestImbalance[i] {
				f.bestImbalance[i], f.bestBaseline[i] = v, string(n)
			}
		}
	}
}
