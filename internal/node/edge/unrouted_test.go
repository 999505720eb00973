package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/load/parts"
)

// Guards against the refusal of a flow that a server has opened: its route is removed between two copies of the
// opening packet, of which the first was placed. A flow that was never placed is refused at once.
func TestCopyOfPlacedFlowIsNotRefusedWithItsRoute(t *testing.T) {
	c := newLevelCase(t, time.Second, parts.Off{})
	first := c.packet(0)
	c.entry.FromCaller(c.now, first)
	assert.Equal(t, c.wire.toPeers, 1)
	c.entry.Log.Apply(c.now, belief.Change{From: 5, To: 6, Items: []belief.Item{{Key: "c", Revision: 6, Config: &belief.Config{Version: 2}}}})
	c.entry.ViewChanged(c.now)
	c.entry.FromCaller(c.now, []byte{first[0], first[1], 1})
	assert.Equal(t, c.wire.toCallers, 0)
	c.entry.FromCaller(c.now, c.packet(0))
	assert.Equal(t, c.wire.toCallers, 1)
}
