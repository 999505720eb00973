package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/route"
)

// hintEvery is the shortest time between calls of Hooks.NewerDocument for one service. Every frame of a
// busy service carries a revision, and fetching the document takes some milliseconds.
const hintEvery = 200 * time.Millisecond

var wokenTotal = metrics.GetOrCreateCounter(`mangowinch_entry_woken_total`)

// resumed drops the state of the servers after a pause of the process. Flows that were opened before the
// pause seem unanswered for its whole length, because the answers wait in the entry's own socket, so the
// entry would avoid servers that work. Meanwhile it goes on forwarding, since agents decide by themselves,
// and requests newer documents.
func (e *Entry) resumed(ctx context.Context, pause time.Duration) {
	wokenTotal.Inc()
	e.log.Info().Dur("pause", pause).Msg("process resumed after a pause")
	for _, s := range *e.tags.Load() {
		s.resetBeliefs(time.Now())
	}
	if e.hooks.Refresh != nil {
		e.hooks.Refresh(ctx)
	}
}

func (s *service) resetBeliefs(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector = route.NewDetector()
	s.detector.Retain(ids(s.current.Load().document))
	clear(s.leavingReported)
	s.refresh(now)
}

// notifyNewer reports through the hook that a newer document exists.
func (e *Entry) notifyNewer(now time.Time, s *service, link netip.AddrPort, revision order.Revision) {
	if e.hooks.NewerDocument != nil && s.lastHint.Claim(now, hintEvery) {
		s.count.hints.Inc()
		e.hooks.NewerDocument(link, s.name, revision)
	}
}
