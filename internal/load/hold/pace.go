package hold

import (
	"math"
	"time"

	"mangowinch/internal/flow/msgs"
)

const (
	// paceWindow is the time over which openings are averaged: within a few tenths of a second,
	// a burst fills the queue.
	paceWindow = 300 * time.Millisecond
	// assumedOpenings is the weight, in openings, of the pace that follows from the service time alone.
	assumedOpenings = 2
)

// pace is how fast flows of one priority are opened while some of them wait. Requests on open flows and flows of
// higher priorities slow the openings, so they need not be known.
type pace struct {
	updated time.Time
	waited  time.Duration // time in which flows of the priority waited, decayed
	opened  float64       // openings in that time, decayed
}

// advance brings the pace up to date. waiting reports whether flows have waited since the last update.
func (p *pace) advance(now time.Time, waiting bool) {
	elapsed := now.Sub(p.updated)
	if p.updated.IsZero() || elapsed <= 0 {
		p.updated = now
		return
	}
	kept := math.Exp(-float64(elapsed) / float64(paceWindow))
	p.waited = time.Duration(float64(p.waited) * kept)
	p.opened *= kept
	if waiting {
		p.waited += time.Duration(float64(paceWindow) * (1 - kept)) // at most the window, also after a pause of the process
	}
	p.updated = now
}

// gap returns the mean time between two openings while flows wait.
func (p *pace) gap(s Server) time.Duration {
	assumed := float64(s.Service) / float64(s.Slots) * assumedOpenings
	return time.Duration((float64(p.waited) + assumed) / (p.opened + assumedOpenings))
}

// paceIndex returns the index of a priority's pace; the last one stands for all lower priorities.
func paceIndex(priority int) int { return min(max(priority, 0), msgs.NumWaits-1) }

// advance brings the paces up to date.
func (q *Queue) advance(now time.Time) {
	var waiting [msgs.NumWaits]bool
	for _, w := range q.waiting {
		waiting[paceIndex(w.Priority)] = true
	}
	for i := range q.paces {
		q.paces[i].advance(now, waiting[i])
	}
}

// Waits returns how long a new flow of each priority would wait to be opened: 0 if there is room for it.
func (q *Queue) Waits(now time.Time, s Server) (waits [msgs.NumWaits]time.Duration) {
	if s.Service <= 0 {
		return waits
	}
	q.advance(now)
	var ahead [msgs.NumWaits]int
	for _, w := range q.waiting {
		if q.rank(w, now) == inTime {
			ahead[paceIndex(w.Priority)]++
		}
	}
	for i := range waits {
		if ahead[i] > 0 || s.Expected >= s.limit(i) {
			waits[i] = time.Duration(ahead[i]+1) * q.paces[i].gap(s)
		}
	}
	return waits
}
