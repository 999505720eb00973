package strict

import (
	"fmt"
	"strings"
)

// Problem is the sort of a fault.
type Problem string

// The sorts of fault.
const (
	Syntax    Problem = "syntax"    // the text is no INI
	Missing   Problem = "missing"   // a section or key that must be there is not
	Unknown   Problem = "unknown"   // a section or key that has no meaning
	Duplicate Problem = "duplicate" // a thing that may be there once is there again
	Invalid   Problem = "invalid"   // a value that cannot be used
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	File    string // as handed to Read
	Section string // "" when the fault is with the file as a whole
	Key     string // "" when the fault is with the section as a whole
	Problem Problem
	Detail  string // for people

	place int // of the section in the file, so that faults are listed from top to bottom
}

// Error returns the fault as one line that names file, section and key.
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

// Faults is all that is wrong with a file, from top to bottom. It is never empty
// when used as an error.
type Faults []Fault

// maxLines bounds the text of an error, which goes into logs and /status. A document
// of a megabyte can hold some hundred thousand faults. Whoever mends it goes through
// the Faults themselves.
const maxLines = 100

// Error returns one line for each of the first faults, and how many more there are.
func (f Faults) Error() string {
	var lines []string
	for _, x := range f[:min(len(f), maxLines)] {
		lines = append(lines, x.Error())
	}
	if more := len(f) - maxLines; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}
