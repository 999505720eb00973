package start

import (
	"context"
	"net/netip"

	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/relay"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/node/agent"
)

// relayAgent connects an agent with the relay, and returns what runs it. The agent
// answers other processes itself, on its mux.
func (p *parts) relayAgent(ctx context.Context, a *agent.Agent) (run func(context.Context) error, err error) {
	own := p.settings.Agent
	c := p.newControl(relay.Config{
		Self:    peers.Member{Role: peers.Agent, Address: own.Listen},
		Service: own.Service,
		Server:  own.Server,
		Load: func() relay.Load {
			s := a.Status()
			return relay.Load{Busy: s.Gate.Running, Slots: s.Gate.Slots, Queue: s.Gate.Waiting, Draining: s.Leaving != ""}
		},
		Leave: a.LeaveByList,
	})
	a.SetHooks(agent.Hooks{
		Newer: func(link netip.AddrPort, service string, revision order.Revision) {
			c.Observe(service, revision, link)
		},
		Refresh: c.Refresh,
	})
	return func(inner context.Context) error { return c.run(inner, ctx) }, c.Register(a.Mux())
}
