package verbs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// A feed may send nothing for a long time, so the connection is kept alive. A connection on which nothing is
// received for callIdleTimeout is closed.
const (
	callKeepAlive   = 5 * time.Second
	callIdleTimeout = 60 * time.Second
)

// client is an HTTP/3 connection with its own UDP socket.
type client struct {
	transport  *http3.Transport
	socket     *net.UDPConn
	quic       *quic.Transport
	connected  atomic.Bool // the handshake is complete, so a request may have been sent
	onResponse func()
}

func (c *callFlags) client() (cl *client, err error) {
	config := &tls.Config{NextProtos: []string{http3.NextProtoH3}, InsecureSkipVerify: c.Insecure}
	if c.CA != "" {
		if config.RootCAs, err = loadPool(c.CA); err != nil {
			return nil, err
		}
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: c.Local.AsSlice()})
	if err != nil {
		return nil, err
	}
	cl = &client{socket: socket, quic: &quic.Transport{Conn: socket}, onResponse: func() {}}
	cl.transport = &http3.Transport{
		TLSClientConfig: config,
		QUICConfig:      &quic.Config{KeepAlivePeriod: callKeepAlive, MaxIdleTimeout: callIdleTimeout},
		Dial:            cl.dial,
	}
	return cl, nil
}

func (c *client) dial(ctx context.Context, address string, config *tls.Config, settings *quic.Config) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := c.quic.Dial(ctx, to, config, settings)
	if err == nil {
		c.connected.Store(true)
	}
	return conn, err
}

// keyTimeout bounds the request for a key.
const keyTimeout = 10 * time.Second

// freshKey gets a request key from the agent that the connection reaches. That agent
// owns the key: it decides on the request and on every repetition of it.
func (c *client) freshKey(ctx context.Context, of *url.URL) (key string, err error) {
	defer func() { err = errors.Wrap(err, "get a request key") }()

	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	where := url.URL{Scheme: of.Scheme, Host: of.Host, Path: keyPath}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, where.String(), nil)
	if err != nil {
		return "", err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	key = response.Header.Get(headerKey)
	if key == "" {
		return "", errors.Newf("response %s has no Request-Key header", response.Status)
	}
	return key, nil
}

func (c *client) close() {
	_ = c.transport.Close() // the call is over, so the error doesn't matter
	_ = c.quic.Close()
	_ = c.socket.Close()
}

func loadPool(file string) (pool *x509.CertPool, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool = x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("%s contains no PEM certificate", file)
	}
	return pool, nil
}
