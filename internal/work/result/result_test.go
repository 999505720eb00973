package result

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a missing assignment that is taken for a proof that a request did not run.
func TestZeroOutcomeIsUnknown(t *testing.T) {
	var r Result
	assert.Equal(t, r.Outcome, Unknown)
	assert.Equal(t, r.Outcome.String(), "unknown")
}
