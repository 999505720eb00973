package admit

import (
	"mangowinch/internal/conf/docs"
)

// Limits are what the document says of one backend server.
type Limits struct {
	Slots   int
	Classes []docs.Class
	Callers []docs.Caller
}

// LimitsOf takes the limits of one server from its service's document.
func LimitsOf(s *docs.Service, server docs.Server) Limits {
	return Limits{Slots: server.Slots, Classes: s.Classes, Callers: s.Callers}
}

// The weights of the kinds when all of them wait: lookups get half of the slots'
// time, feeds up to their first byte and uploads a quarter each, so that a flood of
// lookups does not keep uploads out for ever.
const (
	lookupWeight = 2
	longWeight   = 1
)

func laneWeight(k docs.Kind) float64 {
	if k == docs.Lookup {
		return lookupWeight
	}
	return longWeight
}

// Rules are the thresholds of admission.
type Rules struct {
	WaitShare float64 // share of the time left to the deadline that a request may be expected to wait
	Spread    float64 // Retry-After is spread over once to 1+Spread times the expected shortage
	LongShare float64 // share of the slots that feeds may hold, and that uploads may hold
}

// Default are the thresholds in use; docs/design/load.md has the runs behind them.
var Default = Rules{WaitShare: 0.3, Spread: 4, LongShare: 0.5}

// most is how many slots a kind may hold. Feeds and uploads together leave one free
// besides, so that lookups always find a slot that turns over quickly; a server with
// one slot has it for all kinds.
func (g *Gate) most(l *lane) int {
	if l.kind == docs.Lookup {
		return g.limits.Slots
	}
	return max(1, int(g.rules.LongShare*float64(g.limits.Slots)))
}

func (l Limits) class(name string) (docs.Class, bool) {
	for _, c := range l.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return docs.Class{}, false
}
