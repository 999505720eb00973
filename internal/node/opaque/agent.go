package opaque

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/carry"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/node/local"
)

// settleTimeout bounds how long an agent that shuts down waits for requests in progress. The flows of its
// server continue when the agent is back, so waiting longer gains nothing.
const settleTimeout = 1500 * time.Millisecond

// Agent runs an agent until ctx ends and its graceful shutdown is done.
func Agent(ctx context.Context, s *carry.Settings, a Adapter, out io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "agent") }()
	if s.Agent == nil {
		return errors.New("the settings have no section agent")
	}
	var g *local.Agent
	p, err := newProcess(ctx, s, a, msgs.Agent, out, func() { g.ViewChanged(time.Now()) })
	if err != nil {
		return err
	}
	g = local.New(agentConfig(p, s, a))
	p.prober.OnAlive, p.prober.OnAnswer = g.MarkAlive, g.ProbeAnswered
	p.admin.Section("belief", func() any { return p.status() })
	p.admin.Section("load", func() any { return g.Load(time.Now()) })
	p.admin.Section("expected", func() any { return g.Expected(time.Now()) })
	p.admin.Section("room", func() any { return g.Room(time.Now()) })
	staying := p.admin.Condition("staying")
	staying.Set(true, "")
	return p.serve(ctx, g.Tick,
		func(s *carry.Settings) {
			if s.Agent != nil { // a changed role takes effect at the next start
				g.SetService(time.Now(), s.Agent.Service)
			}
		},
		func() {
			staying.Set(false, "planned stop")
			g.Leave(time.Now())
			p.follow.Leave()
			waitNoRequests(g, min(settleTimeout, s.Bounds.Stop-stopReserve))
		},
		func() error { return readErrors(p.sockets.backend, g.ServerDown) },
		func() error {
			return read(p.sockets.servers, func(now time.Time, _ netip.Addr, datagram []byte) { g.FromServer(now, datagram) })
		},
		p.messages(g.FromPeer),
	)
}

// agentConfig returns the dependencies and settings of the agent that a process runs.
func agentConfig(p *process, s *carry.Settings, a Adapter) local.Config {
	return local.Config{
		Self:             s.Link.Addr(),
		Domain:           s.Process.Domain,
		Service:          s.Agent.Service,
		ReadService:      func() (string, error) { return readService(a.Reload) },
		Backend:          s.Agent.Backend,
		Log:              p.log,
		Control:          p.follow,
		Prober:           p.prober,
		Codec:            a.Codec,
		Callers:          a.Callers,
		Wire:             p.sockets,
		Events:           p.events,
		PropagationBound: s.Bounds.Change,
		MaxLife:          s.Bounds.Life,
		Started:          p.started,
		Rand:             newRand(),
		Off:              s.Without,
	}
}

// readService reads the service of the server from the settings.
func readService(load func() (*carry.Settings, error)) (service string, err error) {
	defer func() { err = errors.Wrap(err, "read the service") }()
	s, err := load()
	if err != nil {
		return "", err
	}
	if s.Agent == nil {
		return "", errors.New("the settings have no section agent")
	}
	return s.Agent.Service, nil
}

// waitNoRequests returns when no request is in progress, or after limit.
func waitNoRequests(g *local.Agent, limit time.Duration) {
	began := time.Now()
	for time.Since(began) < limit {
		time.Sleep(stopPollEvery)
		if g.Load(time.Now()).Busy == 0 {
			return
		}
	}
}
