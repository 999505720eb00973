package result

import (
	"fmt"
	"testing"

	"gotest.tools/v3/golden"
)

// Guards against changed names or numbers of outcomes: callers read the names in a header, and
// metrics carry them as labels.
func TestNames(t *testing.T) {
	text := ""
	for o := Unknown; o <= NotRun+1; o++ {
		text += fmt.Sprintf("%d %s\n", o, o)
	}
	golden.Assert(t, text, "outcomes.golden")
}
