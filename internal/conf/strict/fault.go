package strict

import (
	"fmt"
	"strings"
)

// Problem is the kind of a fault.
type Problem string

// The kinds of faults.
const (
	Syntax    Problem = "syntax"    // the text is not valid INI
	Missing   Problem = "missing"   // a required section or key is missing
	Unknown   Problem = "unknown"   // a section or key that the program does not know
	Duplicate Problem = "duplicate" // a section, key or value that must be unique is repeated
	Invalid   Problem = "invalid"   // a value that is not allowed
)

// Fault is one error in a file.
type Fault struct {
	File    string // as given to Read
	Section string // "" if the fault concerns the whole file
	Key     string // "" if the fault concerns the whole section
	Problem Problem
	Detail  string // human-readable explanation

	position int // of the section in the file; faults are sorted by it
}

// Error returns the fault as one line with the file, section and key.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File + ":")
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		b.WriteString(" " + f.Key)
	}
	if b.Len() > len(f.File)+1 {
		b.WriteString(":")
	}
	fmt.Fprintf(&b, " %s", f.Problem)
	if f.Detail != "" {
		fmt.Fprintf(&b, ": %s", f.Detail)
	}
	return b.String()
}

// Faults lists all errors in a file, in the order of their sections. It is never empty
// when used as an error.
type Faults []Fault

// maxErrorLines limits the length of the error text, which is written to logs and /status: a document
// of one megabyte can have some hundred thousand faults. Callers that need all of them iterate over
// the Faults.
const maxErrorLines = 100

// Error returns one line for each of the first maxErrorLines faults, and the number of the remaining ones.
func (f Faults) Error() string {
	var lines []string
	for _, x := range f[:min(len(f), maxErrorLines)] {
		lines = append(lines, x.Error())
	}
	if more := len(f) - maxErrorLines; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}
