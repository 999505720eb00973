package belief

import (
	"fmt"
	"testing"

	"gotest.tools/v3/golden"
)

// Guards against values that a process of another version interprets differently: old and new processes run side by side
// during an update. The hash of a failure domain is in beacons and packets, states are in changes.
func TestWireValues(t *testing.T) {
	text := fmt.Sprintf("domain zg-a %d, zg-b %d, none %d\n", DomainHash("zg-a"), DomainHash("zg-b"), DomainHash(""))
	text += fmt.Sprintf("states %q\n", []State{Ready, Draining, Unknown})
	golden.Assert(t, text, "wire.golden")
}
