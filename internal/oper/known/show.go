package known

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Show reads the output of go test -json and writes the output of packages and of failed tests. The output of
// passed and skipped tests is left out.
func Show(events io.Reader, w io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "show test output") }()

	output := map[string]string{} // output of tests that have not ended, by package and name
	err = eachEvent(events, func(e event) {
		key := e.Package + " " + e.Test
		switch {
		case e.Action == "build-output":
			fmt.Fprint(w, e.Output)
		case e.Action == "output" && e.Test == "":
			if e.Output != "PASS\n" && !strings.HasPrefix(e.Output, "?") {
				fmt.Fprint(w, e.Output)
			}
		case e.Action == "output":
			output[key] += e.Output
		case e.Action == "fail" && e.Test != "":
			fmt.Fprint(w, output[key])
			delete(output, key)
		case e.Action == "pass" || e.Action == "skip":
			delete(output, key)
		}
	})
	if err != nil {
		return err
	}
	for _, key := range sortedKeys(output) {
		fmt.Fprintf(w, "%s did not end:\n%s", key, output[key])
	}
	return nil
}
