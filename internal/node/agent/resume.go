package agent

import (
	"context"
	"net/netip"
	"time"

	"mangowinch/internal/flow/order"
)

const (
	// refreshTimeout bounds the request for a document after a pause. An agent that is
	// cut off from the platform and all peers then continues with the document that it
	// has, as it must on its side of a partition.
	refreshTimeout = 2 * time.Second
	// hintInterval is the minimum interval between calls of Hooks.NewerDocument: each
	// datagram to a busy agent carries a revision, and the document takes some
	// milliseconds to arrive.
	hintInterval = 200 * time.Millisecond
)

// resumed makes an agent whose process was paused refuse new work until it has requested
// the newest document. During the pause its server may have been told to leave, or the
// document may have been replaced, so it could take work that it must not have. Waiting
// requests are returned; answers in progress continue.
func (a *Agent) resumed(ctx context.Context, pause time.Duration) {
	a.count.woken.Inc()
	a.log.Info().Dur("pause", pause).Msg("process resumed after a pause")
	a.availability.set(byPause, true)
	defer a.availability.set(byPause, false)
	if a.hooks.Refresh == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	a.hooks.Refresh(ctx)
	a.apply(a.store.View())
}

// notifyNewer notifies the component that keeps the documents of a newer one.
func (a *Agent) notifyNewer(now time.Time, link netip.AddrPort, revision order.Revision) {
	if a.hooks.NewerDocument != nil && a.lastHint.Claim(now, hintInterval) {
		a.count.hints.Inc()
		a.hooks.NewerDocument(link, a.settings.Agent.Service, revision)
	}
}
