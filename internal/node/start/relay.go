package start

import (
	"context"
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/link"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/relay"
)

// relayNode is the relay of a process and its dialer.
type relayNode struct {
	*relay.Node
	dialer *link.Dialer
}

// newRelayNode creates the relay of a process and fills in the settings that are the same for both roles.
func (p *components) newRelayNode(c relay.Config) *relayNode {
	c.Self.Name = p.settings.Process.Name
	c.Self.Domain = p.settings.Process.Domain
	c.Self.State = peers.Live
	c.Self.Incarnation = uint64(time.Now().UnixNano())
	c.Seeds = p.settings.Peers
	c.Store = p.store
	c.Meter = budget.New()
	c.Platform = fetch.NewWith(p.settings.Platform.Address.String(), link.Transport(c.Meter))
	c.Log = p.log
	dialer := link.New(c.Meter)
	c.Dial = func(a netip.AddrPort) relay.Peer { return dialer.Peer(a) }
	n := relay.New(c)
	p.admin.Section("control", func() any { return n.Status() })
	p.missing = func() int { return n.Status().Wanted }
	return &relayNode{n, dialer}
}

// run relays until ctx ends. The other processes are notified when processCtx ends, which is when the
// graceful shutdown begins.
func (c *relayNode) run(ctx, processCtx context.Context) error {
	defer context.AfterFunc(processCtx, func() { c.SetState(peers.Leaving) })()
	c.Run(ctx)
	return c.dialer.Close()
}
