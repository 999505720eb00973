package known

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Show writes what packages say for themselves and the output of tests that failed,
// from the output of go test -json.
func Show(events io.Reader, w io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "show test output") }()

	output := map[string]string{} // of tests that have not ended yet, by package and name
	err = each(events, func(e event) {
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
	for _, key := range sorted(output) {
		fmt.Fprintf(w, "%s did not end:\n%s", key, output[key])
	}
	return nil
}
