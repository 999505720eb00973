package result

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A forgotten assignment must never read as a proof that a request did not run.
func TestZeroOutcomeIsUnknown(t *testing.T) {
	var r Result
	assert.Equal(t, r.Outcome, Unknown)
	assert.Equal(t, r.Outcome.String(), "unknown")
}
