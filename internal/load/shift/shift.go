// Package shift moves the weights by which an entry spreads new flows over the
// servers of a service.
//
// The load patterns, and what goes wrong without it. With fixed weights a server
// that turns slow, or whose flows ask for more than others', gets as many new flows
// as the rest for hours, and its agent has to hand most of its requests over. With
// weights that follow the reports at once, many entries that all hold the same old
// report send every new flow to the server that was idle then; flows last, so the
// overload arrives after the reports have turned, and the weights swing for ever.
//
// The rule is integral control with damping. The weight that would even a server's load
// out is its present one times mean load over its own load; each step goes a fraction
// of the way there (the hysteresis of Jockey, EuroSys 2012, section 4.3), and only
// if the load is off by more than a dead zone (ibid.). Jockey's third means, slack, is
// not used: it multiplies all loads alike and cancels out of a share.
//
// Undamped, weights swing, since reports are seconds old. Without a dead zone they move over noise, and two entries differ, so that
// first packets of a flow are sent apart. docs/design/tuning.md compares the thresholds with others.
//
// A server that leaves has weight 0 at once, without damping. Weights have a floor and
// a ceiling relative to the document's, so that no report, true or false, takes a server
// out or floods it; a report that grows old lets its weight go back to the document's.
//
// Shift moves new flows only. Requests are placed by package place; flows stay.
//
// # Usage
//
//	weights := shift.New(shift.Default)
//	weights.SetServers([]shift.Server{{ID: 1, Weight: 1}})
//	weights.Report(now, 1, shift.Load{Demand: 0.7})
//	weights.Step(now) // every Rules.Every
//	for _, w := range weights.Weights() { ... }
package shift

import (
	"slices"
	"time"
)

// Rules are the parameters of the controller.
type Rules struct {
	Interval       time.Duration // between steps
	Gain           float64       // part of the way to the target in one step; 1 is undamped
	DeadZone       float64       // relative difference from the mean load that is let be
	Floor          float64       // least weight, as a share of the document's
	Ceiling        float64       // greatest weight, in document weights
	ReportLifetime time.Duration // age at which a report no longer counts
}

// Default are the parameters in use.
var Default = Rules{
	Interval:       time.Second,
	Gain:           0.05,
	DeadZone:       0.1,
	Floor:          0.1,
	Ceiling:        2,
	ReportLifetime: 10 * time.Second,
}

// Undamped follows each report at once; it is the rule that Default is measured against.
var Undamped = Rules{
	Interval:       time.Second,
	Gain:           1,
	Floor:          0.1,
	Ceiling:        2,
	ReportLifetime: 10 * time.Second,
}

// Server is what the document says of one server.
type Server struct {
	ID      uint32
	Weight  int
	Leaving bool
}

// Load is what an agent reports.
type Load struct {
	Demand  float64 // slot time that requests on its own flows ask for, as a share of its slots' time; may exceed 1
	Leaving bool    // takes no new work
}

// Weight is the share of new flows of one server, on any scale; 0 is none.
type Weight struct {
	ID    uint32
	Share float64
}

// Weights holds the weights of one service at one entry. It is not safe for
// concurrent use.
type Weights struct {
	rules  Rules
	states []*state
}

type state struct {
	Server
	factor float64 // of the document's weight
	load   Load
	heard  time.Time
}

// New returns weights without servers.
func New(r Rules) *Weights {
	return &Weights{rules: r}
}

// SetServers puts the servers of a document in force. A server that is new, or
// comes back from leaving, starts at the floor if the others already have
// load, since it is cold; with the first document all start alike.
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

// Report takes in what an agent says of itself. That it leaves counts at once.
func (w *Weights) Report(now time.Time, id uint32, l Load) {
	s := w.state(id)
	if s == nil {
		return
	}
	if s.load.Leaving && !l.Leaving {
		s.factor = w.rules.Floor
	}
	s.load, s.heard = l, now
}

// Step moves the weights; call it every Rules.Every.
func (w *Weights) Step(now time.Time) {
	mean, n := 0.0, 0
	for _, s := range w.states {
		if s.counts(now, w.rules) {
			mean += s.load.Demand
			n++
		}
	}
	mean /= float64(max(n, 1))
	for _, s := range w.states {
		target := 1.0
		if s.counts(now, w.rules) && mean > 0 {
			target = w.target(s, mean)
		}
		s.factor += w.rules.Gain * (target - s.factor)
	}
}

// target is the factor at which a server would have the mean load.
func (w *Weights) target(s *state, mean float64) float64 {
	if off := s.load.Demand/mean - 1; off >= -w.rules.DeadZone && off <= w.rules.DeadZone {
		return s.factor
	}
	even := s.factor * w.rules.Ceiling
	if s.load.Demand > 0 {
		even = s.factor * mean / s.load.Demand
	}
	return min(max(even, w.rules.Floor), w.rules.Ceiling)
}

// Weights returns the weights in force, ordered by server.
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

// counts reports whether the server's load is known and belongs to the mean.
func (s *state) counts(now time.Time, r Rules) bool {
	return !s.leaving() && !s.heard.IsZero() && now.Sub(s.heard) < r.ReportLifetime
}

func (w *Weights) state(id uint32) *state {
	for _, s := range w.states {
		if s.ID == id {
			return s
		}
	}
	return nil
}
