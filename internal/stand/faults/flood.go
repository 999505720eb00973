package faults

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/stand/check"
	"mangowinch/internal/stand/fabric"
)

const (
	floodTime       = 5 * time.Second
	floodSenders    = 4                    // goroutines
	firstFlightWait = 2 * time.Millisecond // time to send a first flight
	maxResident     = 160 << 20            // resident bytes per process; the design limit is 256 MB
)

// sendOnlyConn is a packet connection that sends and never receives, like a sender that forges
// its source address.
type sendOnlyConn struct {
	*net.UDPConn
	closed chan struct{}
}

func (c sendOnlyConn) ReadFrom([]byte) (int, net.Addr, error) {
	<-c.closed
	return 0, nil, net.ErrClosed
}

// plainConn exposes only the methods of net.PacketConn. It hides the other read methods of the
// UDP socket, which would bypass sendOnlyConn.ReadFrom.
type plainConn struct{ net.PacketConn }

// flood starts handshakes that it never continues, while the load goes on.
func flood(r *run) error {
	// Otherwise quic-go warns for each handshake that it can't set the receive buffer of a plainConn.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return err
	}
	service := r.fleet.Service(r.largestService())
	ctx, cancel := context.WithTimeout(r.ctx, floodTime)
	defer cancel()
	var group errgroup.Group
	sent := make([]int, floodSenders)
	for i := range floodSenders {
		group.Go(func() error {
			local := service.Callers[0].Networks[0].Addr().As4()
			local[3] = byte(200 + i)
			for ctx.Err() == nil {
				if err := sendFirstFlight(ctx, netip.AddrFrom4(local), service); err != nil {
					return err
				}
				sent[i]++
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	total := 0
	for _, n := range sent {
		total += n
	}
	var stats fabric.Stats
	if err := r.fleet.GetJSON(r.ctx, "fabric", "/stats", &stats); err != nil {
		return err
	}
	r.note = fmt.Sprintf("%d first flights, %d of them seen by the fabric", total, stats.Callers)
	return r.checkMemory()
}

// sendFirstFlight sends the first flight of one handshake and abandons it.
func sendFirstFlight(ctx context.Context, local netip.Addr, service *docs.Service) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return err
	}
	defer socket.Close()
	conn := sendOnlyConn{UDPConn: socket, closed: make(chan struct{})}
	transport := &quic.Transport{Conn: plainConn{conn}}
	ctx, cancel := context.WithTimeout(ctx, firstFlightWait)
	defer cancel()
	_, err = transport.Dial(ctx, net.UDPAddrFromAddrPort(service.Address),
		&tls.Config{ServerName: service.Name, NextProtos: []string{"h3"}}, &quic.Config{})
	close(conn.closed)
	if err == nil {
		return errors.New("handshake completed although no packet was received")
	}
	return transport.Close()
}

// checkMemory adds a violation for each node whose resident memory exceeds maxResident.
func (r *run) checkMemory() error {
	largest := 0
	for _, n := range r.fleet.Nodes {
		size, err := resident(r.fleet.Process(n.Process.Name).ID())
		if err != nil {
			return err
		}
		largest = max(largest, size)
		if size > maxResident {
			r.extraViolations = append(r.extraViolations, check.Violation{Rule: check.TooMuchMemory, Token: n.Process.Name,
				Detail: fmt.Sprintf("%d MiB resident", size>>20)})
		}
	}
	r.note += fmt.Sprintf(", largest process %d MiB", largest>>20)
	return nil
}

// resident returns the resident memory of a process in bytes, from /proc/ID/statm.
func resident(id int) (size int, err error) {
	defer func() { err = errors.Wrapf(err, "read memory of process %d", id) }()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.Newf("fewer than two fields in statm: %q", text)
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize(), err
}
