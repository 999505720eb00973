// Package matrix is the registry of what is proved: which promise holds under
// which fault, at which step of a request, and which test or run shows it.
//
// docs/FAULTS.md is written from it, and a test holds the page against the
// registry and the registry against the tree: each test and each scenario that a
// cell names must be there. It runs nothing itself.
//
// A cell is shown by tests, which scripts/test runs; by scenarios with real
// processes, which scripts/faults runs; or it cannot happen, with the reason.
// Everything else is not proved, and the page says so.
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

// Promise is one line of what must always hold.
type Promise struct {
	Name string
	Text string
	// Checked says that every scenario checks the promise for all its requests.
	Checked bool
}

// Fault is one thing that fails.
type Fault struct {
	Name      string
	Text      string
	Scenarios []string
}

// Cell is a promise under a fault, or a step of a request under a fault.
type Cell struct {
	Row        string
	Fault      string
	Tests      []string // area/package.TestName
	Scenarios  []string
	Impossible string // why it cannot happen
}

// Scenarios returns the names of all scenarios that a cell or a fault names.
func Scenarios() (names []string) {
	for _, f := range kinds {
		names = append(names, f.Scenarios...)
	}
	for _, c := range slices.Concat(cells, steps) {
		names = append(names, c.Scenarios...)
	}
	for _, p := range pairs {
		names = append(names, p.Scenarios...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Tests returns the names of all tests that a cell names.
func Tests() (names []string) {
	for _, c := range slices.Concat(cells, steps) {
		names = append(names, c.Tests...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// find returns the cell of a row under a fault, with the scenarios of the fault if
// they check the row.
func find(list []Cell, row string, f Fault, checked bool) Cell {
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

// Decided says whether the cell is shown or cannot happen.
func (c Cell) Decided() bool {
	return c.Impossible != "" || len(c.Tests) > 0 || len(c.Scenarios) > 0
}

// String returns the cell as the page has it.
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

// Page returns docs/FAULTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString(opening)
	decided, all := 0, 0
	table := func(list []Cell, row string, checked bool) {
		b.WriteString("\n| fault | shown by |\n|---|---|\n")
		for _, f := range kinds {
			c := find(list, row, f, checked)
			all++
			if c.Decided() {
				decided++
			}
			fmt.Fprintf(&b, "| %s | %s |\n", f.Text, c)
		}
	}
	b.WriteString("\n## Promises under single faults\n")
	for _, p := range promises {
		fmt.Fprintf(&b, "\n### %s\n", p.Text)
		table(cells, p.Name, p.Checked)
	}
	fmt.Fprintf(&b, "\n%d of %d cells decided.\n", decided, all)
	decided, all = 0, 0
	b.WriteString("\n## Steps of a request under single faults\n")
	b.WriteString("\nThe cells say that no request is run twice, lost without a word, or given another's answer when the fault comes at this step.\n")
	for _, s := range stepNames {
		fmt.Fprintf(&b, "\n### %s\n", s.Text)
		table(steps, s.Name, false)
	}
	fmt.Fprintf(&b, "\n%d of %d cells decided.\n", decided, all)
	b.WriteString("\n## Pairs of faults\n\nAll promises that a scenario checks. Pairs that are not listed are not proved.\n\n| pair | shown by |\n|---|---|\n")
	for _, p := range pairs {
		fmt.Fprintf(&b, "| %s | %s |\n", p.Row, p)
	}
	b.WriteString(closing)
	return b.String()
}
