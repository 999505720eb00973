package agent

import (
	"context"
	"net/netip"
	"time"

	"mangowinch/internal/flow/order"
)

const (
	// refreshTime bounds the asking after a pause. An agent that is cut off from
	// platform and peers then serves with what it has, as its side of a partition must.
	refreshTime = 2 * time.Second
	// hintEvery spaces the calls of Hooks.Newer: each datagram of a busy agent
	// carries a revision, and the document needs some milliseconds to come.
	hintEvery = 200 * time.Millisecond
)

// woken makes a paused agent take nothing new until it has asked for news. While it
// was stopped its server may have been told to leave, and its document replaced:
// it would take work that nobody wants it to have. What waits is given back;
// established answers go on.
func (a *Agent) woken(ctx context.Context, pause time.Duration) {
	a.count.woken.Inc()
	a.log.Info().Dur("pause", pause).Msg("woken late")
	a.standing.set(byWaking, true)
	defer a.standing.set(byWaking, false)
	if a.hooks.Refresh == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTime)
	defer cancel()
	a.hooks.Refresh(ctx)
	a.apply(a.store.View())
}

// hint tells whoever keeps the documents that a newer one exists.
func (a *Agent) hint(now time.Time, link netip.AddrPort, revision order.Revision) {
	if a.hooks.Newer != nil && a.hinted.Claim(now, hintEvery) {
		a.count.hints.Inc()
		a.hooks.Newer(link, a.settings.Agent.Service, revision)
	}
}
