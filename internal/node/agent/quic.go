package agent

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"mangowinch/internal/flow/ident"
	"mangowinch/internal/work/result"
)

const (
	// handshakeTimeout bounds a connection's handshake. Package table remembers new flows
	// for as long.
	handshakeTimeout = 10 * time.Second
	// idleTimeout ends a connection on which no datagram arrives.
	idleTimeout = 60 * time.Second
	// keepAliveInterval is how often an agent sends a keep-alive on an idle connection. A
	// feed without data for minutes must not end, and the libraries of many callers give
	// up after 30 s. With 13 s, one keep-alive may be lost there, and three within
	// idleTimeout.
	keepAliveInterval = 13 * time.Second
	// requestIdleTimeout ends a connection without requests, which keep-alives would
	// otherwise keep open for ever.
	requestIdleTimeout = 2 * time.Minute
	// handshakeRate and handshakeBurst limit the new connections a second without address
	// validation. At the size that the system is designed for, an agent gets 14 a second.
	handshakeRate  = 200
	handshakeBurst = 400
)

// listenQUIC starts QUIC on the link's datagrams.
func (a *Agent) listenQUIC() (listener *quic.Listener, err error) {
	// The buffers are those of the link's socket and have been set there. The library
	// would look for them on its own connection and print a warning at each start.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return nil, err
	}
	key := a.current.Load().ring.Current()
	reset := quic.StatelessResetKey(key.Reset)
	a.transport = &quic.Transport{
		Conn:                  a.link.packetConn,
		ConnectionIDGenerator: generator{a},
		// With the reset key, a caller whose agent was replaced learns from the answer to
		// its next datagram that the flow is gone, instead of waiting for its idle
		// timeout.
		StatelessResetKey: &reset,
		// In a flood of opening packets with forged addresses, each costs the memory of a
		// handshake. Above a rate that ordinary callers stay far below, a caller has to
		// prove that it receives datagrams at its address (RFC 9000 section 8.1.2).
		VerifySourceAddress: func(net.Addr) bool { return !a.handshakes.Allow() },
	}
	config := &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxStreams,
		// A larger datagram would not fit behind the link's frame header.
		DisablePathMTUDiscovery: true,
	}
	return a.transport.Listen(a.server.TLSConfig, config)
}

// generator generates connection IDs that identify this agent's server.
type generator struct{ agent *Agent }

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g generator) GenerateConnectionID() (quic.ConnectionID, error) {
	v := g.agent.current.Load()
	owner := ident.Owner{Server: v.own.ID, Side: g.agent.link.index()}
	id := v.ring.Seal(owner, g.agent.nonce.Add(1))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g generator) ConnectionIDLen() int { return ident.Length }

// accept serves connections until the listener is closed.
func (a *Agent) accept(ctx context.Context, l *quic.Listener) error {
	for {
		c, err := l.Accept(ctx)
		if err != nil {
			return err
		}
		if !a.connections.enter(a.current.Load().own.Connections) {
			a.count.connections.Inc()
			_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), string(result.ConnectionLimit))
			continue
		}
		go func() {
			defer a.connections.leave()
			// The error is the reason why the connection ended, which is no fault here.
			_ = a.server.ServeQUICConn(c)
		}()
	}
}
