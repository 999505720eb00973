// Package faults runs deployments as real processes under load, breaks parts of
// them, and compares what callers were told with what ran.
//
// A scenario is one fault, or several together, in plain steps. A run is one
// scenario with one seed: the seed chooses the victims, the moments and what
// callers ask. Real processes do not replay exactly, so a seed gives the same
// plan and not the same interleaving; what must be decided exactly is tested with
// the pure packages.
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
	warmFor   = 500 * time.Millisecond // load before a fault
	faultWith = time.Second            // the first fault comes within this time after it
	restFor   = 2 * time.Second        // load after the last step
)

// Settings say what to run.
type Settings struct {
	Deployment string
	Binaries   string
	FirstSeed  uint64   // first seed
	Seeds      int      // runs of each scenario
	Only       []string // parts of the names of scenarios; all if empty
	Verbose    bool     // print requests of unknown outcome
	Out        io.Writer
}

// Result is one run.
type Result struct {
	Scenario      string
	Seed          uint64
	Attempts      int
	Executions    int
	Outcomes      [3]int // by result.Outcome
	Caught        Caught
	Dials         int           // handshakes begun
	FailedDials   int           // handshakes that failed
	Repeated      int           // requests of unknown outcome sent again with their key
	SlowestLookup time.Duration // lookup, from asking to its end
	LastNewWork   time.Duration // from telling a server to leave to its last new request
	Note          string        // what the scenario measured besides
	Violations    []check.Violation
	Unknown       []string // requests of unknown outcome, each with what its caller saw
}

// Caught counts the requests in progress when the first fault struck, by step.
type Caught struct {
	Opening    int // handshake half done
	Waiting    int // not at a server yet
	Running    int // at a server, nothing of the answer back
	Midway     int // answer or upload half done
	HandedOver int // of these, at another agent than that of the caller's connection
}

// Run runs each scenario with each seed, one after the other.
func Run(ctx context.Context, s Settings) (results []Result, err error) {
	defer func() { err = errors.Wrap(err, "fault runs") }()
	for _, scenario := range Scenarios() {
		if !wanted(scenario.Name, s.Only) {
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

func wanted(name string, only []string) bool {
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
	left := ""
	if r.LastNewWork > 0 {
		left = ", last new work " + r.LastNewWork.Round(time.Millisecond).String() + " after the word to leave"
	}
	if r.Note != "" {
		left += ", " + r.Note
	}
	fmt.Fprintf(out, "%-34s seed %-4d %4d attempts (%d ran, %d not run, %d unknown), %4d executions, caught %d opening %d waiting %d running %d midway (%d handed over), %d repeats, %d of %d handshakes failed, slowest lookup %s%s: %d violations\n",
		r.Scenario, r.Seed, r.Attempts, r.Outcomes[result.Ran], r.Outcomes[result.NotRun], r.Outcomes[result.Unknown],
		r.Executions, r.Caught.Opening, r.Caught.Waiting, r.Caught.Running, r.Caught.Midway, r.Caught.HandedOver,
		r.Repeated, r.FailedDials, r.Dials, r.SlowestLookup.Round(time.Millisecond), left, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(out, "    %s\n", v)
	}
}

// run is one scenario in progress.
type run struct {
	ctx      context.Context
	fleet    *fleet.Fleet
	random   *rand.Rand
	load     *load
	struck   time.Time // when the first fault struck
	hit      map[string]bool
	leaving  []check.Leave
	moved    *move
	note     string // what the scenario measured besides
	extra    []check.Violation
	scenario Scenario
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
		hit:      map[string]bool{},
		scenario: scenario,
	}
	if scenario.Before != nil {
		if err := scenario.Before(r); err != nil {
			return Result{}, err
		}
	}
	r.load = startLoad(ctx, f, seed)
	r.wait(warmFor + time.Duration(r.random.Int64N(int64(faultWith))))
	r.struck = time.Now()
	if err := scenario.Steps(r); err != nil {
		r.extra = append(r.extra, check.Violation{Rule: check.Stuck, Token: scenario.Name, Detail: err.Error()})
	}
	r.wait(restFor)
	attempts := r.load.stop()
	executions, err := f.Executions()
	if err != nil {
		return Result{}, err
	}
	return r.judge(seed, attempts, executions), nil
}

func (r *run) judge(seed uint64, attempts []check.Attempt, executions []check.Execution) Result {
	r.moved.relabel(executions)
	places := map[string]check.Execution{}
	for _, e := range executions {
		places[e.Token] = e
	}
	answer := Result{
		Scenario:    r.scenario.Name,
		Seed:        seed,
		Attempts:    len(attempts),
		Executions:  len(executions),
		Dials:       len(r.load.dials),
		FailedDials: r.load.undialed,
		Repeated:    r.load.repeated,
	}
	for i := range attempts {
		a := &attempts[i]
		at, began := places[a.Token]
		// Whatever had come to a server must end whole, unless the fault hit that
		// server or the agent that holds the caller's connection.
		hit := r.hit[at.Service+"/"+at.Server] || r.hit[at.Service+"/"+at.Origin]
		a.MustComplete = a.MustComplete && began && !hit
		answer.Outcomes[a.Outcome]++
		if a.Outcome == result.Unknown {
			answer.Unknown = append(answer.Unknown, fmt.Sprintf("%s (%s) after %s, ran at %q: %s %s",
				a.Token, a.Want[:min(len(a.Want), 10)], a.Ended.Sub(a.Begun).Round(time.Millisecond), at.Server, a.Reason, a.Err))
		}
		if !a.Long {
			answer.SlowestLookup = max(answer.SlowestLookup, a.Ended.Sub(a.Begun))
		}
		answer.Caught.add(*a, at, began, r.struck)
	}
	answer.Caught.Opening = r.load.opening(r.struck)
	answer.Note = r.note
	answer.LastNewWork = lastNew(r.leaving, executions)
	answer.Violations = append(check.Check(check.Run{
		Attempts:   attempts,
		Executions: executions,
		Leaving:    r.leaving,
	}), r.extra...)
	return answer
}

// lastNew returns how long after being told to leave a server last took new work.
func lastNew(leaving []check.Leave, executions []check.Execution) (last time.Duration) {
	for _, l := range leaving {
		for _, e := range executions {
			if e.Service == l.Service && e.Server == l.Server {
				last = max(last, e.At.Sub(l.At))
			}
		}
	}
	return last
}

func (c *Caught) add(a check.Attempt, at check.Execution, began bool, struck time.Time) {
	if a.Begun.After(struck) || a.Ended.Before(struck) {
		return
	}
	if began && at.Origin != at.Server {
		c.HandedOver++
	}
	switch {
	case !began || at.At.After(struck):
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
