package known

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// maxFailures is the maximum number of listed tests.
const maxFailures = 3

// Failure is an entry of KNOWN-RED.txt: a test that is known to fail.
type Failure struct {
	Test     string // including the subtest, if only that one fails
	Package  string // import path
	Command  string // reproduces the failure; includes the seed
	Observed string
	Issue    string
}

// Parse parses KNOWN-RED.txt, which has one line for each test:
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
			return nil, errors.Newf("%s %s is listed twice", r.Test, r.Package)
		}
		seen[r.Package+" "+r.Test] = true
		list = append(list, r)
	}
	if len(list) > maxFailures {
		return nil, errors.Newf("%d tests; at most %d may be known to fail", len(list), maxFailures)
	}
	return list, nil
}

func parseLine(line string) (r Failure, err error) {
	parts := strings.Split(line, "|")
	if len(parts) != 4 {
		return Failure{}, errors.New("not four parts separated by |")
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
