package demo

import (
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/fleet"
)

// Guards against flows that depend on one entry. A lookup and an upload get complete responses; then an
// entry is killed while a feed is open. The feed's caller receives every line, because entries hold no
// state of flows.
func TestWholePathAsSeparateProcesses(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "mangowinch/cmd/mangowinch", "mangowinch/cmd/standin")
	text, err := build.CombinedOutput()
	assert.NilError(t, err, string(text))
	settings := fleet.Settings{Deployment: "../../../examples/zagreb", Binaries: binaries}
	complete, err := Run(t.Context(), t.Output(), settings)
	assert.NilError(t, err)
	assert.Assert(t, complete)
}
