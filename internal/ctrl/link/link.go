// Package link opens and keeps the connections on which control talks to other processes.
//
// It exists because a process talks to many others a little: connections to the
// few that it talks to often are kept, the others are closed after a while, and
// their number is bounded. All bytes are counted by the meter.
//
// It chooses nobody (package peers) and knows no messages (package wire).
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

// Bounds of the connections kept.
const (
	perPeer  = 2                // one for exchanges, one for texts
	capacity = 64               // neighbours, agents of the service and a few more
	idle     = 90 * time.Second // neighbours are talked to every few seconds
	maxBytes = 1 << 20          // of one message
)

// Dialer keeps connections. Its methods may be called from any goroutine.
type Dialer struct {
	meter *budget.Meter
	wrap  func(net.Conn) net.Conn
	pool  *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// New returns a dialer without connections.
func New(meter *budget.Meter) *Dialer {
	return NewWith(meter, func(c net.Conn) net.Conn { return c })
}

// NewWith is New with connections that are wrapped once they are open, for measurements.
func NewWith(meter *budget.Meter, wrap func(net.Conn) net.Conn) *Dialer {
	return &Dialer{
		meter: meter,
		wrap:  wrap,
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idle,
			Capacity:    capacity,
			KeyCapacity: perPeer,
		}),
	}
}

// Peer returns the process at an address; it is dialled when it is first called.
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

// Options bounds what one connection may buffer, on either side.
func Options() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBytes}}
}

// Transport returns the way of HTTP calls to the platform, whose bytes are control's as well.
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
