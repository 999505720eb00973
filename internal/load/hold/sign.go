package hold

import (
	"time"

	"mangowinch/internal/flow/segs"
)

const (
	// lagWindow is the number of copies over which their delay is averaged.
	lagWindow = 16
	// lagDeviations is how many mean deviations a copy may come after its mean delay before it is overdue, as
	// in the retransmission timeout of TCP (RFC 6298).
	lagDeviations = 4
	// minLag is how late a copy may always be.
	minLag = 20 * time.Millisecond
)

// signs determines which callers have left: a caller repeats its opening packet at known times until it gives up the
// attempt. It learns how long after their sending copies arrive.
type signs struct {
	sendTimes []time.Duration
	mean, dev time.Duration
}

// heard records a copy of a waiting flow's opening packet.
func (g *signs) heard(now time.Time, w *QueuedFlow, copies int) {
	if copies <= w.Copies || copies >= len(g.sendTimes) {
		return
	}
	w.Copies = copies
	lag := max(0, now.Sub(w.FirstSent)-g.sendTimes[copies])
	off := lag - g.mean
	g.mean += off / lagWindow
	g.dev += (off.Abs() - g.dev) / lagWindow
}

// overdue reports whether a copy of a flow's opening packet should have come and hasn't.
func (g *signs) overdue(w *QueuedFlow, now time.Time) bool {
	next := w.Copies + 1
	if next >= len(g.sendTimes) {
		return false
	}
	return now.Sub(w.FirstSent) > g.sendTimes[next]+max(minLag, g.mean+lagDeviations*g.dev)
}

// Heard records a copy of a waiting flow's opening packet, given the number of copies sent before it. It reports
// whether the flow waits.
func (q *Queue) Heard(now time.Time, f segs.Flow, copies int) bool {
	for _, w := range q.waiting {
		if w.Flow == f {
			q.signs.heard(now, w, copies)
			return true
		}
	}
	return false
}
