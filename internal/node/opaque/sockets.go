package opaque

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/carry"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/node/sock"
)

// sockets holds the sockets of one process. Those of the other role are nil.
type sockets struct {
	link          *net.UDPConn // between processes
	fetchListener net.Listener // TCP at the address of link
	callers       *net.UDPConn // entry: receives callers' packets; agent: sends packets to callers
	servers       *net.UDPConn // receives what the server sends
	backend       *net.UDPConn // connected to the server, so that a closed port is reported as an error
	port          uint16       // of link, the same at all processes
	callerPort    uint16       // the port to which packets for callers are sent
}

// packetSize bounds a datagram: a packet of 1,232 bytes and the largest message that contains one.
const packetSize = 2048

func openSockets(ctx context.Context, s *carry.Settings) (k *sockets, err error) {
	k = &sockets{port: s.Link.Port()}
	if k.link, err = sock.UDP(ctx, s.LinkBind, sock.Exclusive); err != nil {
		return nil, err
	}
	if k.fetchListener, err = sock.TCP(ctx, s.LinkBind, sock.Exclusive); err != nil {
		return nil, err
	}
	if s.Entry != nil {
		k.callerPort = s.Entry.Bind.Port()
		k.callers, err = sock.UDP(ctx, s.Entry.Bind, sock.Exclusive)
		return k, err
	}
	k.callerPort = s.Agent.Caller.Port()
	if k.callers, err = sock.UDP(ctx, s.Agent.Caller, sock.Exclusive); err != nil {
		return nil, err
	}
	if k.servers, err = sock.UDP(ctx, s.Agent.Listen, sock.Exclusive); err != nil {
		return nil, err
	}
	k.backend, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.Agent.Backend))
	return k, errors.Wrap(err, "connect to the server")
}

func (k *sockets) close() {
	for _, c := range []*net.UDPConn{k.link, k.callers, k.servers, k.backend} {
		if c != nil {
			c.Close()
		}
	}
	k.fetchListener.Close()
}

// ToPeer sends a message to another process.
func (k *sockets) ToPeer(peer netip.Addr, message []byte) {
	_, err := k.link.WriteToUDPAddrPort(message, netip.AddrPortFrom(peer, k.port))
	countSend("peer", err)
	countMessage(message)
}

// ToCaller sends a packet to a caller.
func (k *sockets) ToCaller(caller [4]byte, packet []byte) {
	_, err := k.callers.WriteToUDPAddrPort(packet, netip.AddrPortFrom(netip.AddrFrom4(caller), k.callerPort))
	countSend("caller", err)
}

// ToServer sends a packet to the agent's own server.
func (k *sockets) ToServer(packet []byte) {
	_, err := k.backend.Write(packet)
	countSend("server", err)
}

// sentBytes counts the bytes of messages to other processes, by kind.
var sentBytes = func() (counters [msgs.NumKinds]*metrics.Counter) {
	for k := range counters {
		counters[k] = metrics.NewCounter(`mangowinch_message_bytes_total{kind="` + msgs.Kind(k).String() + `"}`)
	}
	return counters
}()

// countMessage counts the bytes of a message to another process.
func countMessage(message []byte) {
	k := msgs.KindOf(message)
	if int(k) >= len(sentBytes) {
		k = 0
	}
	sentBytes[k].Add(len(message))
}

// countSend counts a datagram that could not be sent. The datagram is treated as lost, and both ends of a
// flow recover from loss.
func countSend(to string, err error) {
	if err != nil {
		metrics.GetOrCreateCounter(`mangowinch_send_failures_total{to="` + to + `"}`).Inc()
	}
}

// readPause is the pause after a failed read, so that a persistent error doesn't use up a processor.
const readPause = 10 * time.Millisecond

// read passes each datagram of a socket to handle until the socket is closed.
func read(c *net.UDPConn, handle func(now time.Time, from netip.Addr, datagram []byte)) error {
	b := make([]byte, packetSize)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			metrics.GetOrCreateCounter(`mangowinch_read_failures_total`).Inc()
			time.Sleep(readPause)
			continue
		}
		handle(time.Now(), from.Addr().Unmap(), b[:n])
	}
}

// readErrors calls refused whenever the socket to the server reports that nothing listens at the server's
// port.
func readErrors(c *net.UDPConn, refused func(now time.Time)) error {
	b := make([]byte, packetSize)
	for {
		_, err := c.Read(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, syscall.ECONNREFUSED):
			refused(time.Now())
		case err != nil:
			time.Sleep(readPause)
		}
	}
}

// readMessages passes each message of other processes to handle.
func (k *sockets) readMessages(handle func(now time.Time, from netip.Addr, h msgs.Header, rest []byte)) error {
	return read(k.link, func(now time.Time, from netip.Addr, datagram []byte) {
		h, rest, err := msgs.ReadHeader(datagram)
		if err != nil {
			metrics.GetOrCreateCounter(`mangowinch_foreign_messages_total`).Inc()
			return
		}
		handle(now, from, h, rest)
	})
}
