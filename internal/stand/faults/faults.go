// Package faults runs deployments as real processes under load, injects faults, and
// compares the outcomes that callers saw with the requests that the servers executed.
//
// A scenario is a sequence of steps that injects one fault or a combination of faults. A
// run is one scenario with one seed, which determines the affected processes, the times
// of the faults and the requests of the callers. It is not a deterministic simulation:
// the processes are real, so a seed reproduces the plan but not the interleaving. The
// tests of the pure packages cover what has to be reproduced exactly.
//
// # Usage
//
//	results, err := faults.Run(ctx, faults.Settings{Binaries: "out", Deployment: "examples/zagreb", Seeds: 3})
//	for _, r := range results {
//		fmt.Println(r.Scenario, r.Seed, len(r.Violations))
//	}
package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/stand/check"
	"mangowinch/internal/stand/fleet"
	"mangowinch/internal/work/result"
)

const (
	loadBeforeFault = 500 * time.Millisecond // load runs at least this long before the first fault
	maxFaultDelay   = time.Second            // bounds the random delay that is added to loadBeforeFault
	loadAfterSteps  = 2 * time.Second        // load runs this long after the last step
)

// Settings configure the runs.
type Settings struct {
	Deployment string
	Binaries   string
	FirstSeed  uint64
	Seeds      int      // runs of each scenario, each with the next seed
	Only       []string // runs only scenarios whose name contains one of these; all if empty
	Verbose    bool     // print requests of unknown outcome
	Out        io.Writer
}

// Result is the result of one run.
type Result struct {
	Scenario      string
	Seed          uint64
	Attempts      int
	Executions    int
	Outcomes      [3]int // number of attempts, indexed by result.Outcome
	InProgress    StageCounts
	Dials         int           // handshakes started
	FailedDials   int           // handshakes that failed
	Repeated      int           // requests of unknown outcome sent again with their key
	SlowestLookup time.Duration // longest duration of an attempt that is not long
	LastNewWork   time.Duration // longest time from telling a server to leave to a new request at it
	Note          string        // additional figures of the scenario
	Violations    []check.Violation
	Unknown       []string // one description for each request of unknown outcome
}

// StageCounts holds the numbers of requests that were in progress at the time of the first fault, by stage.
type StageCounts struct {
	Opening    int // handshake in progress
	Waiting    int // not yet started at a server
	Running    int // started at a server, answer not yet complete
	Midway     int // feed or upload in progress
	HandedOver int // started at another server than that of the agent that holds the caller's connection; also counted above
}

// Run runs each selected scenario with each seed, one after the other.
func Run(ctx context.Context, s Settings) (results []Result, err error) {
	defer func() { err = errors.Wrap(err, "fault runs") }()
	for _, scenario := range Scenarios() {
		if !selected(scenario.Name, s.Only) {
			continue
		}
		for i := range s.Seeds {
			seed := s.FirstSeed + uint64(i)
			r, err := runOne(ctx, s, scenario, seed)
			if err != nil {
				return results, errors.Wrapf(err, "%s seed %d", scenario.Name, seed)
			}
			printResult(s.Out, r)
			if s.Verbose {
				for _, u := range r.Unknown {
					fmt.Fprintf(s.Out, "    unknown: %s\n", u)
				}
			}
			results = append(results, r)
		}
	}
	return results, nil
}

