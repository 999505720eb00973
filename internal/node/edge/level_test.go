package edge

import (
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/room"
	"mangowinch/internal/oper/event"
)

// openingCodec decodes a packet as the opening packet of the flow from the port in its first two bytes; the
// third byte is the number of copies that were sent before.
type openingCodec struct{ stubCodec }

func (c openingCodec) Decode(b []byte, _ segs.End) (segs.Segment, error) {
	f := c.flow
	f.CallerPort = uint16(b[0])<<8 | uint16(b[1])
	return segs.Segment{Flow: f, Flags: segs.Syn, Ack: uint32(b[2])}, nil
}

// countingWire counts what an entry sends.
type countingWire struct {
	toPeers, toCallers int
	toAgent            map[netip.Addr]int
}

func (w *countingWire) ToPeer(a netip.Addr, _ []byte) {
	w.toPeers++
	w.toAgent[a]++
}
func (w *countingWire) ToCaller([4]byte, []byte) { w.toCallers++ }

// levelCase is an entry, with a service of two servers.
type levelCase struct {
	entry *Entry
	wire  *countingWire
	flow  segs.Flow
	now   time.Time
	ports uint16
}

func newLevelCase(t *testing.T, timeout time.Duration, off parts.Off) *levelCase {
	t.Helper()
	events := event.New(io.Discard, "entry", "e1")
	t.Cleanup(events.Close)
	c := &levelCase{
		wire: &countingWire{toAgent: map[netip.Addr]int{}},
		flow: segs.Flow{Caller: [4]byte{100, 64, 0, 7}, Service: [4]byte{198, 18, 0, 1}, Port: 443},
		now:  time.Unix(1_700_000_000, 0),
	}
	items := []belief.Item{{Key: "c", Revision: 1, Config: &belief.Config{Version: 1, Routes: []belief.Route{
		{Called: c.flow.ServiceAddr(), Shares: []belief.Share{{Service: "s", Weight: 1}}, Timeout: timeout},
	}}}}
	for i, a := range []string{"10.0.1.1:80", "10.0.1.2:80"} {
		items = append(items, belief.Item{Key: a, Revision: order.Revision(i + 2), Server: &belief.Server{
			ID: a, Service: "s", Addr: netip.MustParseAddrPort(a), State: belief.Ready, Slots: 1,
		}})
	}
	log := belief.New()
	log.Apply(c.now, belief.Change{To: 5, Full: true, Items: items})
	codec := openingCodec{stubCodec{c.flow}}
	c.entry = New(Config{Log: log, Control: codec, Codec: codec, Wire: c.wire, Events: events, Off: off, Rand: rand.New(rand.NewPCG(1, 2))})
	return c
}

func (c *levelCase) packet(copies byte) []byte {
	c.ports++
	return []byte{byte(c.ports >> 8), byte(c.ports), copies}
}

// overload simulates two seconds in which both servers report long waits, and their agents return three flows for
// each one that is opened.
func (c *levelCase) overload() {
	full := msgs.NewEstimate(20*time.Millisecond, [msgs.NumWaits]time.Duration{time.Second, time.Second, time.Second, time.Second})
	for i := range 200 {
		c.now = c.now.Add(10 * time.Millisecond)
		from := netip.AddrFrom4([4]byte{10, 0, 1, byte(i%2 + 1)})
		for range 4 {
			p := c.packet(0)
			c.entry.FromCaller(c.now, p)
			c.entry.agentAnswered(from)
			if i%4 > 0 {
				c.entry.returned(c.now, from, msgs.Refused{Reason: msgs.ReasonBusy, Packet: p})
				continue
			}
			f := c.flow
			f.CallerPort = c.ports
			c.entry.opened(c.now, from, msgs.Opened{Flow: f, Estimate: full})
		}
	}
}

// send sends a hundred opening packets at once, and returns what the entry sent because of them.
func (c *levelCase) send(copies byte) (toPeers, toCallers int) {
	before := *c.wire
	for range 100 {
		c.entry.FromCaller(c.now, c.packet(copies))
	}
	return c.wire.toPeers - before.toPeers, c.wire.toCallers - before.toCallers
}

