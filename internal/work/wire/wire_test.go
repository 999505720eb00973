package wire

import (
	"testing"

	"gotest.tools/v3/golden"

	"mangowinch/internal/stand/described"
)

// Guards against messages and calls that change their names or numbers: old and new processes run side by side during an
// update.
func TestWireNames(t *testing.T) {
	golden.Assert(t, described.File(File_hand_proto)+described.Calls(DRPCHandDescription{}), "names.golden")
}
