package entry

import (
	"context"
	"net"
	"os/signal"
	"syscall"
	"time"

	"mangowinch/internal/flow/ident"
)

// load is the caller.
type load struct {
	conn     *net.UDPConn
	datagram []byte
	window   int
}

func newLoad(p Plan) (*load, error) {
	conn, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(caller), net.UDPAddrFromAddrPort(front))
	if err != nil {
		return nil, err
	}
	ring, err := ident.NewRing(service, ident.Secret{Name: "k1", Material: [ident.SecretSize]byte{7}})
	if err != nil {
		return nil, err
	}
	id := ring.Seal(ident.Owner{Server: 1}, 1)
	datagram := make([]byte, p.Size)
	datagram[0] = 0x40 // a short header
	copy(datagram[1:], id[:])
	return &load{conn: conn, datagram: datagram, window: p.Window}, nil
}

// await sends until something comes back.
func (l *load) await(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		_, _ = l.conn.Write(l.datagram) // refused until the subject listens
		if l.read(lostTime) {
			return true
		}
		time.Sleep(lostTime / 10)
	}
	return false
}

func (l *load) read(wait time.Duration) bool {
	var b [2048]byte
	if err := l.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return false
	}
	n, err := l.conn.Read(b[:])
	return err == nil && n == len(l.datagram)
}

// drive keeps the window full for a time, and counts what was carried both ways.
func (l *load) drive(length time.Duration) (wall time.Duration, datagrams, lost int) {
	began := time.Now()
	under := 0
	for time.Since(began) < length {
		for ; under < l.window; under++ {
			_, _ = l.conn.Write(l.datagram)
		}
		if l.read(lostTime) {
			under--
			datagrams += 2
			continue
		}
		lost += under
		under = 0
	}
	return time.Since(began), datagrams, lost
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
