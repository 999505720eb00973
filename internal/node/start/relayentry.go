package start

import (
	"context"
	"net/netip"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mangowinch/internal/ctrl/link"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/relay"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/node/entry"
	"mangowinch/internal/node/sock"
)

// maxLinks bounds the connections that other processes hold to an entry. At the size that the
// system is designed for, about 30 come from neighbours and agents, and more while a failure domain restarts.
const maxLinks = 1024

// relayEntry connects an entry with the relay and returns the function that runs the relay.
func (p *components) relayEntry(ctx context.Context, e *entry.Entry) (run func(context.Context) error, err error) {
	c := p.newRelayNode(relay.Config{
		Self: peers.Member{Role: peers.Entry, Address: p.settings.Entry.Link},
	})
	e.SetHooks(entry.Hooks{
		NewerDocument: func(link netip.AddrPort, service string, rev order.Revision) { c.Observe(service, rev, link) },
		Refresh:       c.Refresh,
	})
	mux := drpcmux.New()
	if err := c.Register(mux); err != nil {
		return nil, err
	}
	l, err := sock.TCP(ctx, p.settings.Entry.Link, sock.Exclusive)
	if err != nil {
		return nil, err
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.Options()})
	return func(inner context.Context) error {
		var g errgroup.Group
		g.Go(func() error { return server.Serve(inner, netutil.LimitListener(l, maxLinks)) })
		g.Go(func() error { return c.run(inner, ctx) })
		return g.Wait()
	}, nil
}
