// Package known judges a run of the tests against the list of those that are known to
// fail, so that CI passes over just these and nothing else.
//
// The way in for a fault is whatever a known failure may hide: a package that does not
// build, a panic that ends a package before its other tests ran, a test that was
// renamed and is no longer run. Each of these fails the run. A known test that passes
// does not, because it may be one that fails at times, but it is reported, so that its
// line goes.
//
// # Usage
//
//	list, err := known.Parse(text)
//	verdict, err := known.Judge(events, status, list) // output and exit code of go test -json
//	verdict.Print(os.Stdout)
//	if !verdict.Pass() {
//		os.Exit(1)
//	}
package known

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Verdict is what came out of a run.
type Verdict struct {
	Passed, Failed int       // tests, subtests not counted
	Faults         []string  // why the run does not pass
	Known          []Failure // known, and failed
	Passing        []Failure // known, and passed
}

// Pass says whether nothing failed but what is known to.
func (v *Verdict) Pass() bool { return len(v.Faults) == 0 }

// Print writes the verdict; its last line counts the tests.
func (v *Verdict) Print(w io.Writer) {
	for _, r := range v.Known {
		fmt.Fprintf(w, "known to fail: %s %s | %s | %s | %s\n", r.Test, r.Package, r.Command, r.Observed, r.Issue)
	}
	for _, r := range v.Passing {
		fmt.Fprintf(w, "passed though known to fail, so remove its line: %s %s\n", r.Test, r.Package)
	}
	for _, f := range v.Faults {
		fmt.Fprintf(w, "fault: %s\n", f)
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", v.Passed, v.Failed)
}

// event is one line of go test -json.
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// each calls f for every event.
func each(events io.Reader, f func(e event)) error {
	d := json.NewDecoder(events)
	for {
		var e event
		err := d.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		f(e)
	}
}

// unit is one package during the run.
type unit struct {
	tests   map[string]string // action that ended the test, "" while it runs
	crashed bool
	ended   string
}

// Judge reads the output of go test -json. Status is the exit code of go test. The
// error is of the reading; faults of the run are in the verdict.
func Judge(events io.Reader, status int, list []Failure) (v *Verdict, err error) {
	defer func() { err = errors.Wrap(err, "read test events") }()

	v = &Verdict{}
	units := map[string]*unit{}
	if err := each(events, func(e event) { v.take(units, e) }); err != nil {
		return nil, err
	}
	for _, name := range sorted(units) {
		v.judge(name, units[name], list)
	}
	v.missing(units, list)
	if status != 0 && len(v.Known) == 0 && v.Pass() {
		v.fault("go test ended with %d and no test says why", status)
	}
	if v.Passed == 0 {
		v.fault("no test passed")
	}
	return v, nil
}

func (v *Verdict) take(units map[string]*unit, e event) {
	if e.Action == "build-fail" {
		v.fault("%s does not build", e.ImportPath)
	}
	if e.Package == "" {
		return
	}
	u := units[e.Package]
	if u == nil {
		u = &unit{tests: map[string]string{}}
		units[e.Package] = u
	}
	switch e.Action {
	case "run":
		u.tests[e.Test] = ""
	case "output":
		u.crashed = u.crashed || strings.HasPrefix(e.Output, "panic: ") || strings.HasPrefix(e.Output, "fatal error: ")
	case "pass", "fail", "skip":
		if e.Test == "" {
			u.ended = e.Action
		} else {
			u.tests[e.Test] = e.Action
		}
	}
}

// judge counts the tests of one package and finds its faults.
func (v *Verdict) judge(name string, u *unit, list []Failure) {
	explained := false // the package failed because of a known test
	for _, test := range sorted(u.tests) {
		action := u.tests[test]
		v.count(test, action)
		switch {
		case action == "skip":
			v.fault("%s %s was skipped", name, test)
		case action == "":
			v.fault("%s %s did not end", name, test)
		case action != "fail":
		case u.isKnown(name, test, list):
			explained = true
		default:
			v.fault("%s %s failed", name, test)
		}
	}
	if u.crashed && u.ended != "pass" {
		v.fault("%s crashed, so tests after that did not run", name)
	}
	if u.ended != "pass" && u.ended != "skip" && !explained {
		v.fault("%s failed", name)
	}
}

func (v *Verdict) count(test, action string) {
	switch {
	case strings.Contains(test, "/"):
	case action == "pass":
		v.Passed++
	case action == "fail":
		v.Failed++
	}
}

// isKnown says whether a failure is known: the test is listed, or is a subtest of a
// listed one, or failed only because subtests did that are known.
func (u *unit) isKnown(name, test string, list []Failure) bool {
	if slices.ContainsFunc(list, func(r Failure) bool {
		return r.Package == name && (r.Test == test || strings.HasPrefix(test, r.Test+"/"))
	}) {
		return true
	}
	found := false
	for sub, action := range u.tests {
		if action != "fail" || !strings.HasPrefix(sub, test+"/") {
			continue
		}
		if !u.isKnown(name, sub, list) {
			return false
		}
		found = true
	}
	return found
}

// missing sorts the known tests into those that failed and those that passed, and
// reports the rest, which a change of name would hide.
func (v *Verdict) missing(units map[string]*unit, list []Failure) {
	for _, r := range list {
		u := units[r.Package]
		if u == nil {
			u = &unit{}
		}
		action, ran := u.tests[r.Test]
		switch {
		case action == "fail":
			v.Known = append(v.Known, r)
		case action == "pass":
			v.Passing = append(v.Passing, r)
		case !ran:
			v.fault("%s %s is known to fail and was not run", r.Package, r.Test)
		}
	}
}

func (v *Verdict) fault(format string, args ...any) {
	v.Faults = append(v.Faults, fmt.Sprintf(format, args...))
}

func sorted[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
