package known

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// maxRed is how many tests may be known to fail at a time.
const maxRed = 3

// Failure is one test that is known to fail.
type Failure struct {
	Test     string // with its subtest, if only that one fails
	Package  string // import path
	Command  string // that shows the failure, with its seed
	Observed string
	Issue    string
}

// Parse reads KNOWN-RED.txt: a line for each test, as
//
//	TestName package | command and seed | what was seen | issue
func Parse(text string) (list []Failure, err error) {
	defer func() { err = errors.Wrap(err, "KNOWN-RED.txt") }()

	seen := map[string]bool{}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		r, err := parseLine(line)
		if err != nil {
			return nil, errors.Wrapf(err, "%q", line)
		}
		if seen[r.Package+" "+r.Test] {
			return nil, errors.Newf("%s %s stands there twice", r.Test, r.Package)
		}
		seen[r.Package+" "+r.Test] = true
		list = append(list, r)
	}
	if len(list) > maxRed {
		return nil, errors.Newf("%d tests; at most %d may be known to fail", len(list), maxRed)
	}
	return list, nil
}

func parseLine(line string) (r Failure, err error) {
	parts := strings.Split(line, "|")
	if len(parts) != 4 {
		return Failure{}, errors.New("not four parts with | between them")
	}
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
		if parts[i] == "" {
			return Failure{}, errors.Newf("part %d is empty", i+1)
		}
	}
	name := strings.Fields(parts[0])
	if len(name) != 2 || !strings.HasPrefix(name[0], "Test") {
		return Failure{}, errors.New("the first part is not a test and its package")
	}
	return Failure{Test: name[0], Package: name[1], Command: parts[1], Observed: parts[2], Issue: parts[3]}, nil
}
