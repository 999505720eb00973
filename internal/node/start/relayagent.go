package start

import (
	"context"
	"net/netip"

	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/relay"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/node/agent"
)

// relayAgent connects an agent with the relay and returns the function that runs the relay. The agent
// serves other processes' requests on its own mux.
func (p *components) relayAgent(ctx context.Context, a *agent.Agent) (run func(context.Context) error, err error) {
	settings := p.settings.Agent
	c := p.newRelayNode(relay.Config{
		Self:    peers.Member{Role: peers.Agent, Address: settings.Listen},
		Service: settings.Service,
		Server:  settings.Server,
		Load: func() relay.Load {
			s := a.Status()
			return relay.Load{Busy: s.Gate.Running, Slots: s.Gate.Slots, Queue: s.Gate.Waiting, Draining: s.Leaving != ""}
		},
		Leave: a.LeaveByList,
	})
	a.SetHooks(agent.Hooks{
		NewerDocument: func(link netip.AddrPort, service string, revision order.Revision) {
			c.Observe(service, revision, link)
		},
		Refresh: c.Refresh,
	})
	return func(inner context.Context) error { return c.run(inner, ctx) }, c.Register(a.Mux())
}
