// Package link opens and pools the connections on which control traffic reaches other processes.
//
// It exists because a process exchanges little traffic with many others: connections to the few processes
// that it calls often are kept open, others are closed after an idle timeout, and the number of open ones
// is bounded. The meter counts all bytes.
//
// It doesn't choose processes (package peers) and doesn't know the messages (package wire).
//
// # Usage
//
//	dialer := link.New(meter)
//	defer dialer.Close()
//	reply, err := dialer.Peer(address).Exchange(ctx, summary)
package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/wire"
)

// Limits of the connection pool.
const (
	connsPerPeer = 2                // one for exchanges and one for texts
	maxConns     = 64               // enough for the neighbours, the agents of the service and a few more
	idleTimeout  = 90 * time.Second // neighbours are called every few seconds
	maxMessage   = 1 << 20          // of one message
)

// Dialer pools connections. Its methods may be called from any goroutine.
type Dialer struct {
	meter *budget.Meter
	wrap  func(net.Conn) net.Conn
	pool  *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// New returns a dialer without connections.
func New(meter *budget.Meter) *Dialer {
	return NewWith(meter, func(c net.Conn) net.Conn { return c })
}

// NewWith is like New but wraps each connection once it is open, for example to simulate loss.
func NewWith(meter *budget.Meter, wrap func(net.Conn) net.Conn) *Dialer {
	return &Dialer{
		meter: meter,
		wrap:  wrap,
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxConns,
			KeyCapacity: connsPerPeer,
		}),
	}
}

// Peer returns a client of the process at an address. The first call dials it.
func (d *Dialer) Peer(address netip.AddrPort) wire.DRPCRelayClient {
	return wire.NewDRPCRelayClient(d.pool.Get(context.Background(), address, d.dial))
}

// Close closes all connections.
func (d *Dialer) Close() error { return d.pool.Close() }

func (d *Dialer) dial(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(d.meter.Conn(d.wrap(c)), drpcconn.Options{Manager: Options()}), nil
}

// Options returns the limits on what one connection may buffer, for clients and servers.
func Options() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// Transport returns an HTTP transport for calls to the platform, whose bytes count as control traffic too.
func Transport(meter *budget.Meter) http.RoundTripper {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return meter.Conn(c), nil
	}
	return t
}
