package entry

import (
	"context"
	"net"
	"os/signal"
	"syscall"
	"time"

	"mangowinch/internal/flow/ident"
)

// sender is the simulated caller.
type sender struct {
	conn     *net.UDPConn
	datagram []byte
	window   int
}

func newSender(p Plan) (*sender, error) {
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
	datagram[0] = 0x40 // first byte of a QUIC short header
	copy(datagram[1:], id[:])
	return &sender{conn: conn, datagram: datagram, window: p.Window}, nil
}

// await sends datagrams until one returns, and reports whether one did within limit.
func (s *sender) await(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		_, _ = s.conn.Write(s.datagram) // fails until the subject listens
		if s.read(lossTimeout) {
			return true
		}
		time.Sleep(lossTimeout / 10)
	}
	return false
}

func (s *sender) read(wait time.Duration) bool {
	var b [2048]byte
	if err := s.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return false
	}
	n, err := s.conn.Read(b[:])
	return err == nil && n == len(s.datagram)
}

// run keeps the window full for the given time, and counts the datagrams forwarded in both directions.
func (s *sender) run(length time.Duration) (wall time.Duration, datagrams, lost int) {
	began := time.Now()
	inFlight := 0
	for time.Since(began) < length {
		for ; inFlight < s.window; inFlight++ {
			_, _ = s.conn.Write(s.datagram)
		}
		if s.read(lossTimeout) {
			inFlight--
			datagrams += 2
			continue
		}
		lost += inFlight
		inFlight = 0
	}
	return time.Since(began), datagrams, lost
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
