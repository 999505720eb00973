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

// fixed decodes every packet as one of the same flow.
type fixed struct{ flow segs.Flow }

func (f fixed) Decode([]byte, segs.End) (segs.Segment, error) {
	return segs.Segment{Flow: f.flow, Flags: segs.Ack, Ack: 1001, Len: 100}, nil
}
func (fixed) Restore([]byte)                                {}
func (fixed) Reset(b []byte, _ segs.Segment) []byte         { return b }
func (fixed) ObserveRevision(netip.Addr, order.Revision)    {}
func (fixed) Leaving(netip.Addr) bool                       { return false }
func (fixed) Age(time.Time) (age time.Duration, known bool) { return 0, true }

// loop sends over a real socket to an address that nobody reads.
type loop struct {
	conn *net.UDPConn
	to   netip.AddrPort
}

func (l loop) ToPeer(_ netip.Addr, m []byte) { _, _ = l.conn.WriteToUDPAddrPort(m, l.to) }
func (loop) ToCaller([4]byte, []byte)        {}

func sink(b *testing.B) loop {
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
	return loop{conn, target.LocalAddr().(*net.UDPAddr).AddrPort()}
}

// BenchmarkPacket hands packets of a known flow on, beside the same write alone, as a bare relay makes it.
// Before and after are in docs/MEASURED.md.
func BenchmarkPacket(b *testing.B) {
	wire := sink(b)
	flow := segs.Flow{Caller: [4]byte{100, 64, 0, 7}, CallerPort: 1025, Service: [4]byte{198, 18, 0, 1}, Port: 443}
	log := belief.New()
	log.Apply(time.Now(), belief.Change{To: 5, Full: true, Items: []belief.Item{{Key: "c", Revision: 1, Config: &belief.Config{
		Version: 1, Routes: []belief.Route{{Called: flow.ServiceAddr(), Shares: []belief.Share{{Service: "s", Weight: 1}}}},
	}}}})
	events := event.New(io.Discard, "entry", "e1")
	defer events.Close()
	e := New(Config{Log: log, Ctrl: fixed{}, Codec: fixed{flow}, Wire: wire, Events: events, Rand: rand.New(rand.NewPCG(1, 2))})
	e.told(time.Now(), netip.MustParseAddr("10.0.1.1"), msgs.Owner{Flow: flow})
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
