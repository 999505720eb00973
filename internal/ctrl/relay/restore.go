package relay

import (
	"time"

	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/flow/order"
)

// A platform that is restored from a backup starts a new era and serves older texts until the service teams
// have written the lost changes again. Accepting these texts at once would replace documents that the
// service teams know to be accepted.

// restoreHold is how long documents that may be older than those in force are not accepted after a restore
// of the platform. It leaves the remaining 4 s of the 7 s within which a change has to be in force.
const restoreHold = 3 * time.Second

// eraTracker records when the platform's current era was first seen.
type eraTracker struct {
	era   uint16
	since time.Time
}

// observe records the era of a revision that the platform served.
func (r *eraTracker) observe(now time.Time, revision order.Revision) {
	if revision.Era() > r.era {
		r.era, r.since = revision.Era(), now
	}
}

// holdTime returns for how long a document of the platform must not be accepted yet. A document is held if
// its era is later than that of the known revision while its number is lower.
func (r *eraTracker) holdTime(now time.Time, item fetch.Item, known order.Revision) time.Duration {
	if item.Revision.Era() <= known.Era() || item.Revision.Number() >= known.Number() {
		return 0
	}
	return max(0, restoreHold-now.Sub(r.since))
}

// holdTime returns the longest time for which any of the platform's documents is held, 0 if none is.
func (n *Node) holdTime(documents ...fetch.Item) (wait time.Duration) {
	view, now := n.Store.View(), time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, item := range documents {
		n.platformEra.observe(now, item.Revision)
		wait = max(wait, n.platformEra.holdTime(now, item, view.Revision(item.Name)))
	}
	return wait
}