// Guards against flows that visit full servers one after the other before they are refused, and against a
// refusal of a flow that a server may have opened by way of another entry.
func TestOverloadedServiceIsRefusedAtTheEntry(t *testing.T) {
	c := newLevelCase(t, time.Second, parts.Off{})
	c.overload()
	toPeers, toCallers := c.send(0)
	assert.Assert(t, toCallers > 50, "%d", toCallers)
	assert.Equal(t, toPeers+toCallers, 100)
	_, toCallers = c.send(1)
	assert.Equal(t, toCallers, 0)
}

// Guards against an entry that refuses flows although a server has free slots, because of reports about another server
// that takes no new flows: its agent still opens the flows that wait there, and reports long waits.
func TestReportsOfDrainingServersDoNotCount(t *testing.T) {
	c := newLevelCase(t, time.Second, parts.Off{})
	c.entry.Log.Apply(c.now, belief.Change{From: 5, To: 6, Items: []belief.Item{{Key: "10.0.1.1:80", Revision: 6, Server: &belief.Server{
		ID: "10.0.1.1:80", Service: "s", Addr: netip.MustParseAddrPort("10.0.1.1:80"), State: belief.Draining, Slots: 1,
	}}}})
	c.entry.ViewChanged(c.now)
	full := msgs.NewEstimate(20*time.Millisecond, [msgs.NumWaits]time.Duration{time.Second, time.Second, time.Second, time.Second})
	for range 200 {
		c.now = c.now.Add(10 * time.Millisecond)
		f := c.flow
		f.CallerPort = 60000
		draining := netip.AddrFrom4([4]byte{10, 0, 1, 1})
		c.entry.opened(c.now, draining, msgs.Opened{Flow: f, Estimate: full})
		c.entry.agentAnswered(draining)
		c.entry.FromCaller(c.now, c.packet(0))
	}
	assert.Equal(t, c.wire.toCallers, 0)
}

// Guards against a full server that is avoided though it is the least busy one, and against a cold server that
// gets flow after flow because its load is low, while the rate that limits it is used up.
func TestBusyServerIsAvoidedOnlyWhileItIsCold(t *testing.T) {
	for _, cold := range []bool{false, true} {
		c := newLevelCase(t, time.Second, parts.Off{})
		busy := netip.AddrFrom4([4]byte{10, 0, 1, 1})
		if cold {
			c.entry.cold["10.0.1.1:80"] = coldPeriod{until: c.now.Add(time.Minute)}
		}
		c.entry.returned(c.now, busy, msgs.Refused{Reason: msgs.ReasonBusy, Load: msgs.Load{Busy: 1}, Packet: c.packet(0)})
		c.send(0)
		got := c.wire.toAgent[busy]
		assert.Assert(t, cold && got == 0 || !cold && got > 30, "cold %v: %d", cold, got)
	}
}

// Guards against a section room of /status without a server, its last report, or what callers asked for.
func TestRoomHoldsReportsAndDemand(t *testing.T) {
	c := newLevelCase(t, time.Second, parts.Off{})
	c.overload()
	r := c.entry.Room(c.now)
	assert.Equal(t, len(r.Servers), 2)
	assert.Assert(t, r.Servers[0].Known && r.Servers[0].ServiceMillis == 20)
	assert.Equal(t, len(r.Demands), 1)
	assert.Assert(t, r.Demands[0].Asked > r.Demands[0].Opened && r.Demands[0].Opened > 0)
	assert.Assert(t, r.Demands[0].Percent < 100)
}

// Guards against refusals where the configuration doesn't call for them, or the mechanism is switched off.
func TestLevelAppliesToRoutesWithTimeoutOnly(t *testing.T) {
	for _, c := range []*levelCase{newLevelCase(t, 0, parts.Off{}), newLevelCase(t, time.Second, parts.Off{Level: true})} {
		c.overload()
		_, toCallers := c.send(0)
		assert.Equal(t, toCallers, 0)
	}
}

// Guards against a process that panics because the name of a service is no plain word.
func TestMetricsBearAnyServiceName(*testing.T) {
	name := "a \"b\\\n{c}"
	setLevel(name, 0, 50)
	setRoom(&room.Sum{Service: name, Domain: name})
}
