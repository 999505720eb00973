// Package relay implements a plain UDP relay as the baseline for an entry's cost per datagram. It forwards datagrams
// between one caller and one target, without any routing, encapsulation or checks.
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

// Run forwards datagrams received at front to target, and datagrams received at back to the address that last sent to
// front. It returns the first error.
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
		return forward(f, b, func(from netip.AddrPort) netip.AddrPort {
			if c := caller.Load(); c == nil || *c != from {
				caller.Store(&from)
			}
			return target
		})
	})
	g.Go(func() error {
		return forward(b, f, func(netip.AddrPort) netip.AddrPort { return *caller.Load() })
	})
	return g.Wait()
}

func forward(from, to *net.UDPConn, destination func(netip.AddrPort) netip.AddrPort) error {
	var buffer [readSize]byte
	for {
		n, a, err := from.ReadFromUDPAddrPort(buffer[:])
		if err != nil {
			return err
		}
		// A datagram that cannot be sent is dropped, as by an entry.
		_, _ = to.WriteToUDPAddrPort(buffer[:n], destination(a))
	}
}
