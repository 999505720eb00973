// Package relay is the bare UDP relay that an entry is compared with: it reads a
// datagram, writes it to the one other side, and does nothing else.
//
// # Usage
//
//	err := relay.Run(front, back, target)
package relay

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const readSize = 2048 // bytes

// Run relays what arrives at front to target, and what arrives at back to whoever
// wrote to front last. It ends with the first error.
func Run(front, back, target netip.AddrPort) (err error) {
	defer func() { err = errors.Wrap(err, "relay") }()
	f, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(front))
	if err != nil {
		return err
	}
	b, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(back))
	if err != nil {
		return err
	}
	var caller atomic.Pointer[netip.AddrPort]
	var g errgroup.Group
	g.Go(func() error {
		return carry(f, b, func(from netip.AddrPort) netip.AddrPort {
			if c := caller.Load(); c == nil || *c != from {
				caller.Store(&from)
			}
			return target
		})
	})
	g.Go(func() error {
		return carry(b, f, func(netip.AddrPort) netip.AddrPort { return *caller.Load() })
	})
	return g.Wait()
}

func carry(from, to *net.UDPConn, where func(netip.AddrPort) netip.AddrPort) error {
	var buffer [readSize]byte
	for {
		n, a, err := from.ReadFromUDPAddrPort(buffer[:])
		if err != nil {
			return err
		}
		// A datagram that cannot be sent is lost, as at the entry.
		_, _ = to.WriteToUDPAddrPort(buffer[:n], where(a))
	}
}
