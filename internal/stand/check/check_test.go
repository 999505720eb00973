package check

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/work/result"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func attempt(change func(*Attempt)) Attempt {
	a := Attempt{
		Token: "t1", Service: "tracing-core", AtMostOnce: true, Outcome: result.Ran,
		Want: "/lookup/t1 t1\n", Got: "/lookup/t1 t1\n", Begun: start, Ended: start.Add(time.Second),
	}
	if change != nil {
		change(&a)
	}
	return a
}

func execution(service, server string, after time.Duration) Execution {
	return Execution{Service: service, Server: server, Token: "t1", At: start.Add(after)}
}

// Each rule is given a run that violates it and nothing else.
func TestEachViolationIsCaught(t *testing.T) {
	ran := []Execution{execution("tracing-core", "s1", 0)}
	tests := map[Rule]Run{
		RanTwice: {
			Attempts:   []Attempt{attempt(nil)},
			Executions: []Execution{execution("tracing-core", "s1", 0), execution("tracing-core", "s2", 0)},
		},
		FalseNotRun: {
			Attempts:   []Attempt{attempt(func(a *Attempt) { a.Outcome, a.Got, a.Err = result.NotRun, "", "503" })},
			Executions: ran,
		},
		FalseRan:    {Attempts: []Attempt{attempt(nil)}},
		WrongAnswer: {Attempts: []Attempt{attempt(func(a *Attempt) { a.Got = "/lookup/t2 t2\n" })}, Executions: ran},
		Truncated:   {Attempts: []Attempt{attempt(func(a *Attempt) { a.Got = "/lookup/t1" })}, Executions: ran},
		Interrupted: {
			Attempts:   []Attempt{attempt(func(a *Attempt) { a.MustComplete, a.Outcome, a.Err = true, result.Unknown, "timeout" })},
			Executions: ran,
		},
		WrongService: {Attempts: []Attempt{attempt(nil)}, Executions: []Execution{execution("doc-intake", "s1", 0)}},
		LateWork: {
			Attempts:   []Attempt{attempt(nil)},
			Executions: []Execution{execution("tracing-core", "s1", 3001*time.Millisecond)},
			Leaving:    []Leave{{Service: "tracing-core", Server: "s1", At: start}},
		},
		Unrequested: {Executions: ran},
	}
	for rule, run := range tests {
		violations := Check(run)
		assert.Equal(t, len(violations), 1, "%s: %v", rule, violations)
		assert.Equal(t, violations[0].Rule, rule)
	}
}

// A run that keeps every promise, whatever mixture of outcomes it has, is clean.
func TestCleanRunsAreClean(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Run
		r.Leaving = []Leave{{Service: "tracing-core", Server: "s9", At: start}}
		for _, token := range rapid.SliceOfNDistinct(rapid.StringMatching("t[0-9]{6}"), 0, 20, rapid.ID[string]).Draw(t, "tokens") {
			a := attempt(func(a *Attempt) { a.Token, a.Want, a.Got = token, token, token })
			a.AtMostOnce = rapid.Bool().Draw(t, "once")
			a.Outcome = result.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
			runs := 1
			switch {
			case a.Outcome == result.NotRun:
				runs, a.Got = 0, ""
			case a.Outcome == result.Unknown:
				runs, a.Got, a.Err = rapid.IntRange(0, 1).Draw(t, "runs"), "", "lost"
			case !a.AtMostOnce:
				runs = rapid.IntRange(1, 3).Draw(t, "runs")
			}
			r.Attempts = append(r.Attempts, a)
			for range runs {
				r.Executions = append(r.Executions, Execution{Service: a.Service, Server: "s1", Token: token, At: start})
			}
		}
		assert.Equal(t, len(Check(r)), 0)
	})
}
