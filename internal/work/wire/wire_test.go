package wire

import (
	"testing"

	"gotest.tools/v3/golden"

	"mangowinch/internal/stand/described"
)

// Guards against changes of the names or numbers of messages and calls: processes of the old and the new
// version run at the same time during an update.
func TestWireNames(t *testing.T) {
	golden.Assert(t, described.File(File_hand_proto)+described.Calls(DRPCHandDescription{}), "names.golden")
}
