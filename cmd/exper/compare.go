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

// Run prints the tables of the selected services and cases.
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

// compare runs a case with the selected policies and prints the tables.
func (c compareCommand) compare(out io.Writer, a *arguments, s cases.Service, v cases.Case) {
	var rows []table.Row
	for _, n := range policy.Names {
		if c.Policy == "" || c.Policy == string(n) {
			rows = append(rows, table.Row{Name: string(n)})
		}
	}
	forEach(a.Workers, len(rows), func(i int) {
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

// forEach calls run with each of 0 to n-1, with at most workers calls at a time.
func forEach(workers, n int, run func(int)) {
	var group sync.WaitGroup
	semaphore := make(chan struct{}, max(1, workers))
	for i := range n {
		semaphore <- struct{}{}
		group.Go(func() {
			run(i)
			<-semaphore
		})
	}
	group.Wait()
}

type weightsCommand struct {
	Case string `help:"Only cases whose name begins so."`
}

// flowSeeds is the number of runs averaged in a row. Single runs vary too much.
const flowSeeds = 10

// Run prints a table for each selected case.
func (w weightsCommand) Run(a *arguments) error {
	out := bufio.NewWriter(os.Stdout)
	for _, c := range flows.All() {
		if !strings.HasPrefix(c.Name, w.Case) {
			continue
		}
		rules := flows.Rules()
		names, reports := make([]string, len(rules)), make([]flows.Report, len(rules))
		forEach(a.Workers, len(rules), func(i int) {
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
