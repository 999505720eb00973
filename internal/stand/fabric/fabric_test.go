package fabric

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bench is a fabric with one service, echoing entries and one caller.
type bench struct {
	fabric *Fabric
	caller *net.UDPConn
	seen   chan netip.AddrPort // sources that entries saw
}

func start(t *testing.T, entries ...string) *bench {
	t.Helper()
	return startBounded(t, 0, entries...)
}

func startBounded(t *testing.T, callers int, entries ...string) *bench {
	t.Helper()
	service := freePort(t, "127.0.10.1")
	b := &bench{seen: make(chan netip.AddrPort, 1024)}
	var addresses []netip.Addr
	for _, text := range entries {
		address := netip.MustParseAddr(text)
		addresses = append(addresses, address)
		b.echo(t, netip.AddrPortFrom(address, service.Port()))
	}
	f, err := Listen(Settings{Services: []netip.AddrPort{service}, Entries: addresses, MaxCallers: callers})
	assert.NilError(t, err)
	b.fabric = f
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	own := &net.UDPAddr{IP: net.IPv4(127, 0, 50, 1)}
	b.caller, err = net.DialUDP("udp", own, net.UDPAddrFromAddrPort(service))
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

// echo is an entry that answers each datagram with its own address.
func (b *bench) echo(t *testing.T, address netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		buffer := make([]byte, largestDatagram)
		for {
			_, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			b.seen <- from
			if _, err := conn.WriteToUDPAddrPort([]byte(address.Addr().String()), from); err != nil {
				return
			}
		}
	}()
}

// ask sends a datagram and returns the entry that answered.
func (b *bench) ask(t *testing.T) string {
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
		answered[b.ask(t)]++
		seen := <-b.seen
		if !source.IsValid() {
			source = seen
		}
		assert.Equal(t, seen, source) // the same towards every entry
	}
	assert.Equal(t, source.Addr().String(), "127.0.50.1")
	// One entry of two getting all of 100 has a chance of 2^-99.
	assert.Equal(t, len(answered), 2)
}

func TestCutsByDirection(t *testing.T) {
	b := start(t, "127.0.1.1")
	entry := netip.MustParseAddr("127.0.1.1")
	b.ask(t)
	<-b.seen

	b.fabric.SetLoss(Loss{Entry: entry, Back: 1})
	_, err := b.caller.Write([]byte("hello"))
	assert.NilError(t, err)
	<-b.seen // the entry still hears the caller
	b.await(func(s Stats) bool { return s.DroppedBack == 1 })

	b.fabric.SetLoss(Loss{Entry: entry, Toward: 1})
	_, err = b.caller.Write([]byte("hello"))
	assert.NilError(t, err)
	b.await(func(s Stats) bool { return s.DroppedToward == 1 })

	b.fabric.SetLoss(Loss{Entry: entry})
	assert.Equal(t, b.ask(t), "127.0.1.1")
	<-b.seen
	assert.Equal(t, len(b.seen), 0) // the datagram cut towards the entry never came
}

// await returns once the fabric's counts are as wanted.
func (b *bench) await(wanted func(Stats) bool) {
	for {
		b.fabric.mutex.Lock()
		ok := wanted(b.fabric.stats)
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
		assert.Equal(t, b.ask(t), "127.0.1.2")
	}
}

func TestCallersAreBounded(t *testing.T) {
	b := startBounded(t, 1, "127.0.1.1")
	b.ask(t)
	other := callerKey{address: netip.MustParseAddrPort("127.0.50.2:9")}
	assert.Assert(t, b.fabric.callerOf(other, nil) == nil)
	b.await(func(s Stats) bool { return s.Refused == 1 })
}
