// Package entry measures the CPU time that an entry spends per datagram, compared with a plain UDP relay in the same run
// on the same machine. It does not cover flows, requests or faults.
//
// A caller sends datagrams that name a server, and a simulated agent returns each of them. Entry and relay run as
// separate processes, so that their CPU time can be attributed to them. The caller keeps a window of datagrams in
// flight: a large window shows the cost under load, a window of one the cost of a subject that is mostly idle.
//
// # Usage
//
//	table, err := entry.Measure(entry.Plan{Program: "bin/mangowinch", Self: "bin/bench"})
package entry

import (
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"mangowinch/internal/flow/frame"
	"mangowinch/internal/flow/ident"
	"mangowinch/internal/stand/plat"
)

// Loopback addresses of a run.
var (
	front    = netip.MustParseAddrPort("127.0.61.1:8443")
	back     = netip.MustParseAddrPort("127.0.61.1:7000")
	agent    = netip.MustParseAddrPort("127.0.62.1:7001")
	caller   = netip.MustParseAddrPort("127.0.63.1:0")
	operator = "127.0.61.1:9000"
)

const (
	service        = "bench"
	startupTimeout = 10 * time.Second
	lossTimeout    = 200 * time.Millisecond // a datagram that has not returned by then counts as lost
)

// Plan configures a measurement.
type Plan struct {
	Program string        // path of the mangowinch program
	Self    string        // path of the bench program, which has the command relay
	Size    int           // of a datagram, in bytes
	Window  int           // datagrams in flight
	Time    time.Duration // of each measurement
	Rounds  int           // measurements per subject; the subjects alternate
}

// Row is the result of one measurement.
type Row struct {
	Subject   string
	Datagrams int           // forwarded, in both directions together
	Lost      int           // sent by the caller and not returned in time
	Wall      time.Duration // duration of the measurement
	CPU       time.Duration // user and system time of the subject
}

// PerDatagram returns the subject's CPU time per datagram.
func (r Row) PerDatagram() time.Duration { return r.CPU / time.Duration(max(r.Datagrams, 1)) }

// Rate returns the datagrams per second, in both directions together.
func (r Row) Rate() float64 { return float64(r.Datagrams) / r.Wall.Seconds() }

// Measure measures the relay and the entry alternately.
func Measure(p Plan) (rows []Row, err error) {
	defer func() { err = errors.Wrap(err, "measure entry") }()
	directory, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, os.RemoveAll(directory)) }()
	for range p.Rounds {
		r, err := p.relay()
		if err != nil {
			return nil, err
		}
		e, err := p.entry(directory)
		if err != nil {
			return nil, err
		}
		rows = append(rows, r, e)
	}
	return rows, nil
}

func (p Plan) relay() (Row, error) {
	c := exec.Command(p.Self, "relay", front.String(), back.String(), agent.String())
	return p.run("relay", c, func(b []byte) ([]byte, netip.AddrPort) { return b, back })
}

func (p Plan) entry(directory string) (r Row, err error) {
	key := [ident.SecretSize]byte{7}
	ring, err := ident.NewRing(service, ident.Secret{Name: "k1", Material: key})
	if err != nil {
		return Row{}, err
	}
	s := plat.New(plat.Settings{Directory: directory, Log: zerolog.Nop()})
	if err := writeFiles(directory, key); err != nil {
		return Row{}, err
	}
	ctx, stop := signalContext()
	defer stop()
	go s.Run(ctx)
	web := httptest.NewServer(s.Reader())
	defer web.Close()
	settings, err := writeSettings(directory, web.URL)
	if err != nil {
		return Row{}, err
	}
	c := exec.Command(p.Program, "entry", "--settings", settings)
	var h frame.Header
	wrapped := make([]byte, 0, frame.MaxSize+frame.MaxPayload)
	return p.run("entry", c, func(b []byte) ([]byte, netip.AddrPort) {
		payload, err := frame.Parse(b, ring, &h)
		if err != nil {
			return nil, back
		}
		answer := frame.Header{Kind: frame.Return, Service: ring.Service, Revision: 1, Caller: h.Caller, Entry: back, Server: 1}
		wrapped = frame.Append(wrapped[:0], ring.Current(), &answer)
		return append(wrapped, payload...), back
	})
}

func writeFiles(directory string, key [ident.SecretSize]byte) error {
	document := fmt.Sprintf("[service]\nname = %s\naddress = %s\ncurrent = k1\n[server s1]\nid = 1\nagent = %s\ndomain = a\nslots = 4\nconnections = 10\nweight = 1\n[class lookup]\nkind = lookup\npath = /\ndeadline = 1s\nqueue = 1\nidempotent = no\n", service, front, agent)
	if err := os.WriteFile(filepath.Join(directory, service+".ini"), []byte(document), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, "k1.key"), fmt.Appendf(nil, "%x\n", key), 0o600)
}

func writeSettings(directory, platform string) (path string, err error) {
	path = filepath.Join(directory, "entry.settings")
	text := fmt.Sprintf("[process]\nname = e1\ndomain = a\noperator = %s\n[platform]\naddress = %s\n[key k1]\nfile = k1.key\n[entry]\nbind = %s\nlink = %s\n", operator, platform, front.Addr(), back)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// run measures one subject. The reply function returns the agent's response to a datagram from the subject, and the
// address to send it to.
func (p Plan) run(subject string, c *exec.Cmd, reply func([]byte) ([]byte, netip.AddrPort)) (r Row, err error) {
	defer func() { err = errors.Wrap(err, subject) }()
	var output strings.Builder
	c.Stderr = &output
	agentConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(agent))
	if err != nil {
		return Row{}, err
	}
	defer agentConn.Close()
	go serveAgent(agentConn, reply)
	if err := c.Start(); err != nil {
		return Row{}, err
	}
	s, err := newSender(p)
	if err != nil {
		return Row{}, err
	}
	defer s.conn.Close()
	ready := s.await(startupTimeout)
	r = Row{Subject: subject}
	if ready {
		r.Wall, r.Datagrams, r.Lost = s.run(p.Time)
	}
	if err := c.Process.Signal(syscall.SIGKILL); err != nil {
		return Row{}, err
	}
	_ = c.Wait() // reports the kill as an error
	if !ready {
		return Row{}, errors.Newf("no datagram returned within %s: %s", startupTimeout, output.String())
	}
	r.CPU = c.ProcessState.UserTime() + c.ProcessState.SystemTime()
	return r, nil
}

func serveAgent(conn *net.UDPConn, reply func([]byte) ([]byte, netip.AddrPort)) {
	buffer := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if b, to := reply(buffer[:n]); b != nil {
			_, _ = conn.WriteToUDPAddrPort(b, to) // the caller counts lost datagrams
		}
	}
}
