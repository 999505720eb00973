package edge

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// stubCodec decodes every packet as a packet of the same flow. It is the stub of Control too.
type stubCodec struct{ flow segs.Flow }

func (f stubCodec) Decode([]byte, segs.End) (segs.Segment, error) {
	return segs.Segment{Flow: f.flow, Flags: segs.Ack, Ack: 1001, Len: 100}, nil
}
func (stubCodec) Restore([]byte)                                {}
func (stubCodec) Reset(b []byte, _ segs.Segment) []byte         { return b }
func (stubCodec) ObserveRevision(netip.Addr, order.Revision)    {}
func (stubCodec) Leaving(netip.Addr) bool                       { return false }
func (stubCodec) EntryShare() float64                           { return 1 }
func (stubCodec) Age(time.Time) (age time.Duration, known bool) { return 0, true }

// udpWire sends over a real socket to an address that nobody reads from.
type udpWire struct {
	conn *net.UDPConn
	to   netip.AddrPort
}

func (l udpWire) ToPeer(_ netip.Addr, m []byte) { _, _ = l.conn.WriteToUDPAddrPort(m, l.to) }
func (udpWire) ToCaller([4]byte, []byte)        {}

func newUDPWire(b *testing.B) udpWire {
	b.Helper()
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		conn.Close()
		target.Close()
	})
	return udpWire{conn, target.LocalAddr().(*net.UDPAddr).AddrPort()}
}

// BenchmarkPacket compares forwarding a packet of a known flow with the socket write alone, which is the
// cost of a bare relay. Its figures are in docs/MEASURED.md.
func BenchmarkPacket(b *testing.B) {
	wire := newUDPWire(b)
	flow := segs.Flow{Caller: [4]byte{100, 64, 0, 7}, CallerPort: 1025, Service: [4]byte{198, 18, 0, 1}, Port: 443}
	log := belief.New()
	log.Apply(time.Now(), belief.Change{To: 5, Full: true, Items: []belief.Item{{Key: "c", Revision: 1, Config: &belief.Config{
		Version: 1, Routes: []belief.Route{{Called: flow.ServiceAddr(), Shares: []belief.Share{{Service: "s", Weight: 1}}}},
	}}}})
	events := event.New(io.Discard, "entry", "e1")
	defer events.Close()
	e := New(Config{Log: log, Control: stubCodec{}, Codec: stubCodec{flow}, Wire: wire, Events: events, Rand: rand.New(rand.NewPCG(1, 2))})
	e.recordOwner(time.Now(), netip.MustParseAddr("10.0.1.1"), msgs.Owner{Flow: flow})
	packet := make([]byte, 132)
	b.Run("entry", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			e.FromCaller(time.Now(), packet)
		}
	})
	b.Run("relay", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			wire.ToPeer(netip.Addr{}, packet)
		}
	})
}
