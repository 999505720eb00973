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

// longSlots is how many slots feeds and uploads may hold together: half, so that
// lookups always find the other half turning over quickly.
func (l Limits) longSlots() int {
	return max(1, l.Slots/2)
}

func (l Limits) class(name string) (docs.Class, bool) {
	for _, c := range l.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return docs.Class{}, false
}
