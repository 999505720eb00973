// Package sock opens the sockets of entries and agents.
//
// An agent is replaced by starting its successor beside it: for hours, while the
// last feeds end, two processes hold one address. A shared socket (SO_REUSEPORT)
// lets both open it; the kernel then gives each sender's datagrams to one of them, and
// package agent passes on what is the other's.
//
// # Usage
//
//	conn, err := sock.UDP(ctx, address, sock.Shared)
//	listener, err := sock.TCP(ctx, address, sock.Shared)
package sock

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Use says whether another process may open the same address.
type Use bool

// The uses.
const (
	Exclusive Use = false
	Shared    Use = true // every process that opens it must say so
)

// buffer is asked of the kernel for each UDP socket, in bytes, so that a burst
// outlasts a pause of some milliseconds. The kernel may grant less.
const buffer = 4 << 20

// UDP opens a UDP socket.
func UDP(ctx context.Context, address netip.AddrPort, use Use) (conn *net.UDPConn, err error) {
	defer func() { err = errors.Wrapf(err, "open UDP %s", address) }()
	c := config(use)
	p, err := c.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, err
	}
	conn = p.(*net.UDPConn)
	_ = conn.SetReadBuffer(buffer)
	_ = conn.SetWriteBuffer(buffer)
	return conn, nil
}

// TCP opens a TCP listener.
func TCP(ctx context.Context, address netip.AddrPort, use Use) (l net.Listener, err error) {
	defer func() { err = errors.Wrapf(err, "open TCP %s", address) }()
	c := config(use)
	return c.Listen(ctx, "tcp", address.String())
}

func config(use Use) net.ListenConfig {
	if use == Exclusive {
		return net.ListenConfig{}
	}
	return net.ListenConfig{Control: share}
}

func share(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.CombineErrors(err, failed)
}
