// Package check compares what callers were told with what ran: the histories of
// all backend servers and the attempts of all callers of one run.
//
// It is pure, and knows neither processes nor the network. It decides nothing
// about timing but one thing, whether a server that was told to leave took new
// work after the allowed time.
//
// # Usage
//
//	violations := check.Check(check.Run{Attempts: attempts, Executions: executions, Leaving: leaving})
//	for _, v := range violations {
//		fmt.Println(v)
//	}
package check

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"mangowinch/internal/work/result"
)

// LeaveGrace is how long a server that was told to leave may take new work.
const LeaveGrace = 3 * time.Second

// Rule names what was violated.
type Rule string

// The rules.
const (
	RanTwice      Rule = "twice"    // a request that is not idempotent ran more than once
	FalseNotRun   Rule = "lied"     // told not-run, and it ran
	FalseRan      Rule = "ghost"    // told ran, and no history has it
	WrongAnswer   Rule = "foreign"  // the answer of another request
	Truncated     Rule = "partial"  // taken for whole, and is not
	Interrupted   Rule = "cut"      // had to survive the fault, and did not
	WrongService  Rule = "crossed"  // ran at another service
	LateWork      Rule = "late"     // new work at a server that had been told to leave
	Unrequested   Rule = "stranger" // ran, and no caller asked for it
	Reverted      Rule = "reverted" // an accepted document is not in force; found by runs, not by Check
	TooMuchMemory Rule = "grown"    // a process took more memory than it may; found by runs, not by Check
	Stuck         Rule = "stuck"    // a process did not start or stop as it must; found by runs, not by Check
)

// Attempt is one request as its caller saw it. A repeat with a request key counts
// as one attempt with its first try, with the outcome of the last.
type Attempt struct {
	Token        string // unique in the run, part of the path
	Service      string
	AtMostOnce   bool // not idempotent
	MustComplete bool // must come to its end whole in spite of the fault
	Long         bool // a feed or an upload
	Outcome      result.Outcome
	Reason       string
	Want         string // the whole answer
	Got          string // as far as it came
	Err          string // why the answer is not whole, empty if the caller takes it for whole
	Begun        time.Time
	Ended        time.Time
}

// Execution is one request that ran, by the history of its server.
type Execution struct {
	Service string
	Server  string
	Origin  string // server of the agent that holds the caller's connection
	Token   string
	At      time.Time
}

// Leave says that a server was told to leave.
type Leave struct {
	Service string
	Server  string
	At      time.Time
}

// Run is everything that is known of one run.
type Run struct {
	Attempts   []Attempt
	Executions []Execution
	Leaving    []Leave
}

// Violation is one broken promise.
type Violation struct {
	Rule   Rule
	Token  string
	Detail string
}

// String returns the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Rule, v.Token, v.Detail) }

// Check returns the violations of a run, ordered by token.
func Check(r Run) (violations []Violation) {
	ran := map[string][]Execution{}
	for _, e := range r.Executions {
		ran[e.Token] = append(ran[e.Token], e)
	}
	asked := map[string]bool{}
	for _, a := range r.Attempts {
		asked[a.Token] = true
		violations = append(violations, checkAttempt(a, ran[a.Token])...)
	}
	for _, e := range r.Executions {
		if !asked[e.Token] {
			violations = append(violations, Violation{Unrequested, e.Token, "ran at " + e.Server})
		}
	}
	violations = append(violations, checkLeaving(r)...)
	sort.SliceStable(violations, func(i, j int) bool { return violations[i].Token < violations[j].Token })
	return violations
}

func checkAttempt(a Attempt, ran []Execution) (violations []Violation) {
	add := func(rule Rule, detail string) {
		violations = append(violations, Violation{rule, a.Token, detail})
	}
	if a.AtMostOnce && len(ran) > 1 {
		add(RanTwice, "ran at "+places(ran))
	}
	if a.Outcome == result.NotRun && len(ran) > 0 {
		add(FalseNotRun, "ran at "+places(ran)+", reason "+a.Reason)
	}
	if a.Outcome == result.Ran && len(ran) == 0 {
		add(FalseRan, "in no history")
	}
	for _, e := range ran {
		if e.Service != a.Service {
			add(WrongService, "asked of "+a.Service+", ran at "+e.Service+" "+e.Server)
		}
	}
	switch {
	case a.Outcome == result.Ran && a.Got != "" && !strings.Contains(firstLine(a.Got), a.Token):
		add(WrongAnswer, fmt.Sprintf("got %.80q", a.Got))
	case a.Outcome == result.Ran && a.Err == "" && a.Got != a.Want:
		add(Truncated, fmt.Sprintf("got %d bytes of %d", len(a.Got), len(a.Want)))
	}
	if a.MustComplete && (a.Outcome != result.Ran || a.Err != "") {
		add(Interrupted, fmt.Sprintf("%s %s after %d bytes of %d in %s: %s", a.Outcome, a.Reason,
			len(a.Got), len(a.Want), a.Ended.Sub(a.Begun).Round(time.Millisecond), a.Err))
	}
	return violations
}

func checkLeaving(r Run) (violations []Violation) {
	for _, l := range r.Leaving {
		for _, e := range r.Executions {
			after := e.At.Sub(l.At)
			if e.Service == l.Service && e.Server == l.Server && after > LeaveGrace {
				violations = append(violations, Violation{LateWork, e.Token,
					fmt.Sprintf("began at %s %s after it was told to leave", e.Server, after.Round(time.Millisecond))})
			}
		}
	}
	return violations
}

func places(ran []Execution) string {
	var names []string
	for _, e := range ran {
		names = append(names, e.Server)
	}
	return strings.Join(names, ", ")
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
