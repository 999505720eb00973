package hold

import (
	"math"
	"time"

	"mangowinch/internal/flow/msgs"
)

const (
	// paceWindow is the time over which arrivals and openings are averaged: within a few tenths of a second,
	// a burst fills the queue.
	paceWindow = 300 * time.Millisecond
	// assumedOpenings is the weight, in openings, of the pace that follows from the service time alone.
	assumedOpenings = 2
	// never is the wait of a flow whose turn does not come.
	never = time.Duration(math.MaxInt64)
)

// pace is how fast flows of one priority arrive and are opened. Requests on open flows and flows of higher
// priorities slow the openings, so they need not be known.
type pace struct {
	updated time.Time
	waited  time.Duration // time in which flows of the priority waited, decayed
	opened  float64       // openings in that time, decayed
	arrived float64       // arrivals, decayed
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
	p.arrived *= kept
	if waiting {
		p.waited += elapsed
	}
	p.updated = now
}

// gap returns the mean time between two openings while flows wait.
func (p *pace) gap(s Server) time.Duration {
	assumed := float64(s.Service) / float64(s.Slots) * assumedOpenings
	return time.Duration((float64(p.waited) + assumed) / (p.opened + assumedOpenings))
}

// lateWait returns how long a flow waits that comes after the given number of flows and after all that
// arrive meanwhile.
func (p *pace) lateWait(s Server, ahead int) time.Duration {
	spare := 1/float64(p.gap(s)) - p.arrived/float64(paceWindow)
	if spare <= 0 {
		return never
	}
	return time.Duration(min(float64(ahead)/spare, float64(never)/2))
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
		if w.rank(now, q.signs.overdue(w, now)) == inTime {
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

// Refusal is a waiting flow that can't be opened early enough, with the wait that was expected.
type Refusal struct {
	*QueuedFlow
	Wait time.Duration // expected from now on; maxWait if its turn does not come
	Left time.Duration // how long it could have waited
}

// Refuse removes and returns the flows that can't be opened early enough. A flow that would be opened too late
// to be answered within its target waits only if it can be answered before its caller gives up: while more
// flows arrive than are opened, flows that can still meet their targets take all openings. Flows to routes
// without a timeout aren't refused, and none is before the service time is known.
func (q *Queue) Refuse(now time.Time, s Server) (refused []Refusal) {
	if q.off.Early || s.Service <= 0 || len(q.waiting) == 0 {
		return nil
	}
	q.advance(now)
	var ahead [msgs.NumWaits]int
	for _, w := range q.ordered(now) {
		i := paceIndex(w.Priority)
		wait, timeLeft := q.expectedWait(now, w, s, ahead[i]), w.timeLeft(now, s, q.maxWait)
		if w.Timeout == 0 || wait <= timeLeft {
			ahead[i]++
			continue
		}
		q.remove(w)
		refused = append(refused, Refusal{QueuedFlow: w, Wait: min(wait, q.maxWait), Left: timeLeft})
	}
	return refused
}

// expectedWait returns how long a flow still waits if the given number of flows of its priority come before it.
func (q *Queue) expectedWait(now time.Time, w *QueuedFlow, s Server, ahead int) time.Duration {
	p := &q.paces[paceIndex(w.Priority)]
	wait := time.Duration(ahead+1) * p.gap(s)
	if w.Target == 0 || now.Add(wait).Sub(w.FirstSent) < w.openBy() {
		return wait
	}
	return p.lateWait(s, ahead+1)
}

// timeLeft returns how long a flow may still wait so that the caller gets the answer before it gives up.
func (w *QueuedFlow) timeLeft(now time.Time, s Server, maxWait time.Duration) time.Duration {
	return min(w.Timeout-s.Service, maxWait) - now.Sub(w.FirstSent)
}
