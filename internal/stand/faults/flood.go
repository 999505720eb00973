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
	floodFor     = 5 * time.Second
	floodSenders = 4                    // goroutines
	openerWait   = 2 * time.Millisecond // until a first flight has left
	mostMemory   = 160 << 20            // resident bytes of a process: the size to design for allows 256 MB
)

// hole is a packet connection that sends and never receives, as a flood does whose
// source addresses are forged.
type hole struct {
	*net.UDPConn
	closed chan struct{}
}

func (h hole) ReadFrom([]byte) (int, net.Addr, error) {
	<-h.closed
	return 0, nil, net.ErrClosed
}

// opening hides the socket's own methods of reading.
type opening struct{ net.PacketConn }

// flood opens connections that it never goes on with, while ordinary callers call.
func flood(r *run) error {
	// The library would warn of the hole's missing buffers at each opener.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return err
	}
	service := r.fleet.Service(r.largest())
	ctx, cancel := context.WithTimeout(r.ctx, floodFor)
	defer cancel()
	var group errgroup.Group
	sent := make([]int, floodSenders)
	for i := range floodSenders {
		group.Go(func() error {
			local := service.Callers[0].Networks[0].Addr().As4()
			local[3] = byte(200 + i)
			for ctx.Err() == nil {
				if err := opener(ctx, netip.AddrFrom4(local), service); err != nil {
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
	r.note = fmt.Sprintf("%d openers, %d of them seen by the fabric", total, stats.Callers)
	return r.weigh()
}

// opener sends the first flight of one connection and forgets it.
func opener(ctx context.Context, local netip.Addr, service *docs.Service) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return err
	}
	defer socket.Close()
	h := hole{UDPConn: socket, closed: make(chan struct{})}
	transport := &quic.Transport{Conn: opening{h}}
	ctx, cancel := context.WithTimeout(ctx, openerWait)
	defer cancel()
	_, err = transport.Dial(ctx, net.UDPAddrFromAddrPort(service.Address),
		&tls.Config{ServerName: service.Name, NextProtos: []string{"h3"}}, &quic.Config{})
	close(h.closed)
	if err == nil {
		return errors.New("a connection came about without a word from the other side")
	}
	return transport.Close()
}

// weigh adds a violation for each process of the system that has grown too large.
func (r *run) weigh() error {
	largest := 0
	for _, n := range r.fleet.Nodes {
		size, err := resident(r.fleet.Process(n.Process.Name).ID())
		if err != nil {
			return err
		}
		largest = max(largest, size)
		if size > mostMemory {
			r.extra = append(r.extra, check.Violation{Rule: check.TooMuchMemory, Token: n.Process.Name,
				Detail: fmt.Sprintf("%d MiB resident", size>>20)})
		}
	}
	r.note += fmt.Sprintf(", largest process %d MiB", largest>>20)
	return nil
}

// resident returns the resident memory of a process in bytes.
func resident(id int) (size int, err error) {
	defer func() { err = errors.Wrapf(err, "memory of process %d", id) }()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.Newf("%q", text)
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize(), err
}
