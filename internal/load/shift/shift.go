// Package shift adjusts the weights by which an entry distributes new flows over the servers of a service.
//
// With fixed weights, a server that becomes slow, or whose flows send more requests than others, receives
// as many new flows as the rest for hours, and its agent has to hand over most of its requests. If
// weights follow the reports immediately, many entries with the same outdated report send every new flow
// to the server that was idle then. Flows are long-lived, so the overload appears after the reports have
// changed, and the weights oscillate indefinitely.
//
// The controller is integral with damping. The weight that would balance a server is its present weight
// times the mean load divided by its own load. Each step moves the weight by a fraction of the difference
// (the hysteresis of Jockey, EuroSys 2012, section 4.3), and only if the load deviates by more than a
// dead zone (ibid.). Jockey's third technique, slack, is not used: it multiplies all loads by the same
// factor and cancels out of a share.
//
// Without damping the weights oscillate, since reports are seconds old. Without a dead zone they follow
// noise and differ between entries, so that the first packets of one flow are sent to different servers.
// docs/design/tuning.md compares the thresholds with alternatives.
//
// The weight of a leaving server is 0 at once, without damping. Weights have a floor and a ceiling
// relative to the document's weights, so that no report, true or false, excludes or floods a server. When
// a report expires, the weight returns to the document's.
//
// Package shift affects new flows only. Requests are placed by package place, and existing flows are not
// moved.
//
// # Usage
//
//	weights := shift.New(shift.Default)
//	weights.SetServers([]shift.Server{{ID: 1, Weight: 1}})
//	weights.Report(now, 1, shift.Load{Demand: 0.7})
//	weights.Step(now) // every Rules.Interval
//	for _, w := range weights.Weights() { ... }
package shift

import (
	"slices"
	"time"
)

// Rules holds the parameters of the controller.
type Rules struct {
	Interval       time.Duration // time between steps
	Gain           float64       // fraction of the way to the target moved in one step; 1 is undamped
	DeadZone       float64       // relative deviation from the mean load that is ignored
	Floor          float64       // smallest weight, as a multiple of the document's
	Ceiling        float64       // greatest weight, as a multiple of the document's
	ReportLifetime time.Duration // age at which a report no longer counts
}

// Default holds the default parameters.
var Default = Rules{
	Interval:       time.Second,
	Gain:           0.05,
	DeadZone:       0.1,
	Floor:          0.1,
	Ceiling:        2,
	ReportLifetime: 10 * time.Second,
}

// Undamped follows each report immediately. It is the baseline that Default is compared with.
var Undamped = Rules{
	Interval:       time.Second,
	Gain:           1,
	Floor:          0.1,
	Ceiling:        2,
	ReportLifetime: 10 * time.Second,
}

// Server is a server as configured in the document.
type Server struct {
	ID      uint32
	Weight  int
	Leaving bool
}

// Load is the load that an agent reports.
type Load struct {
	Demand  float64 // slot time that the agent's own flows require, as a share of its slots' time; may exceed 1
	Leaving bool    // accepts no new requests
}

// Weight is one server's share of new flows, on an arbitrary scale; 0 excludes the server.
type Weight struct {
	ID    uint32
	Share float64
}

// Weights holds the weights of one service at one entry. It is not safe for concurrent use.
type Weights struct {
	rules  Rules
	states []*state
}

type state struct {
	Server
	factor     float64 // multiplies the document's weight
	load       Load
	reportedAt time.Time
}

// New returns Weights without servers.
func New(r Rules) *Weights {
	return &Weights{rules: r}
}

// SetServers applies the servers of a document. With the first document all servers start equal. Later, a
// server that is new, or that returns from leaving, starts at the floor: it is cold, and the others already
// have load.
func (w *Weights) SetServers(servers []Server) {
	first := w.states == nil
	states := make([]*state, 0, len(servers))
	for _, v := range servers {
		s := w.state(v.ID)
		if s == nil {
			s = &state{factor: 1}
			if !first {
				s.factor = w.rules.Floor
			}
		}
		if s.Leaving && !v.Leaving {
			s.factor = w.rules.Floor
		}
		s.Server = v
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *state) int { return int(a.ID) - int(b.ID) })
	w.states = states
}

// Report records the load that an agent reports. A change of Leaving takes effect at once.
func (w *Weights) Report(now time.Time, id uint32, l Load) {
	s := w.state(id)
	if s == nil {
		return
	}
	if s.load.Leaving && !l.Leaving {
		s.factor = w.rules.Floor
	}
	s.load, s.reportedAt = l, now
}

// Step adjusts the weights. It has to be called every Rules.Interval.
func (w *Weights) Step(now time.Time) {
	mean, n := 0.0, 0
	for _, s := range w.states {
		if s.hasLoad(now, w.rules) {
			mean += s.load.Demand
			n++
		}
	}
	mean /= float64(max(n, 1))
	for _, s := range w.states {
		target := 1.0
		if s.hasLoad(now, w.rules) && mean > 0 {
			target = w.target(s, mean)
		}
		s.factor += w.rules.Gain * (target - s.factor)
	}
}

// target returns the factor at which a server would have the mean load.
func (w *Weights) target(s *state, mean float64) float64 {
	if deviation := s.load.Demand/mean - 1; deviation >= -w.rules.DeadZone && deviation <= w.rules.DeadZone {
		return s.factor
	}
	balanced := s.factor * w.rules.Ceiling
	if s.load.Demand > 0 {
		balanced = s.factor * mean / s.load.Demand
	}
	return min(max(balanced, w.rules.Floor), w.rules.Ceiling)
}

// Weights returns the current weights, ordered by server ID.
func (w *Weights) Weights() []Weight {
	list := make([]Weight, 0, len(w.states))
	for _, s := range w.states {
		share := s.factor * float64(max(s.Weight, 1))
		if s.leaving() {
			share = 0
		}
		list = append(list, Weight{ID: s.ID, Share: share})
	}
	return list
}

func (s *state) leaving() bool { return s.Leaving || s.load.Leaving }

// hasLoad reports whether the server's load is known and counts towards the mean.
func (s *state) hasLoad(now time.Time, r Rules) bool {
	return !s.leaving() && !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < r.ReportLifetime
}

func (w *Weights) state(id uint32) *state {
	for _, s := range w.states {
		if s.ID == id {
			return s
		}
	}
	return nil
}
