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
	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// resetByte, as the second byte of a packet, marks a reset.
const resetByte = 0xff

// portCodec decodes a packet by its first byte, the caller's port.
type portCodec struct{ stubCodec }

func (c portCodec) Decode(b []byte, _ segs.End) (segs.Segment, error) {
	f := c.flow
	f.CallerPort = uint16(b[0])
	s := segs.Segment{Flow: f, Flags: segs.Ack, Ack: 1001, Len: len(b)}
	if len(b) > 1 && b[1] == resetByte {
		s.Flags, s.Len = segs.Rst, 0
	}
	return s, nil
}

// recordingWire records the packets that are forwarded.
type recordingWire struct{ packets [][]byte }

func (w *recordingWire) ToPeer(_ netip.Addr, m []byte) {
	h, rest, err := msgs.ReadHeader(m)
	if err != nil {
		return
	}
	if f, err := msgs.ReadForward(h, rest); err == nil {
		w.packets = append(w.packets, append([]byte(nil), f.Packet...))
	}
}
func (*recordingWire) ToCaller([4]byte, []byte) {}

// newPacedEntry returns an entry with a link of 10 Mbit/s that knows the owner of the flows from these ports.
func newPacedEntry(t *testing.T, now time.Time, ports ...uint16) (e *Entry, wire *recordingWire) {
	flow := segs.Flow{Caller: [4]byte{100, 64, 0, 7}, Service: [4]byte{198, 18, 0, 1}, Port: 443}
	log := belief.New()
	log.Apply(now, belief.Change{To: 5, Full: true, Items: []belief.Item{{Key: "c", Revision: 1, Config: &belief.Config{
		Version: 1, Routes: []belief.Route{{Called: flow.ServiceAddr(), Shares: []belief.Share{{Service: "s", Weight: 1}}}},
	}}}})
	events := event.New(io.Discard, "entry", "e1")
	t.Cleanup(events.Close)
	wire = &recordingWire{}
	e = New(Config{
		Log: log, Control: stubCodec{}, Codec: portCodec{stubCodec{flow}}, Wire: wire, Events: events,
		Rand: rand.New(rand.NewPCG(1, 2)), Rate: 10e6 / 8,
	})
	for _, port := range ports {
		f := flow
		f.CallerPort = port
		e.recordOwner(now, netip.MustParseAddr("10.0.1.1"), msgs.Owner{Flow: f})
	}
	return e, wire
}

// Guards against a short request that waits behind an upload, and against packets of an upload that overtake
// each other, get lost or stay in the queue.
func TestShortFlowPassesAnUpload(t *testing.T) {
	const upload, short, numPackets = 1, 2, 70
	now := time.Unix(1_700_000_000, 0)
	e, wire := newPacedEntry(t, now, upload, short)
	packet := make([]byte, 1200)
	for i := range byte(numPackets) {
		packet[0], packet[1] = upload, i
		e.FromCaller(now, packet)
	}
	sent := len(wire.packets)
	assert.Assert(t, sent < numPackets, "the flow counts as long")
	e.FromCaller(now, []byte{short})
	assert.Equal(t, len(wire.packets), sent+1)
	assert.Equal(t, wire.packets[sent][0], byte(short))
	<-e.Queued()
	for wait, ok := e.SendQueued(now); ok; wait, ok = e.SendQueued(now) {
		now = now.Add(wait)
	}
	var order []byte
	for _, p := range wire.packets {
		if p[0] == upload {
			order = append(order, p[1])
		}
	}
	assert.Equal(t, len(order), numPackets)
	for i, n := range order {
		assert.Equal(t, n, byte(i))
	}
}

// Guards against a reset that is dropped behind data or waits there, and against data of an aborted flow that is
// still sent.
func TestResetPassesQueuedData(t *testing.T) {
	const upload, numPackets = 1, 120
	now := time.Unix(1_700_000_000, 0)
	e, wire := newPacedEntry(t, now, upload)
	packet := make([]byte, 1200)
	for i := range byte(numPackets) {
		packet[0], packet[1] = upload, i
		e.FromCaller(now, packet)
	}
	sent := len(wire.packets)
	assert.Assert(t, sent < numPackets, "data is queued")
	e.FromCaller(now, []byte{upload, resetByte})
	assert.Equal(t, len(wire.packets), sent+1)
	assert.DeepEqual(t, wire.packets[sent], []byte{upload, resetByte})
	_, ok := e.SendQueued(now.Add(100 * time.Millisecond))
	assert.Assert(t, !ok, "nothing is left")
	assert.Equal(t, len(wire.packets), sent+1)
}

// Guards against a rate that falls because agents of another failure domain answer, which take longer.
func TestAnswersAreComparedWithinADomain(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e, _ := newPacedEntry(t, now)
	near, far := netip.MustParseAddr("10.0.1.1"), netip.MustParseAddr("10.0.2.1")
	for i, a := range []netip.Addr{near, far} {
		e.Log.Apply(now, belief.Change{From: order.Revision(5 + i), To: order.Revision(6 + i), Items: []belief.Item{{
			Key: a.String(), Revision: order.Revision(6 + i), Server: &belief.Server{ID: a.String(), Service: "s", Addr: netip.AddrPortFrom(a, 80), Domain: a.String()},
		}}})
	}
	answer := func(agent netip.Addr, rtt time.Duration) {
		for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
			e.link.MarkBusy(now)
			p := &owner.EntryFlow{Candidates: []owner.Candidate{{Agent: agent, SentAt: now.Add(-rtt)}}}
			e.linkAnswered(now, agent, p)
			e.Tick(now)
			assert.Equal(t, e.link.SendRate(), e.Rate)
		}
	}
	answer(near, 2*time.Millisecond)
	answer(far, 22*time.Millisecond)
}
