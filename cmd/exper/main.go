// Command exper runs experiments with the load decisions (admission, placement, retries) in virtual time, and compares
// them with baseline policies. It starts no processes; command bench measures real ones.
//
// # Usage
//
//	exper compare --service tracing-core --seed 1
//	exper sweep --threshold place
package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"mangowinch/internal/exper/policy"
	"mangowinch/internal/load/admit"
)

type arguments struct {
	Compare compareCommand `cmd:"" default:"withargs" help:"Run cases with all policies and print the tables."`
	Weights weightsCommand `cmd:"" help:"Compare the rules for the weights of new flows."`
	Aims    aimsCommand    `cmd:"" help:"Print the figures that the aims name."`
	Sweep   sweepCommand   `cmd:"" help:"Vary one threshold at a time under the loads that it is for."`
	Charts  chartsCommand  `cmd:"" help:"Draw goodput and p99 over the load into a directory."`

	Seed    uint64 `help:"Seed of arrivals and choices." default:"1"`
	Workers int    `help:"Runs at a time." default:"3"`
	Tuning  tuning `embed:""`
}

// tuning holds flags that override the thresholds in use.
type tuning struct {
	Wait    float64       `help:"admit: share of the time left that may be spent waiting." default:"${wait}"`
	Spread  float64       `help:"admit: spread of Retry-After." default:"${spread}"`
	Long    float64       `help:"admit: share of the slots for long work." default:"${long}"`
	Even    float64       `help:"place: difference in slot time that counts as equal." default:"${even}"`
	Shorter float64       `help:"place: share of the own time from which a full peer is better." default:"${shorter}"`
	Slower  float64       `help:"place: factor of service time that counts as slow." default:"${slower}"`
	Fade    time.Duration `help:"place: age at which a report no longer counts." default:"${fade}"`
	Report  time.Duration `help:"Time between two reports of an agent to its peers, 0 for on replies only." default:"${report}"`
	Usage   time.Duration `help:"Time constant of the slot time in reports." default:"${usage}"`
	Retries float64       `help:"retry: share of fresh work." default:"${retries}"`
}

func (t tuning) policy() policy.Tuning {
	p := policy.DefaultTuning
	p.Admit = admit.Rules{WaitShare: t.Wait, Spread: t.Spread, LongShare: t.Long}
	p.Place.EvenMargin, p.Place.ShorterFactor, p.Place.SlowFactor, p.Place.ReportLifetime = t.Even, t.Shorter, t.Slower, t.Fade
	p.ReportInterval, p.UsageWindow, p.Retry.Share = t.Report, t.Usage, t.Retries
	return p
}

// defaults returns the thresholds in use, as defaults of the flags.
func defaults(t policy.Tuning) kong.Vars {
	return kong.Vars{
		"wait": fmt.Sprint(t.Admit.WaitShare), "long": fmt.Sprint(t.Admit.LongShare), "spread": fmt.Sprint(t.Admit.Spread),
		"even": fmt.Sprint(t.Place.EvenMargin), "shorter": fmt.Sprint(t.Place.ShorterFactor), "slower": fmt.Sprint(t.Place.SlowFactor), "fade": t.Place.ReportLifetime.String(),
		"report": t.ReportInterval.String(), "usage": t.UsageWindow.String(), "retries": fmt.Sprint(t.Retry.Share),
	}
}

func main() {
	var a arguments
	c := kong.Parse(&a, kong.Description("Runs the experiments with the decisions under load in virtual time."), defaults(policy.DefaultTuning))
	c.FatalIfErrorf(c.Run(&a))
}
