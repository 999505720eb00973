// Package client is a caller for tests: HTTP/3 over one QUIC connection from a
// chosen loopback address, saying what became of each request.
//
// It is not the caller for people (mangowinch call). It repeats nothing on its own,
// so that a test sees every outcome.
//
// # Usage
//
//	c, err := client.Dial(ctx, client.Settings{Local: local, Service: service, Name: "tracing-core", Roots: roots})
//	if err != nil {
//		return err
//	}
//	defer c.Close()
//	answer := c.Do(ctx, client.Request{Method: "POST", Path: "/lookup/7", Body: strings.NewReader("7")})
package client

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"mangowinch/internal/work/result"
)

const (
	idleTimeout      = 30 * time.Second
	handshakeTimeout = 5 * time.Second
	largestAnswer    = 8 << 20
)

// Unsent is the reason of a request that the other side has not looked at. It goes
// on a new connection.
const Unsent = "unsent"

// Settings say who calls whom.
type Settings struct {
	Local       netip.Addr // the caller's own address
	Service     netip.AddrPort
	Name        string // that the certificate must have
	Roots       *x509.CertPool
	IdleTimeout time.Duration // a connection that hears nothing this long is given up, 30 s if 0
	KeepAlive   time.Duration // how often a packet is sent on an idle connection, never if 0
}

// Caller is one QUIC connection.
type Caller struct {
	settings  Settings
	socket    *net.UDPConn
	transport *quic.Transport
	http      *http3.Transport
	conn      *http3.ClientConn
}

// Dial opens a connection.
func Dial(ctx context.Context, s Settings) (c *Caller, err error) {
	defer func() { err = errors.Wrapf(err, "call %s", s.Service) }()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.Local, 0)))
	if err != nil {
		return nil, err
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = idleTimeout
	}
	c = &Caller{
		settings:  s,
		socket:    socket,
		transport: &quic.Transport{Conn: socket},
		http:      &http3.Transport{},
	}
	tlsConfig := &tls.Config{RootCAs: s.Roots, ServerName: s.Name, NextProtos: []string{http3.NextProtoH3}}
	config := &quic.Config{
		MaxIdleTimeout:       s.IdleTimeout,
		HandshakeIdleTimeout: handshakeTimeout,
		KeepAlivePeriod:      s.KeepAlive,
	}
	conn, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(s.Service), tlsConfig, config)
	if err != nil {
		c.Close()
		return nil, err
	}
	c.conn = c.http.NewClientConn(conn)
	return c, nil
}

// Close ends the connection and what is open on it.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.CloseWithError(0, "") // the other side learns of it or times out
	}
	_ = c.transport.Close()
	c.socket.Close()
}

// Request is one request.
type Request struct {
	Method   string
	Path     string // with its query
	Body     io.Reader
	Key      string        // request key of an earlier answer, for a repeat of it
	Deadline time.Duration // told to the service if not 0
}

// Answer is what became of a request.
type Answer struct {
	Status     int // 0 if none came
	Outcome    result.Outcome
	Reason     string
	Key        string
	RetryAfter string // Retry-After
	Body       string // as far as it came
	Err        error  // the answer is not whole
}

// Do sends a request and waits for the whole answer.
func (c *Caller) Do(ctx context.Context, r Request) Answer {
	request, err := http.NewRequestWithContext(ctx, r.Method, "https://"+c.settings.Name+r.Path, r.Body)
	if err != nil {
		return Answer{Err: err}
	}
	if r.Key != "" {
		request.Header.Set("Request-Key", r.Key)
	}
	if r.Deadline > 0 {
		request.Header.Set("Deadline-Ms", itoa(r.Deadline.Milliseconds()))
	}
	response, err := c.conn.RoundTrip(request)
	if unsent(err) {
		return Answer{Outcome: result.NotRun, Reason: Unsent, Err: err}
	}
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, largestAnswer))
	answer := Answer{
		Status:     response.StatusCode,
		Outcome:    parseOutcome(response.Header.Get("Outcome")),
		Reason:     response.Header.Get("Reason"),
		Key:        response.Header.Get("Request-Key"),
		RetryAfter: response.Header.Get("Retry-After"),
		Body:       string(body),
		Err:        err,
	}
	if err != nil && answer.Outcome == result.Ran {
		answer.Outcome = result.Unknown // the head came, the answer did not
	}
	return answer
}

// unsent says whether an error proves that the other side did not and will not look
// at the request: it had said that it stops (GOAWAY), or it rejected the stream.
func unsent(err error) bool {
	if err == nil {
		return false
	}
	var rejected *http3.Error
	if errors.As(err, &rejected) {
		return rejected.Remote && rejected.ErrorCode == http3.ErrCodeRequestRejected
	}
	// The library does not export the type of this error, which it gives when no
	// stream was opened.
	return strings.HasPrefix(err.Error(), "http3: conn unusable")
}

func parseOutcome(text string) result.Outcome {
	for _, o := range []result.Outcome{result.Ran, result.NotRun} {
		if text == o.String() {
			return o
		}
	}
	return result.Unknown
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
