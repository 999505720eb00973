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

// sockets are the sockets of one process; those of the other role are nil.
type sockets struct {
	link     *net.UDPConn // between processes
	fetches  net.Listener // TCP at the same address
	callers  *net.UDPConn // entry: callers' packets come here; agent: callers are answered from here
	servers  *net.UDPConn // what the server sends
	backend  *net.UDPConn // connected to the server, so that a closed port shows
	port     uint16       // of the link, the same everywhere
	answerTo uint16       // the port at which callers get packets
}

// packetSize bounds a datagram: a packet of 1,232 bytes and the largest message around it.
const packetSize = 2048

func openSockets(ctx context.Context, s *carry.Settings) (k *sockets, err error) {
	k = &sockets{port: s.Link.Port()}
	if k.link, err = sock.UDP(ctx, s.LinkBind, sock.Exclusive); err != nil {
		return nil, err
	}
	if k.fetches, err = sock.TCP(ctx, s.LinkBind, sock.Exclusive); err != nil {
		return nil, err
	}
	if s.Entry != nil {
		k.answerTo = s.Entry.Bind.Port()
		k.callers, err = sock.UDP(ctx, s.Entry.Bind, sock.Exclusive)
		return k, err
	}
	k.answerTo = s.Agent.Caller.Port()
	if k.callers, err = sock.UDP(ctx, s.Agent.Caller, sock.Exclusive); err != nil {
		return nil, err
	}
	if k.servers, err = sock.UDP(ctx, s.Agent.Listen, sock.Exclusive); err != nil {
		return nil, err
	}
	k.backend, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.Agent.Backend))
	return k, errors.Wrap(err, "open the way to the server")
}

func (k *sockets) close() {
	for _, c := range []*net.UDPConn{k.link, k.callers, k.servers, k.backend} {
		if c != nil {
			c.Close()
		}
	}
	k.fetches.Close()
}

// ToPeer sends a message to another process.
func (k *sockets) ToPeer(peer netip.Addr, message []byte) {
	_, err := k.link.WriteToUDPAddrPort(message, netip.AddrPortFrom(peer, k.port))
	countSend("peer", err)
	countMessage(message)
}

// ToCaller sends a packet to a caller.
func (k *sockets) ToCaller(caller [4]byte, packet []byte) {
	_, err := k.callers.WriteToUDPAddrPort(packet, netip.AddrPortFrom(netip.AddrFrom4(caller), k.answerTo))
	countSend("caller", err)
}

// ToServer sends a packet to the own server.
func (k *sockets) ToServer(packet []byte) {
	_, err := k.backend.Write(packet)
	countSend("server", err)
}

// sentBytes are the bytes of messages to other processes, by kind.
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

// countSend counts a datagram that could not be sent. It is as good as lost, and both
// ends of a flow deal with loss.
func countSend(to string, err error) {
	if err != nil {
		metrics.GetOrCreateCounter(`mangowinch_send_failures_total{to="` + to + `"}`).Inc()
	}
}

// readPause is waited after a read that failed, so that an error that stays takes no processor.
const readPause = 10 * time.Millisecond

// read hands each datagram of a socket to take until the socket is closed.
func read(c *net.UDPConn, take func(now time.Time, from netip.Addr, datagram []byte)) error {
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
		take(time.Now(), from.Addr().Unmap(), b[:n])
	}
}

// readErrors waits on the way to the server for the sign that nobody listens there.
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

// readMessages hands each message of other processes to take.
func (k *sockets) readMessages(take func(now time.Time, from netip.Addr, h msgs.Header, rest []byte)) error {
	return read(k.link, func(now time.Time, from netip.Addr, datagram []byte) {
		h, rest, err := msgs.ReadHeader(datagram)
		if err != nil {
			metrics.GetOrCreateCounter(`mangowinch_foreign_messages_total`).Inc()
			return
		}
		take(now, from, h, rest)
	})
}