func selected(name string, only []string) bool {
	if len(only) == 0 {
		return true
	}
	for _, part := range only {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

func printResult(out io.Writer, r Result) {
	details := ""
	if r.LastNewWork > 0 {
		details = ", last new work " + r.LastNewWork.Round(time.Millisecond).String() + " after the server was told to leave"
	}
	if r.Note != "" {
		details += ", " + r.Note
	}
	fmt.Fprintf(out, "%-34s seed %-4d %4d attempts (%d ran, %d not run, %d unknown), %4d executions, caught %d opening %d waiting %d running %d midway (%d handed over), %d repeats, %d of %d handshakes failed, slowest lookup %s%s: %d violations\n",
		r.Scenario, r.Seed, r.Attempts, r.Outcomes[result.Ran], r.Outcomes[result.NotRun], r.Outcomes[result.Unknown],
		r.Executions, r.InProgress.Opening, r.InProgress.Waiting, r.InProgress.Running, r.InProgress.Midway, r.InProgress.HandedOver,
		r.Repeated, r.FailedDials, r.Dials, r.SlowestLookup.Round(time.Millisecond), details, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(out, "    %s\n", v)
	}
}

// run is the state of one run of a scenario.
type run struct {
	ctx             context.Context
	fleet           *fleet.Fleet
	random          *rand.Rand
	load            *load
	faultTime       time.Time       // time of the first fault
	affected        map[string]bool // servers, as SERVICE/SERVER, at which the fault may interrupt work
	leaving         []check.Leave
	moved           *move
	note            string // Result.Note
	extraViolations []check.Violation
	scenario        Scenario
}

func runOne(ctx context.Context, s Settings, scenario Scenario, seed uint64) (Result, error) {
	f, err := fleet.Start(ctx, fleet.Settings{Deployment: s.Deployment, Binaries: s.Binaries})
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	r := &run{
		ctx:      ctx,
		fleet:    f,
		random:   rand.New(rand.NewPCG(seed, 1)),
		affected: map[string]bool{},
		scenario: scenario,
	}
	if scenario.Before != nil {
		if err := scenario.Before(r); err != nil {
			return Result{}, err
		}
	}
	r.load = startLoad(ctx, f, seed)
	r.wait(loadBeforeFault + time.Duration(r.random.Int64N(int64(maxFaultDelay))))
	r.faultTime = time.Now()
	if err := scenario.Steps(r); err != nil {
		r.extraViolations = append(r.extraViolations, check.Violation{Rule: check.Stuck, Token: scenario.Name, Detail: err.Error()})
	}
	r.wait(loadAfterSteps)
	attempts := r.load.stop()
	executions, err := f.Executions()
	if err != nil {
		return Result{}, err
	}
	return r.evaluate(seed, attempts, executions), nil
}

func (r *run) evaluate(seed uint64, attempts []check.Attempt, executions []check.Execution) Result {
	r.moved.relabel(executions)
	executionOf := map[string]check.Execution{}
	for _, e := range executions {
		executionOf[e.Token] = e
	}
	res := Result{
		Scenario:    r.scenario.Name,
		Seed:        seed,
		Attempts:    len(attempts),
		Executions:  len(executions),
		Dials:       len(r.load.dials),
		FailedDials: r.load.failedDials,
		Repeated:    r.load.repeated,
	}
	for i := range attempts {
		a := &attempts[i]
		e, began := executionOf[a.Token]
		// A request that started at a server must complete, unless the fault affects that
		// server or the agent that holds the caller's connection.
		affected := r.affected[e.Service+"/"+e.Server] || r.affected[e.Service+"/"+e.Origin]
		a.MustComplete = a.MustComplete && began && !affected
		res.Outcomes[a.Outcome]++
		if a.Outcome == result.Unknown {
			res.Unknown = append(res.Unknown, fmt.Sprintf("%s (%s) after %s, ran at %q: %s %s",
				a.Token, a.Want[:min(len(a.Want), 10)], a.Ended.Sub(a.Begun).Round(time.Millisecond), e.Server, a.Reason, a.Err))
		}
		if !a.Long {
			res.SlowestLookup = max(res.SlowestLookup, a.Ended.Sub(a.Begun))
		}
		res.InProgress.add(*a, e, began, r.faultTime)
	}
	res.InProgress.Opening = r.load.openHandshakes(r.faultTime)
	res.Note = r.note
	res.LastNewWork = lastNewWork(r.leaving, executions)
	res.Violations = append(check.Check(check.Run{
		Attempts:   attempts,
		Executions: executions,
		Leaving:    r.leaving,
	}), r.extraViolations...)
	return res
}

// lastNewWork returns the longest time after which a server that was told to leave took new work.
func lastNewWork(leaving []check.Leave, executions []check.Execution) (last time.Duration) {
	for _, l := range leaving {
		for _, e := range executions {
			if e.Service == l.Service && e.Server == l.Server {
				last = max(last, e.At.Sub(l.At))
			}
		}
	}
	return last
}

func (c *StageCounts) add(a check.Attempt, e check.Execution, began bool, faultTime time.Time) {
	if a.Begun.After(faultTime) || a.Ended.Before(faultTime) {
		return
	}
	if began && e.Origin != e.Server {
		c.HandedOver++
	}
	switch {
	case !began || e.At.After(faultTime):
		c.Waiting++
	case a.Long:
		c.Midway++
	default:
		c.Running++
	}
}

func (r *run) wait(d time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-time.After(d):
	}
}
