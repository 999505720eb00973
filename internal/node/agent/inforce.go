package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/flow/ident"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/load/admit"
	"mangowinch/internal/node/rings"
	"mangowinch/internal/work/once"
)

// snapshot is the state derived from the document in force. It is immutable.
type snapshot struct {
	document *docs.Service
	revision order.Revision
	ring     *ident.Ring
	own      *docs.Server
	keys     *once.View
}

// awaitDocument waits for the first usable document of the agent's service.
func (a *Agent) awaitDocument(ctx context.Context) error {
	for a.current.Load() == nil {
		changed := a.store.Changed()
		a.apply(a.store.View())
		if a.current.Load() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
	return nil
}

// watchDocument applies new documents until ctx ends.
func (a *Agent) watchDocument(ctx context.Context) {
	for {
		changed := a.store.Changed()
		a.apply(a.store.View())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (a *Agent) apply(v *store.View) {
	d := v.Documents[a.settings.Agent.Service]
	old := a.current.Load()
	if d == nil || old != nil && old.revision == d.Revision {
		return
	}
	next, err := a.snapshot(d)
	if err != nil {
		a.count.unusable.Inc()
		a.log.Error().Err(err).Stringer("revision", d.Revision).Msg("document rejected; keeping the last valid one")
		return
	}
	if next.own == nil {
		// The server is no longer in the document: it leaves, with its last settings.
		a.availability.set(byDocument, true)
		return
	}
	if old == nil {
		a.initWorkSharing(next)
	}
	a.current.Store(next)
	a.setPeers(d.Service, a.settings.Agent.Sides)
	a.gate.SetLimits(admit.LimitsOf(d.Service, *next.own))
	a.log.Info().Str("service", d.Name).Stringer("revision", d.Revision).Str("source", d.Source).Msg("document in force")
	a.availability.set(byDocument, next.own.State == docs.Leaving)
}

// snapshot derives the agent's state from a document. Its field own is nil if the
// document does not have the server.
func (a *Agent) snapshot(d *store.Document) (s *snapshot, err error) {
	ring, err := rings.New(a.settings.Keys, d.Service)
	if err != nil {
		return nil, err
	}
	s = &snapshot{document: d.Service, revision: d.Revision, ring: ring}
	for i := range d.Service.Servers {
		o := &d.Service.Servers[i]
		if o.Name != a.settings.Agent.Server {
			continue
		}
		if o.Agent != a.settings.Agent.Listen {
			return nil, errors.Newf("server %q: agent address is %s in the document, but %s in the settings", o.Name, o.Agent, a.settings.Agent.Listen)
		}
		s.own = o
	}
	old := a.current.Load()
	if s.own == nil {
		if old == nil {
			return nil, errors.Newf("the document has no server %q", a.settings.Agent.Server)
		}
		return s, nil
	}
	var before *once.View
	if old != nil {
		before = old.keys
	}
	s.keys, err = a.keyView(d.Service, s.own, before)
	return s, err
}
