// Package matrix is the registry of which promise is verified under which fault, and at
// which step of a request, by which tests and scenarios.
//
// It exists so that the coverage of faults is stated in one place: docs/FAULTS.md is generated from
// the registry. Tests check that the page matches the registry, and that each test and scenario
// that a cell names exists in the source tree. The package is not a test runner.
//
// A cell is covered by tests, which scripts/test runs, or by scenarios with real
// processes, which scripts/faults runs, or it states why the fault cannot occur there.
// The page lists all other cells as not proved.
//
// # Usage
//
//	page := matrix.Page()
package matrix

import (
	"fmt"
	"slices"
	"strings"
)

// Promise is a property that must always hold, or a step of a request: a row of cells.
type Promise struct {
	Name string
	Text string
	// Checked reports whether every scenario checks the promise for all its requests.
	Checked bool
}

// Fault is one kind of failure, with the scenarios that cause it.
type Fault struct {
	Name      string
	Text      string
	Scenarios []string
}

// Cell is the coverage of a promise, or of a step of a request, under a fault.
type Cell struct {
	Row        string
	Fault      string
	Tests      []string // area/package.TestName
	Scenarios  []string
	Impossible string // why the fault cannot occur here; empty if it can
}

// Scenarios returns the sorted names of all scenarios that a cell or a fault names, without duplicates.
func Scenarios() (names []string) {
	for _, f := range faultKinds {
		names = append(names, f.Scenarios...)
	}
	for _, c := range slices.Concat(promiseCells, stepCells) {
		names = append(names, c.Scenarios...)
	}
	for _, p := range faultPairs {
		names = append(names, p.Scenarios...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Tests returns the sorted names of all tests that a cell names, without duplicates.
func Tests() (names []string) {
	for _, c := range slices.Concat(promiseCells, stepCells) {
		names = append(names, c.Tests...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// findCell returns the cell of a row under a fault, merged from all entries of the list for it. If checked is set, it
// includes the scenarios of the fault.
func findCell(list []Cell, row string, f Fault, checked bool) Cell {
	found := Cell{Row: row, Fault: f.Name}
	if checked {
		found.Scenarios = slices.Clone(f.Scenarios)
	}
	for _, c := range list {
		if c.Row != row || c.Fault != f.Name {
			continue
		}
		found.Tests = append(found.Tests, c.Tests...)
		found.Impossible = c.Impossible
		for _, s := range c.Scenarios {
			if !slices.Contains(found.Scenarios, s) {
				found.Scenarios = append(found.Scenarios, s)
			}
		}
	}
	return found
}

// Decided reports whether the cell is covered or its fault cannot occur.
func (c Cell) Decided() bool {
	return c.Impossible != "" || len(c.Tests) > 0 || len(c.Scenarios) > 0
}

// String returns the text of the cell on the page.
func (c Cell) String() string {
	if c.Impossible != "" {
		return "cannot happen: " + c.Impossible
	}
	var parts []string
	for _, t := range c.Tests {
		parts = append(parts, "`"+t+"`")
	}
	for _, s := range c.Scenarios {
		parts = append(parts, "run `"+s+"`")
	}
	if len(parts) == 0 {
		return "**not proved**"
	}
	return strings.Join(parts, ", ")
}

// Page returns the text of docs/FAULTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHeader)
	decided, total := 0, 0
	table := func(list []Cell, row string, checked bool) {
		b.WriteString("\n| fault | shown by |\n|---|---|\n")
		for _, f := range faultKinds {
			c := findCell(list, row, f, checked)
			total++
			if c.Decided() {
				decided++
			}
			fmt.Fprintf(&b, "| %s | %s |\n", f.Text, c)
		}
	}
	b.WriteString("\n## Promises under single faults\n")
	for _, p := range promises {
		fmt.Fprintf(&b, "\n### %s\n", p.Text)
		table(promiseCells, p.Name, p.Checked)
	}
	fmt.Fprintf(&b, "\n%d of %d cells decided.\n", decided, total)
	decided, total = 0, 0
	b.WriteString("\n## Steps of a request under single faults\n")
	b.WriteString("\nThe cells say that no request is run twice, lost without a word, or given another's answer when the fault comes at this step.\n")
	for _, s := range requestSteps {
		fmt.Fprintf(&b, "\n### %s\n", s.Text)
		table(stepCells, s.Name, false)
	}
	fmt.Fprintf(&b, "\n%d of %d cells decided.\n", decided, total)
	b.WriteString("\n## Pairs of faults\n\nAll promises that a scenario checks. Pairs that are not listed are not proved.\n\n| pair | shown by |\n|---|---|\n")
	for _, p := range faultPairs {
		fmt.Fprintf(&b, "| %s | %s |\n", p.Row, p)
	}
	b.WriteString(pageFooter)
	return b.String()
}
