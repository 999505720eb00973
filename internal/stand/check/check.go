// Package check verifies the outcomes that callers saw against the requests that
// backend servers executed. Its input is the history of all servers and the attempts
// of all callers of one run.
//
// It is a pure function of that input and uses neither processes nor the network. The
// only timing rule is that a server which was told to leave takes no new work after a
// grace period.
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

// LeaveGrace is how long a server may still take new work after it was told to leave.
const LeaveGrace = 3 * time.Second

// Rule identifies a rule that a run can violate.
type Rule string

// The rules.
const (
	RanTwice      Rule = "twice"    // a request that is not idempotent ran more than once
	FalseNotRun   Rule = "lied"     // the caller received not-run, but the request ran
	FalseRan      Rule = "ghost"    // the caller received ran, but no server's history has the request
	WrongAnswer   Rule = "foreign"  // the caller received the answer to another request
	Truncated     Rule = "partial"  // the caller accepted an incomplete answer as complete
	Interrupted   Rule = "cut"      // had to complete in spite of the fault, but did not
	WrongService  Rule = "crossed"  // ran at a server of another service
	LateWork      Rule = "late"     // a server took new work more than LeaveGrace after it was told to leave
	Unrequested   Rule = "stranger" // ran, but no caller sent it
	Reverted      Rule = "reverted" // an accepted document is not in force; reported by fault runs, not by Check
	TooMuchMemory Rule = "grown"    // a process exceeds its memory limit; reported by fault runs, not by Check
	Stuck         Rule = "stuck"    // a step failed, such as a start or stop of a process; reported by fault runs, not by Check
)

// Attempt is one request as its caller saw it. A request and its repeats with the same
// request key are one attempt, which has the outcome of the last repeat.
type Attempt struct {
	Token        string // unique in the run and part of the path
	Service      string
	AtMostOnce   bool // not idempotent
	MustComplete bool // must end with a complete answer in spite of the fault
	Long         bool // a feed or an upload
	Outcome      result.Outcome
	Reason       string
	Want         string // the complete expected answer
	Got          string // the part of the answer that was received
	Err          string // why the answer is incomplete; empty if the caller accepted it as complete
	Begun        time.Time
	Ended        time.Time
}

// Execution is one request that ran, as recorded by its server.
type Execution struct {
	Service string
	Server  string
	Origin  string // server of the agent that holds the caller's connection
	Token   string
	At      time.Time
}

// Leave records when a server was told to leave.
type Leave struct {
	Service string
	Server  string
	At      time.Time
}

// Run holds the records of one run.
type Run struct {
	Attempts   []Attempt
	Executions []Execution
	Leaving    []Leave
}

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	Token  string
	Detail string
}

// String returns the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Rule, v.Token, v.Detail) }

// Check returns the violations of a run, ordered by token.
func Check(r Run) (violations []Violation) {
	executionsOf := map[string][]Execution{}
	for _, e := range r.Executions {
		executionsOf[e.Token] = append(executionsOf[e.Token], e)
	}
	requested := map[string]bool{}
	for _, a := range r.Attempts {
		requested[a.Token] = true
		violations = append(violations, checkAttempt(a, executionsOf[a.Token])...)
	}
	for _, e := range r.Executions {
		if !requested[e.Token] {
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
		add(RanTwice, "ran at "+serverNames(ran))
	}
	if a.Outcome == result.NotRun && len(ran) > 0 {
		add(FalseNotRun, "ran at "+serverNames(ran)+", reason "+a.Reason)
	}
	if a.Outcome == result.Ran && len(ran) == 0 {
		add(FalseRan, "in no server's history")
	}
	for _, e := range ran {
		if e.Service != a.Service {
			add(WrongService, "sent to "+a.Service+", ran at "+e.Service+" "+e.Server)
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

func serverNames(ran []Execution) string {
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
