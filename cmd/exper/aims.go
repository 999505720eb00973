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

// aimsFor is how long the saturation lasts here.
const aimsFor = 30 * time.Second

// figures are what the aims name, of one service and seed.
type figures struct {
	goodput   float64       // at 5 times capacity over that at 1 times
	refusal   time.Duration // p99 of the time to a refusal, the longest of 1.2, 2 and 5 times
	modest    float64       // share of its lone answers in time that a modest caller keeps beside a heavy one, the worse of two
	modestP99 float64       // its p99 over its lone one, the worse of two
	balance   [2]float64    // between servers at 70%: windows of 1 s and 10 s
	best      [2]float64    // of the baselines of placement
	bestName  [2]string

	recoveries string
}

// Run implements kong's command.
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
	each(a.Workers, len(jobs), func(i int) { rows[i] = measure(jobs[i].service, jobs[i].seed, a.Tuning.policy()) })
	for i, f := range rows {
		fmt.Fprintf(out, "| %s | %d | %.3f | %.1f ms | %.1f%% | %.2f | %.3f | %.3f %s | %.3f | %.3f %s | %s |\n",
			jobs[i].service.Name, jobs[i].seed, f.goodput, float64(f.refusal)/float64(time.Millisecond), 100*f.modest, f.modestP99,
			f.balance[1], f.best[1], f.bestName[1], f.balance[0], f.best[0], f.bestName[0], f.recoveries)
	}
	return out.Flush()
}

func measure(s cases.Service, seed uint64, t policy.Tuning) (f figures) {
	own := func(c cases.Case) meter.Report { return cases.Run(c, s, policy.Mangowinch, t, seed) }
	once := own(cases.Saturation(1, aimsFor))
	for i, c := range []cases.Case{cases.Saturation(1.2, aimsFor), cases.Saturation(2, aimsFor), cases.Saturation(5, aimsFor), cases.Burst()} {
		r := own(c)
		if i == 2 {
			f.goodput = r.Goodput / once.Goodput
		}
		f.refusal = max(f.refusal, r.RefusalP99)
		if i > 0 {
			f.recoveries += ", "
		}
		f.recoveries += fmt.Sprintf("%.1f ms", float64(r.RecoveryTime)/float64(time.Millisecond))
	}
	alone, beside := own(cases.Alone()), own(cases.Heavy())
	f.modest = 1
	for i, c := range beside.Callers[1:] {
		lone := alone.Callers[i]
		f.modest = min(f.modest, c.InTime/lone.InTime)
		f.modestP99 = max(f.modestP99, float64(c.P99)/float64(lone.P99))
	}
	f.compareServers(s, seed, t)
	return f
}

// compareServers compares the imbalance between servers with the baselines of placement.
func (f *figures) compareServers(s cases.Service, seed uint64, t policy.Tuning) {
	own := cases.Run(cases.Steady(), s, policy.Mangowinch, t, seed)
	f.balance = [2]float64{own.Imbalance1, own.Imbalance10}
	for _, n := range []policy.Name{policy.RoundRobin, policy.Random, policy.LeastConnections, policy.LeastReported, policy.ByFlow} {
		r := cases.Run(cases.Steady(), s, n, t, seed)
		for i, v := range []float64{r.Imbalance1, r.Imbalance10} {
			if f.bestName[i] == "" || v < f.best[i] {
				f.best[i], f.bestName[i] = v, string(n)
			}
		}
	}
}
