package demo

import (
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/fleet"
)

// A newcomer starts the demo. A lookup and an upload come back whole; then an
// entry is killed while a feed is open. The caller of the feed gets every line,
// because no entry holds anything that a flow needs.
func TestWholePathAsSeparateProcesses(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "mangowinch/cmd/mangowinch", "mangowinch/cmd/standin")
	text, err := build.CombinedOutput()
	assert.NilError(t, err, string(text))
	settings := fleet.Settings{Deployment: "../../../examples/zagreb", Binaries: binaries}
	whole, err := Run(t.Context(), t.Output(), settings)
	assert.NilError(t, err)
	assert.Assert(t, whole)
}
