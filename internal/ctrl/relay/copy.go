package relay

import (
	"time"

	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/flow/order"
)

// A platform that has come back from a copy serves older texts, in its next era, until the teams have written again what it lost. Taken at
// once, they would put out of force what the teams know to be accepted.

// writtenAgain is how long texts that may be older than those in force are left at the platform. It leaves the rest of the seven seconds
// in which a change is to be in force.
const writtenAgain = 3 * time.Second

// returns notes when the platform's present era was first seen.
type returns struct {
	era   uint16
	since time.Time
}

// see takes what the platform has told into account.
func (r *returns) see(now time.Time, told order.Revision) {
	if told.Era() > r.era {
		r.era, r.since = told.Era(), now
	}
}

// held says for how long a document is left at the platform: it is of a later era than the one that is known, and its number is lower.
func (r *returns) held(now time.Time, item fetch.Item, known order.Revision) time.Duration {
	if item.Revision.Era() <= known.Era() || item.Revision.Number() >= known.Number() {
		return 0
	}
	return max(0, writtenAgain-now.Sub(r.since))
}

// heldFor says for how long some documents that the platform told are left there; 0 if none is.
func (n *Node) heldFor(documents ...fetch.Item) (wait time.Duration) {
	view, now := n.Store.View(), time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, item := range documents {
		n.returns.see(now, item.Revision)
		wait = max(wait, n.returns.held(now, item, view.Revision(item.Name)))
	}
	return wait
}
