package digest_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/golden"

	"mangowinch/internal/ctrl/digest"
)

// Guards against a change of the digest function: old and new processes run side by side during an update, and if their
// digests of the same documents differed, they would send each other the items of all documents in every exchange.
func TestWireDigest(t *testing.T) {
	d := digest.Of(view(map[string]uint64{"a": 3, "b": 5, "tracing-core": 9}))
	text := fmt.Sprintf("root %x\n", d.Root)
	for n, items := range d.Items {
		if len(items) > 0 {
			text += fmt.Sprintf("part %d %x %v\n", n, d.Buckets[n], items)
		}
	}
	golden.Assert(t, text, "wire.golden")
}
