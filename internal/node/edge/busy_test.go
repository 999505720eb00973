package edge

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/parts"
)

// Guards against the refusal of a flow that a server may still open: the opening packet went to one agent and its
// copy to another one, at which the flow waits, when the first agent returns the packet as busy. If the agent at
// which the flow waits returns it, it is refused.
func TestFlowThatWaitsElsewhereIsNotRefused(t *testing.T) {
	c := newLevelCase(t, time.Second, parts.Off{})
	first := c.packet(0)
	c.entry.FromCaller(c.now, first)
	f := c.flow
	f.CallerPort = c.ports
	waitsAt, other := netip.MustParseAddr("10.0.1.1"), netip.MustParseAddr("10.0.1.2")
	c.entry.recordOwner(c.now, waitsAt, msgs.Owner{Flow: f})
	c.entry.returned(c.now, other, msgs.Refused{Reason: msgs.ReasonBusy, Packet: first})
	assert.Equal(t, c.wire.toCallers, 0)
	c.entry.returned(c.now, waitsAt, msgs.Refused{Reason: msgs.ReasonBusy, Packet: first})
	assert.Equal(t, c.wire.toCallers, 1)
}
