package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"

	"mangowinch/internal/exper/cases"
	"mangowinch/internal/exper/flows"
	"mangowinch/internal/exper/policy"
	"mangowinch/internal/exper/table"
)

type compareCommand struct {
	Case    string `help:"Only cases whose name begins so."`
	Service string `help:"Only the service of this name, or all." default:"tracing-core"`
	Policy  string `help:"Only the policy of this name."`
}

// Run implements kong's command.
func (c compareCommand) Run(a *arguments) error {
	out := bufio.NewWriter(os.Stdout)
	for _, s := range cases.Services {
		if c.Service != "all" && c.Service != s.Name {
			continue
		}
		for _, v := range cases.All() {
			if strings.HasPrefix(v.Name, c.Case) {
				c.compare(out, a, s, v)
			}
		}
	}
	return out.Flush()
}

// compare runs a case with all policies and prints the tables.
func (c compareCommand) compare(out io.Writer, a *arguments, s cases.Service, v cases.Case) {
	var rows []table.Row
	for _, n := range policy.Names {
		if c.Policy == "" || c.Policy == string(n) {
			rows = append(rows, table.Row{Name: string(n)})
		}
	}
	each(a.Workers, len(rows), func(i int) {
		rows[i].Report = cases.Run(v, s, policy.Name(rows[i].Name), a.Tuning.policy(), a.Seed)
	})
	fmt.Fprintf(out, "### %s, %s\n\n%s.\n\n", v.Name, s.Name, v.Description)
	table.Write(out, rows)
	fmt.Fprintln(out)
	table.Callers(out, rows)
	fmt.Fprintln(out)
	for _, r := range rows {
		if len(r.Report.Reasons) > 0 {
			fmt.Fprintf(out, "Refusals by reason, %s: %v\n\n", r.Name, r.Report.Reasons)
		}
	}
}

// each calls a function with 0 to n-1, some at a time.
func each(workers, n int, run func(int)) {
	var group sync.WaitGroup
	turns := make(chan struct{}, max(1, workers))
	for i := range n {
		turns <- struct{}{}
		group.Go(func() {
			run(i)
			<-turns
		})
	}
	group.Wait()
}

type weightsCommand struct {
	Case string `help:"Only cases whose name begins so."`
}

// flowSeeds is how many runs make up a row: one alone is noisy.
const flowSeeds = 10

// Run implements kong's command.
func (w weightsCommand) Run(a *arguments) error {
	out := bufio.NewWriter(os.Stdout)
	for _, c := range flows.All() {
		if !strings.HasPrefix(c.Name, w.Case) {
			continue
		}
		rules := flows.Rules()
		names, reports := make([]string, len(rules)), make([]flows.Report, len(rules))
		each(a.Workers, len(rules), func(i int) {
			var seeds []flows.Report
			for s := range uint64(flowSeeds) {
				seeds = append(seeds, flows.Run(c, rules[i].Rules, a.Seed+s))
			}
			names[i], reports[i] = rules[i].Name, flows.Mean(seeds)
		})
		fmt.Fprintf(out, "### weights, %s\n\n%s. Means of %d seeds.\n\n", c.Name, c.Description, flowSeeds)
		table.Flows(out, names, reports)
		fmt.Fprintln(out)
	}
	return out.Flush()
}
