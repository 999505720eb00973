// Command exper runs the experiments with the decisions under load in virtual time.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"mangowinch/internal/exper/cases"
	"mangowinch/internal/exper/flows"
	"mangowinch/internal/exper/policy"
	"mangowinch/internal/exper/table"
	"mangowinch/internal/load/admit"
)

type arguments struct {
	Case    string `help:"Only cases whose name begins so."`
	Service string `help:"Only the service of this name." default:"tracing-core"`
	Policy  string `help:"Only the policy of this name."`
	Seed    uint64 `help:"Seed of arrivals and choices." default:"1"`
	Flows   bool   `help:"Compare the rules for the weights of new flows."`
	Workers int    `help:"Runs at a time." default:"3"`

	Wait    float64       `help:"admit: share of the time left that may be spent waiting." default:"${wait}"`
	Long    float64       `help:"admit: share of the slots for long work." default:"${long}"`
	Spread  float64       `help:"admit: spread of Retry-After." default:"${spread}"`
	Even    float64       `help:"place: difference in slot time that counts as equal." default:"${even}"`
	Shorter float64       `help:"place: share of the own time from which a full peer is better." default:"${shorter}"`
	Slower  float64       `help:"place: factor of service time that counts as slow." default:"${slower}"`
	Fade    time.Duration `help:"place: age at which a report no longer counts." default:"${fade}"`
	Report  time.Duration `help:"Time between two reports of an agent to its peers." default:"${report}"`
	Usage   time.Duration `help:"Time constant of the slot time in reports." default:"${usage}"`
	Retries float64       `help:"retry: share of fresh work." default:"${retries}"`
}

// tuning are the thresholds in use, but for those that were asked for.
func (a arguments) tuning() policy.Tuning {
	t := policy.Tuned
	t.Admit = admit.Rules{Wait: a.Wait, Spread: a.Spread, Long: a.Long}
	t.Place.Even, t.Place.Shorter, t.Place.Slower, t.Place.Fade = a.Even, a.Shorter, a.Slower, a.Fade
	t.Report, t.Usage, t.Retry.Share = a.Report, a.Usage, a.Retries
	return t
}

// defaults shows the thresholds in use as the flags' defaults.
func defaults(t policy.Tuning) kong.Vars {
	return kong.Vars{
		"wait": fmt.Sprint(t.Admit.Wait), "long": fmt.Sprint(t.Admit.Long), "spread": fmt.Sprint(t.Admit.Spread),
		"even": fmt.Sprint(t.Place.Even), "shorter": fmt.Sprint(t.Place.Shorter), "slower": fmt.Sprint(t.Place.Slower), "fade": t.Place.Fade.String(),
		"report": t.Report.String(), "usage": t.Usage.String(), "retries": fmt.Sprint(t.Retry.Share),
	}
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Description("Runs the experiments with the decisions under load in virtual time."), defaults(policy.Tuned))
	if a.Flows {
		compareFlows(a)
		return
	}
	for _, s := range cases.Services {
		if a.Service != "all" && a.Service != s.Name {
			continue
		}
		for _, c := range cases.All() {
			if strings.HasPrefix(c.Name, a.Case) {
				compare(a, s, c)
			}
		}
	}
}

// compare runs a case with all policies and prints the tables.
func compare(a arguments, s cases.Service, c cases.Case) {
	var rows []table.Row
	for _, n := range policy.Names {
		if a.Policy == "" || a.Policy == string(n) {
			rows = append(rows, table.Row{Name: string(n)})
		}
	}
	var group sync.WaitGroup
	turns := make(chan struct{}, max(1, a.Workers))
	for i := range rows {
		turns <- struct{}{}
		group.Go(func() {
			rows[i].Report = cases.Run(c, s, policy.Name(rows[i].Name), a.tuning(), a.Seed)
			<-turns
		})
	}
	group.Wait()
	fmt.Printf("### %s, %s\n\n%s.\n\n", c.Name, s.Name, c.Story)
	table.Write(os.Stdout, rows)
	fmt.Println()
	table.Callers(os.Stdout, rows)
	fmt.Println()
}

// flowSeeds is how many runs make up a row: one alone is noisy.
const flowSeeds = 10

// compareFlows runs the cases of the weights of new flows with all rules.
func compareFlows(a arguments) {
	for _, c := range flows.All() {
		if !strings.HasPrefix(c.Name, a.Case) {
			continue
		}
		var names []string
		var reports []flows.Report
		for _, r := range flows.Rules() {
			names = append(names, r.Name)
			var seeds []flows.Report
			for s := range uint64(flowSeeds) {
				seeds = append(seeds, flows.Run(c, r.Rules, a.Seed+s))
			}
			reports = append(reports, flows.Mean(seeds))
		}
		fmt.Printf("### weights, %s\n\n%s. Means of %d seeds.\n\n", c.Name, c.Story, flowSeeds)
		table.Flows(os.Stdout, names, reports)
		fmt.Println()
	}
}
