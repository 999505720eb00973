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

// maxLinks bounds the connections that others hold to an entry: at the size to design
// for some 30 come from neighbours and agents, more in a failure domain's restart.
const maxLinks = 1024

// relayEntry connects an entry with the relay, and returns what runs it.
func (p *parts) relayEntry(ctx context.Context, e *entry.Entry) (run func(context.Context) error, err error) {
	c := p.newControl(relay.Config{
		Self: peers.Member{Role: peers.Entry, Address: p.settings.Entry.Link},
	})
	e.SetHooks(entry.Hooks{
		NewerDocument: func(link netip.AddrPort, service string, revision order.Revision) {
			c.Observe(service, revision, link)
		},
		Refresh: c.Refresh,
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
