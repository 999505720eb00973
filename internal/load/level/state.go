package level

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
)

// service is what is known about one service.
type service struct {
	reports       map[netip.Addr]report
	levels        [msgs.NumWaits]level
	steppedAt     time.Time
	limited       bool      // last reported by Changes
	belowFullAt   time.Time // when a level was last below full admission
	lowestPercent int       // lowest level since the last change
}

// report is what an agent has last reported.
type report struct {
	estimate    msgs.Estimate
	estimatedAt time.Time
	refusedAt   [msgs.NumWaits]time.Time // by priority: the last refusal since the estimate
}

// level is the state of one priority of a service. The counts lose their weight over averageTime.
type level struct {
	fallen      float64 // part of the flows that is not admitted
	arrived     float64
	admitted    float64
	opened      float64
	returned    float64
	maxLeft     time.Duration // longest time that a flow had left between the last two steps with flows
	nextMaxLeft time.Duration // the same since the last step
	arrivedAt   time.Time
	admittedAt  time.Time
}

func (s *service) record(agent netip.Addr, r report) {
	if _, known := s.reports[agent]; known || len(s.reports) < maxAgents {
		s.reports[agent] = r
	}
}

// part returns the part of the flows of a priority that is admitted.
func (s *service) part(p int) float64 {
	fallen := 0.0
	for _, l := range s.levels[:p+1] {
		fallen = max(fallen, l.fallen)
	}
	return 1 - fallen
}

// step moves the levels of a service with the given number of servers.
func (s *service) step(now time.Time, servers int) {
	keep := math.Exp(-now.Sub(s.steppedAt).Seconds() / averageTime.Seconds())
	s.steppedAt = now
	s.expire(now)
	for p := range s.levels {
		l := &s.levels[p]
		if l.nextMaxLeft > 0 {
			l.maxLeft, l.nextMaxLeft = l.nextMaxLeft, 0
		}
		if l.maxLeft == 0 {
			continue // no flows
		}
		full, freshlyFull := s.full(now, p, l.maxLeft)
		l.move(full, freshlyFull, servers)
		l.decay(keep)
	}
}

// full returns the number of servers whose wait is long for a flow of a priority with the given time left, and
// the number of those of which this is certain: a wait that was reported less than its own length ago.
func (s *service) full(now time.Time, p int, left time.Duration) (full, fresh int) {
	for _, r := range s.reports {
		wait := r.estimate.Wait(p)
		long := max(0, left-r.estimate.ServiceTime()) / longWaitDivisor
		age := now.Sub(r.estimatedAt)
		switch {
		case wait > long && age <= forgetAfter:
			full++
			if age < long {
				fresh++
			}
		case r.hasRefused(now, p):
			full++
		}
	}
	return full, fresh
}

// hasRefused reports whether the agent has refused a flow of a priority or a higher one, not long ago.
func (r *report) hasRefused(now time.Time, p int) bool {
	return slices.ContainsFunc(r.refusedAt[:p+1], func(at time.Time) bool { return now.Sub(at) <= forgetAfter })
}

// move takes one step, given the number of full servers, of those that are certainly full, and of all servers.
func (l *level) move(full, freshlyFull, servers int) {
	part := 1 - l.fallen
	returning := l.opened+l.returned >= minOutcomes && l.returned >= fewReturnedRatio*l.opened
	switch {
	case returning && 100*freshlyFull >= fullPercent*servers:
		part = max(part*fallFactor, drainRatio*l.openedPart(), probePart)
	case 100*full < roomBelowPercent*servers || l.opened > 0 && l.returned < fewReturnedRatio*l.opened:
		part = part*riseFactor + riseStep
	case returning && 100*full >= fullPercent*servers:
		part = max(part*fallFactor, admitRatio*l.openedPart(), probePart)
	}
	l.fallen = max(0, 1-part)
}

// openedPart returns the part of the flows that was admitted and opened.
func (l *level) openedPart() float64 {
	if l.arrived == 0 || l.opened+l.returned == 0 {
		return 1
	}
	return l.admitted / l.arrived * l.opened / (l.opened + l.returned)
}

// decay reduces the weight of the counts.
func (l *level) decay(keep float64) {
	l.arrived *= keep
	l.admitted *= keep
	l.opened *= keep
	l.returned *= keep
	if l.arrived < minCount {
		l.arrived, l.admitted = 0, 0
	}
}

// endPauses removes the levels of priorities without flows for longer than any flow waits: all that waited then has been
// served or given up, whatever was reported.
func (s *service) endPauses(now time.Time) {
	for p := range s.levels {
		if l := &s.levels[p]; now.Sub(l.arrivedAt) > max(l.maxLeft, l.nextMaxLeft) {
			*l = level{}
		}
	}
}

// expire removes reports that are too old, and levels without flows.
func (s *service) expire(now time.Time) {
	for a, r := range s.reports {
		if now.Sub(r.estimatedAt) > forgetAfter && !r.hasRefused(now, msgs.NumWaits-1) {
			delete(s.reports, a)
		}
	}
	s.endPauses(now)
}

// idle reports whether the service has had no flows for long.
func (s *service) idle(now time.Time) bool {
	for p := range s.levels {
		if now.Sub(s.levels[p].arrivedAt) <= forgetAfter {
			return false
		}
	}
	return true
}
