// Package client implements a caller for tests: an HTTP/3 client that uses one QUIC
// connection from a chosen loopback address and reports the outcome of each request.
//
// It is not the interactive client (mangowinch call). It never repeats a request on its
// own, so that a test sees every outcome.
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
	maxAnswerSize    = 8 << 20
)

// Unsent is the reason of a request that the other side has not processed. It can be
// sent again on a new connection.
const Unsent = "unsent"

// Settings configure a connection.
type Settings struct {
	Local       netip.Addr // the caller's source address
	Service     netip.AddrPort
	Name        string // name that the certificate must have
	Roots       *x509.CertPool
	IdleTimeout time.Duration // a connection that receives nothing this long is closed; 30 s if 0
	KeepAlive   time.Duration // how often a packet is sent on an idle connection; never if 0
}

// Caller is a client that has one QUIC connection.
type Caller struct {
	settings  Settings
	socket    *net.UDPConn
	transport *quic.Transport
	http      *http3.Transport
	conn      *http3.ClientConn
}

// Dial opens a connection.
func Dial(ctx context.Context, s Settings) (c *Caller, err error) {
	defer func() { err = errors.Wrapf(err, "dial %s", s.Service) }()
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

// Close closes the connection and all streams that are open on it.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.CloseWithError(0, "") // if the close frame is lost, the other side times out
	}
	_ = c.transport.Close()
	c.socket.Close()
}

// Request is one HTTP request.
type Request struct {
	Method   string
	Path     string // including the query
	Body     io.Reader
	Key      string        // request key from an earlier answer, which makes the request safe to repeat
	Deadline time.Duration // sent to the service if not 0
}

// Answer is the result of a request.
type Answer struct {
	Status     int // 0 if no response arrived
	Outcome    result.Outcome
	Reason     string
	Key        string
	RetryAfter string // value of Retry-After
	Body       string // the part that was received
	Err        error  // why the answer is missing or incomplete
}

// Do sends a request and waits for the complete answer.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
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
		answer.Outcome = result.Unknown // the headers arrived, but not the whole body
	}
	return answer
}

// unsent reports whether an error proves that the other side did not and will not process
// the request, because it had sent GOAWAY or it rejected the stream.
func unsent(err error) bool {
	if err == nil {
		return false
	}
	var rejected *http3.Error
	if errors.As(err, &rejected) {
		return rejected.Remote && rejected.ErrorCode == http3.ErrCodeRequestRejected
	}
	// The library returns this error when it opened no stream, and does not export its type.
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
