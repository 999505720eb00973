package result

import (
	"fmt"
	"testing"

	"gotest.tools/v3/golden"
)

// Guards against outcomes that change their words or numbers: callers read them in a header, and metrics are labelled with them.
func TestNames(t *testing.T) {
	text := ""
	for o := Unknown; o <= NotRun+1; o++ {
		text += fmt.Sprintf("%d %s\n", o, o)
	}
	golden.Assert(t, text, "outcomes.golden")
}
