package admit

import (
	"time"

	"mangowinch/internal/load/queue"
	"mangowinch/internal/work/result"
)

// Parameters of Retry-After.
const (
	leastAfter = time.Second      // the header's own unit
	mostAfter  = 30 * time.Second // before spreading; a caller that is told more ignores it
	// shortPart is the share of a second's requests that has to be refused for the
	// shortage to go on. A stray refusal now and then is none: were it one, the
	// first callers of an outage would be told to stay away for as long as
	// there have been stray refusals.
	shortPart = 0.05
)

// shortage follows since when a good part of the requests is refused.
type shortage struct {
	began             time.Time // zero if there is none
	second            time.Time // begin of the second that is counted
	arrivals, refused int
}

func (s *shortage) arrive(now time.Time) {
	s.roll(now)
	s.arrivals++
}

func (s *shortage) refuse(now time.Time) (age time.Duration) {
	s.roll(now)
	s.refused++
	if s.began.IsZero() {
		s.began = now
	}
	return now.Sub(s.began)
}

// roll ends the shortage if a second has ended in which little was refused.
func (s *shortage) roll(now time.Time) {
	gone := now.Sub(s.second)
	if gone < time.Second {
		return
	}
	if gone >= 2*time.Second || float64(s.refused) < shortPart*float64(s.arrivals) {
		s.began = time.Time{}
	}
	s.second, s.arrivals, s.refused = now, 0, 0
}

// RetryAfter is when a caller that is refused now is to come back; it notes the refusal.
// A process asks for it when it refuses for a reason of its own, such as that no server
// can be reached. A shortage is expected to last about as long again as it has
// lasted, and no less than the queue takes to empty. The answer is spread evenly beyond
// that: callers that were refused together would otherwise come back together and
// make the next shortage.
func (g *Gate) RetryAfter(now time.Time) time.Duration {
	base := max(g.shortage.refuse(now), g.backlog(), leastAfter)
	base = min(base, mostAfter)
	return base + time.Duration(g.rules.Spread*g.random.Float64()*float64(base))
}

// backlog is how long the slots take for all that waits.
func (g *Gate) backlog() time.Duration {
	cost := 0.0
	for _, k := range kinds {
		for i := range g.lanes[k].waiting.All {
			cost += i.Cost
		}
	}
	return seconds(cost / float64(max(g.limits.Slots, 1)))
}

func (g *Gate) refusal(now time.Time, r result.Reason) Decision {
	return Decision{Verdict: Refuse, Reason: r, RetryAfter: g.RetryAfter(now)}
}

func (g *Gate) refused(now time.Time, id uint64, r result.Reason) Refusal {
	return Refusal{ID: id, Reason: r, RetryAfter: g.RetryAfter(now)}
}

// Stats is the state of a gate for /status and for the load that peers are told of.
type Stats struct {
	Slots   int             `json:"slots"`
	Running int             `json:"running"`
	Waiting int             `json:"waiting"`
	Classes []ClassStats    `json:"classes"`
	Callers []queue.Backlog `json:"callers"`
}

// ClassStats is what is measured of one class.
type ClassStats struct {
	Class string        `json:"class"`
	Mean  time.Duration `json:"mean"` // of service
	Runs  int           `json:"runs"`
}

// ServiceTime is the service time to tell peers: the mean of the shortest class. A mean over
// all classes would make a server look slow that happens to have got more uploads. 0 if
// nothing has been measured.
func (s Stats) ServiceTime() (shortest time.Duration) {
	for _, c := range s.Classes {
		if c.Runs > 0 && (shortest == 0 || c.Mean < shortest) {
			shortest = c.Mean
		}
	}
	return shortest
}

// Stats returns a copy of the gate's state.
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
