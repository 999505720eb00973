// Package known evaluates a test run against the list of tests that are known to
// fail, so that CI ignores exactly these failures. It does not run the tests.
//
// A known failure must not hide other faults: a package that does not
// build, a panic that ends a package before its other tests have run, a listed test that was
// renamed and is no longer run. Each of these fails the run. A listed test that passes
// does not fail the run, because the test may be flaky, but it is reported, so that its
// line is removed from the list.
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

// Verdict is the result of a test run.
type Verdict struct {
	Passed, Failed int       // top-level tests, subtests not counted
	Faults         []string  // reasons why the run does not pass
	Known          []Failure // listed tests that failed
	Passing        []Failure // listed tests that passed
}

// Pass reports whether the run has no failures other than the listed ones.
func (v *Verdict) Pass() bool { return len(v.Faults) == 0 }

// Print writes the verdict. The last line is the count of tests.
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

// event is one line of the output of go test -json.
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// eachEvent calls f for every event.
func eachEvent(events io.Reader, f func(e event)) error {
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

// packageRun is the state of one package's tests during the run.
type packageRun struct {
	tests   map[string]string // test name to the action that ended it, "" while it runs
	crashed bool
	result  string
}

// Judge reads the output of go test -json and evaluates it. The status is the exit code of go test. An
// error means that the output could not be read; faults of the run are in the verdict.
func Judge(events io.Reader, status int, list []Failure) (v *Verdict, err error) {
	defer func() { err = errors.Wrap(err, "read test events") }()

	v = &Verdict{}
	packages := map[string]*packageRun{}
	if err := eachEvent(events, func(e event) { v.addEvent(packages, e) }); err != nil {
		return nil, err
	}
	for _, name := range sortedKeys(packages) {
		v.judgePackage(name, packages[name], list)
	}
	v.checkListed(packages, list)
	if status != 0 && len(v.Known) == 0 && v.Pass() {
		v.fault("go test exited with status %d but no test failed", status)
	}
	if v.Passed == 0 {
		v.fault("no test passed")
	}
	return v, nil
}

func (v *Verdict) addEvent(packages map[string]*packageRun, e event) {
	if e.Action == "build-fail" {
		v.fault("%s does not build", e.ImportPath)
	}
	if e.Package == "" {
		return
	}
	p := packages[e.Package]
	if p == nil {
		p = &packageRun{tests: map[string]string{}}
		packages[e.Package] = p
	}
	switch e.Action {
	case "run":
		p.tests[e.Test] = ""
	case "output":
		p.crashed = p.crashed || strings.HasPrefix(e.Output, "panic: ") || strings.HasPrefix(e.Output, "fatal error: ")
	case "pass", "fail", "skip":
		if e.Test == "" {
			p.result = e.Action
		} else {
			p.tests[e.Test] = e.Action
		}
	}
}

// judgePackage counts the tests of one package and records its faults.
func (v *Verdict) judgePackage(name string, p *packageRun, list []Failure) {
	explained := false // a listed test failed, which explains the failure of the package
	for _, test := range sortedKeys(p.tests) {
		action := p.tests[test]
		v.count(test, action)
		switch {
		case action == "skip":
			v.fault("%s %s was skipped", name, test)
		case action == "":
			v.fault("%s %s did not end", name, test)
		case action != "fail":
		case p.isKnown(name, test, list):
			explained = true
		default:
			v.fault("%s %s failed", name, test)
		}
	}
	if p.crashed && p.result != "pass" {
		v.fault("%s crashed, so tests after that did not run", name)
	}
	if p.result != "pass" && p.result != "skip" && !explained {
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

// isKnown reports whether a failure is known: the test is listed, or it is a subtest of a
// listed one, or all of its failed subtests are known.
func (p *packageRun) isKnown(name, test string, list []Failure) bool {
	if slices.ContainsFunc(list, func(r Failure) bool {
		return r.Package == name && (r.Test == test || strings.HasPrefix(test, r.Test+"/"))
	}) {
		return true
	}
	found := false
	for sub, action := range p.tests {
		if action != "fail" || !strings.HasPrefix(sub, test+"/") {
			continue
		}
		if !p.isKnown(name, sub, list) {
			return false
		}
		found = true
	}
	return found
}

// checkListed records which listed tests failed and which passed. A listed test that was not run, for example because
// it was renamed, is a fault.
func (v *Verdict) checkListed(packages map[string]*packageRun, list []Failure) {
	for _, r := range list {
		p := packages[r.Package]
		if p == nil {
			p = &packageRun{}
		}
		action, ran := p.tests[r.Test]
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

func sortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
