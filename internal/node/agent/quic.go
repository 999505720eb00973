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
	// handshakeTime bounds a connection's handshake; package table remembers new
	// flows as long.
	handshakeTime = 10 * time.Second
	// idleTime ends a connection without any datagram.
	idleTime = 60 * time.Second
	// aliveTime is how often an agent says something on a silent connection: a
	// feed without news for minutes must not end, and many callers' libraries give
	// up after 30 s. One keep-alive may be lost there, three here.
	aliveTime = 13 * time.Second
	// unusedTime ends a connection without requests, which aliveTime would keep for ever.
	unusedTime = 2 * time.Minute
	// handshakeRate and handshakeBurst are new connections a second without a
	// proof of address. At the size to design for an agent gets 14 a second.
	handshakeRate  = 200
	handshakeBurst = 400
)

// listenQUIC starts QUIC on the link's datagrams.
func (a *Agent) listenQUIC() (listener *quic.Listener, err error) {
	// The buffers belong to the link's socket, which newLink has set; the library
	// would look for them on its own connection and print a warning each start.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return nil, err
	}
	key := a.now.Load().ring.Current()
	reset := quic.StatelessResetKey(key.Reset)
	a.transport = &quic.Transport{
		Conn:                  a.link.wire,
		ConnectionIDGenerator: generator{a},
		// A caller whose agent was replaced learns at its next datagram that the
		// flow is gone, instead of waiting for its idle timeout.
		StatelessResetKey: &reset,
		// A flood of openers with forged addresses costs a handshake's memory each.
		// Over a rate that ordinary callers stay far under, a caller has to show that
		// it gets our datagrams first (RFC 9000 section 8.1.2).
		VerifySourceAddress: func(net.Addr) bool { return !a.handshakes.Allow() },
	}
	config := &quic.Config{
		HandshakeIdleTimeout: handshakeTime,
		MaxIdleTimeout:       idleTime,
		KeepAlivePeriod:      aliveTime,
		MaxIncomingStreams:   maxStreams,
		// A larger datagram would not fit behind the link's header.
		DisablePathMTUDiscovery: true,
	}
	return a.transport.Listen(a.server.TLSConfig, config)
}

// generator makes connection IDs that name this agent's server.
type generator struct{ agent *Agent }

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g generator) GenerateConnectionID() (quic.ConnectionID, error) {
	v := g.agent.now.Load()
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
		if !a.opened.enter(a.now.Load().own.Connections) {
			a.count.connections.Inc()
			_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), string(result.Overloaded))
			continue
		}
		go func() {
			defer a.opened.leave()
			// The error says how the connection ended, which is no fault here.
			_ = a.server.ServeQUICConn(c)
		}()
	}
}
