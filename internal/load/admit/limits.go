package admit

import (
	"mangowinch/internal/conf/docs"
)

// Limits holds the limits that the document sets for one backend server.
type Limits struct {
	Slots   int
	Classes []docs.Class
	Callers []docs.Caller
}

// LimitsOf returns the limits of one server from its service's document.
func LimitsOf(s *docs.Service, server docs.Server) Limits {
	return Limits{Slots: server.Slots, Classes: s.Classes, Callers: s.Callers}
}

// Weights of the kinds when all of them wait. Lookups get half of the slots' time; uploads, and feeds up
// to their first byte, get a quarter each, so that a flood of lookups cannot keep uploads out.
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

// Rules holds the thresholds of admission.
type Rules struct {
	WaitShare float64 // share of the time left to the deadline that a request may be expected to wait
	Spread    float64 // Retry-After is spread between 1 and 1+Spread times the expected shortage
	LongShare float64 // share of the slots that feeds may hold, and likewise uploads
}

// Default holds the default thresholds; docs/design/load.md gives the reasons for them.
var Default = Rules{WaitShare: 0.3, Spread: 4, LongShare: 0.5}

// slotLimit returns the number of slots that a kind may hold. Feeds and uploads together also leave one
// slot free (see hasSlot), so that lookups always find a slot with short service times. A server with a
// single slot makes it available to all kinds.
func (g *Gate) slotLimit(l *lane) int {
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
