// Package sock opens the sockets of entries and agents.
//
// An agent is replaced by starting its successor beside it: for hours, until the last feeds end, two
// processes hold one address. A shared socket (SO_REUSEPORT) lets both open it. The kernel then delivers
// each sender's datagrams to one of them, and package agent forwards those that belong to the other.
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

// Use is whether other processes may open the same address.
type Use bool

// The values of Use.
const (
	Exclusive Use = false
	Shared    Use = true // every process that opens the address must use it
)

// bufferSize is the buffer size in bytes that is requested for each UDP socket, so that a burst survives a
// pause of some milliseconds. The kernel may grant less.
const bufferSize = 4 << 20

// UDP opens a UDP socket.
func UDP(ctx context.Context, address netip.AddrPort, use Use) (conn *net.UDPConn, err error) {
	defer func() { err = errors.Wrapf(err, "open UDP %s", address) }()
	c := config(use)
	p, err := c.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, err
	}
	conn = p.(*net.UDPConn)
	_ = conn.SetReadBuffer(bufferSize)
	_ = conn.SetWriteBuffer(bufferSize)
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
	return net.ListenConfig{Control: setReusePort}
}

func setReusePort(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.CombineErrors(err, optErr)
}
