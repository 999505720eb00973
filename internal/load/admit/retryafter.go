package admit

import (
	"time"

	"mangowinch/internal/load/queue"
	"mangowinch/internal/work/result"
)

// Limits of Retry-After.
const (
	minRetryAfter = time.Second      // the unit of the header
	maxRetryAfter = 30 * time.Second // before spreading; callers ignore longer values
	// shortageShare is the share of a second's requests that have to be refused for a shortage to
	// continue. Occasional refusals are not a shortage: if they were, the first callers of an outage
	// would be asked to stay away for as long as there have been occasional refusals.
	shortageShare = 0.05
)

// shortage tracks since when a significant share of the requests has been refused.
type shortage struct {
	since             time.Time // zero if there is no shortage
	windowStart       time.Time // start of the second that is being counted
	arrivals, refused int
}

func (s *shortage) arrive(now time.Time) {
	s.advance(now)
	s.arrivals++
}

func (s *shortage) refuse(now time.Time) (age time.Duration) {
	s.advance(now)
	s.refused++
	if s.since.IsZero() {
		s.since = now
	}
	return now.Sub(s.since)
}

// advance starts counting a new second if the current one is over, and ends the shortage if few requests
// were refused in it.
func (s *shortage) advance(now time.Time) {
	elapsed := now.Sub(s.windowStart)
	if elapsed < time.Second {
		return
	}
	if elapsed >= 2*time.Second || float64(s.refused) < shortageShare*float64(s.arrivals) {
		s.since = time.Time{}
	}
	s.windowStart, s.arrivals, s.refused = now, 0, 0
}

// RetryAfter records a refusal and returns after which time the refused caller should retry. A process
// also calls it when it refuses a request for a reason of its own, such as that no server is reachable. A
// shortage is expected to last as long again as it has lasted so far, and at least until the queue is
// empty. The result is spread evenly beyond that time, because callers that were refused together would
// otherwise return together and cause the next shortage.
func (g *Gate) RetryAfter(now time.Time) time.Duration {
	base := max(g.shortage.refuse(now), g.backlog(), minRetryAfter)
	base = min(base, maxRetryAfter)
	return base + time.Duration(g.rules.Spread*g.random.Float64()*float64(base))
}

// backlog returns how long the slots take to serve all waiting requests.
func (g *Gate) backlog() time.Duration {
	cost := 0.0
	for _, k := range kinds {
		for i := range g.lanes[k].waiting.All {
			cost += i.Cost
		}
	}
	return seconds(cost / float64(max(g.limits.Slots, 1)))
}

func (g *Gate) refuse(now time.Time, r result.Reason) Decision {
	return Decision{Verdict: Refuse, Reason: r, RetryAfter: g.RetryAfter(now)}
}

func (g *Gate) newRefusal(now time.Time, id uint64, r result.Reason) Refusal {
	return Refusal{ID: id, Reason: r, RetryAfter: g.RetryAfter(now)}
}

// Stats is the state of a gate, as shown by /status and used for the load reports to peers.
type Stats struct {
	Slots   int             `json:"slots"`
	Running int             `json:"running"`
	Waiting int             `json:"waiting"`
	Classes []ClassStats    `json:"classes"`
	Callers []queue.Backlog `json:"callers"`
}

// ClassStats holds the service time statistics of one class.
type ClassStats struct {
	Class string        `json:"class"`
	Mean  time.Duration `json:"mean"` // mean service time
	Runs  int           `json:"runs"`
}

// ServiceTime returns the service time to report to peers: the mean of the fastest class, or 0 if no
// request has completed. A mean over all classes would make a server that happens to receive more uploads
// appear slow.
func (s Stats) ServiceTime() (shortest time.Duration) {
	for _, c := range s.Classes {
		if c.Runs > 0 && (shortest == 0 || c.Mean < shortest) {
			shortest = c.Mean
		}
	}
	return shortest
}

// Stats returns a snapshot of the gate's state.
func (g *Gate) Stats() Stats {
	s := Stats{Slots: g.limits.Slots, Running: len(g.running)}
	for _, k := range kinds {
		s.Waiting += g.lanes[k].waiting.Len()
		s.Callers = append(s.Callers, g.lanes[k].waiting.Backlogs()...)
	}
	for _, c := range g.limits.Classes {
		e := g.estimate(c.Name)
		s.Classes = append(s.Classes, ClassStats{Class: c.Name, Mean: seconds(e.mean), Runs: e.runs})
	}
	return s
}
