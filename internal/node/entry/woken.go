package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/route"
)

// hintEvery spaces the calls of Hooks.Newer for one service: every frame of a busy
// service carries a revision, and the document needs some milliseconds to come.
const hintEvery = 200 * time.Millisecond

var wokenTotal = metrics.GetOrCreateCounter(`mangowinch_entry_woken_total`)

// woken drops what a paused entry believed of servers. Flows that it opened before
// the pause look unanswered for as long as it slept, since the answers wait in its
// own socket: it would pass over servers that are well. It goes on forwarding
// meanwhile, for agents decide by themselves, and asks for newer documents.
func (e *Entry) woken(ctx context.Context, pause time.Duration) {
	wokenTotal.Inc()
	e.log.Info().Dur("pause", pause).Msg("woken late")
	for _, s := range *e.tags.Load() {
		s.forget(time.Now())
	}
	if e.hooks.Refresh != nil {
		e.hooks.Refresh(ctx)
	}
}

func (s *service) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch = route.NewDetector()
	s.watch.Retain(ids(s.now.Load().document))
	clear(s.leaving)
	s.refresh(now)
}

// hint tells whoever keeps the documents that a newer one exists.
func (e *Entry) hint(now time.Time, s *service, link netip.AddrPort, revision order.Revision) {
	if e.hooks.NewerDocument != nil && s.hinted.Claim(now, hintEvery) {
		s.count.hints.Inc()
		e.hooks.NewerDocument(link, s.name, revision)
	}
}
