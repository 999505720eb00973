package fabric

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testbed is a fabric with one service, entries that echo, and one caller.
type testbed struct {
	fabric  *Fabric
	caller  *net.UDPConn
	sources chan netip.AddrPort // source addresses of the datagrams that entries received
}

func start(t *testing.T, entries ...string) *testbed {
	t.Helper()
	return startWithLimit(t, 0, entries...)
}

func startWithLimit(t *testing.T, maxCallers int, entries ...string) *testbed {
	t.Helper()
	service := freePort(t, "127.0.10.1")
	b := &testbed{sources: make(chan netip.AddrPort, 1024)}
	var addresses []netip.Addr
	for _, text := range entries {
		address := netip.MustParseAddr(text)
		addresses = append(addresses, address)
		b.echo(t, netip.AddrPortFrom(address, service.Port()))
	}
	f, err := Listen(Settings{Services: []netip.AddrPort{service}, Entries: addresses, MaxCallers: maxCallers})
	assert.NilError(t, err)
	b.fabric = f
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	local := &net.UDPAddr{IP: net.IPv4(127, 0, 50, 1)}
	b.caller, err = net.DialUDP("udp", local, net.UDPAddrFromAddrPort(service))
	assert.NilError(t, err)
	t.Cleanup(func() { b.caller.Close() })
	return b
}

func freePort(t *testing.T, address string) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(address)})
	assert.NilError(t, err)
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// echo starts an entry that responds to each datagram with the entry's address.
func (b *testbed) echo(t *testing.T, address netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			_, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			b.sources <- from
			if _, err := conn.WriteToUDPAddrPort([]byte(address.Addr().String()), from); err != nil {
				return
			}
		}
	}()
}

// roundTrip sends a datagram and returns the entry that responded.
func (b *testbed) roundTrip(t *testing.T) string {
	t.Helper()
	_, err := b.caller.Write([]byte("hello"))
	assert.NilError(t, err)
	buffer := make([]byte, 64)
	n, err := b.caller.Read(buffer)
	assert.NilError(t, err)
	return string(buffer[:n])
}

func TestSpraysAndKeepsCallersAddress(t *testing.T) {
	b := start(t, "127.0.1.1", "127.0.1.2")
	answered := map[string]int{}
	var source netip.AddrPort
	for range 100 {
		answered[b.roundTrip(t)]++
		from := <-b.sources
		if !source.IsValid() {
			source = from
		}
		assert.Equal(t, from, source) // the same at every entry
	}
	assert.Equal(t, source.Addr().String(), "127.0.50.1")
	// The probability that one of two entries receives all 100 datagrams is 2^-99.
	assert.Equal(t, len(answered), 2)
}

func TestLossByDirection(t *testing.T) {
	b := start(t, "127.0.1.1")
	entry := netip.MustParseAddr("127.0.1.1")
	b.roundTrip(t)
	<-b.sources

	b.fabric.SetLoss(Loss{Entry: entry, Back: 1})
	_, err := b.caller.Write([]byte("hello"))
	assert.NilError(t, err)
	<-b.sources // the entry still receives the caller's datagrams
	b.awaitStats(func(s Stats) bool { return s.DroppedBack == 1 })

	b.fabric.SetLoss(Loss{Entry: entry, Toward: 1})
	_, err = b.caller.Write([]byte("hello"))
	assert.NilError(t, err)
	b.awaitStats(func(s Stats) bool { return s.DroppedToward == 1 })

	b.fabric.SetLoss(Loss{Entry: entry})
	assert.Equal(t, b.roundTrip(t), "127.0.1.1")
	<-b.sources
	assert.Equal(t, len(b.sources), 0) // the entry has not received the datagram dropped towards it
}

// awaitStats waits until the fabric's counts meet a condition.
func (b *testbed) awaitStats(condition func(Stats) bool) {
	for {
		b.fabric.mutex.Lock()
		ok := condition(b.fabric.stats)
		b.fabric.mutex.Unlock()
		if ok {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestPartitionHidesEntries(t *testing.T) {
	b := start(t, "127.0.1.1", "127.0.1.2")
	b.fabric.SetPartition([]Side{{
		Networks: []netip.Prefix{netip.MustParsePrefix("127.0.50.0/24")},
		Entries:  []netip.Addr{netip.MustParseAddr("127.0.1.2")},
	}})
	for range 20 {
		assert.Equal(t, b.roundTrip(t), "127.0.1.2")
	}
}

func TestCallersAreBounded(t *testing.T) {
	b := startWithLimit(t, 1, "127.0.1.1")
	b.roundTrip(t)
	other := callerKey{address: netip.MustParseAddrPort("127.0.50.2:9")}
	assert.Assert(t, b.fabric.callerFor(other, nil) == nil)
	b.awaitStats(func(s Stats) bool { return s.Refused == 1 })
}
