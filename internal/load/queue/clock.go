package queue

// Clock is the virtual clock of start-time fair queueing. It advances with the work that starts, so that
// a party that was idle resumes at the present virtual time: it has not accumulated a claim, and it owes
// nothing for capacity that no other party wanted.
type Clock struct {
	now float64
}

// Share is the position of one party on a Clock. A zero Finish means that the party was never served.
type Share struct {
	Weight float64 // greater than 0
	Finish float64 // virtual time up to which the party has been served
}

// Start returns the virtual time at which the party's next work starts. The party with the smallest start
// time is served next.
func (c *Clock) Start(s *Share) float64 {
	return max(c.now, s.Finish)
}

// Charge accounts for work of the given cost, in seconds of a slot, that starts now.
func (c *Clock) Charge(s *Share, cost float64) {
	c.now = c.Start(s)
	s.Finish = c.now + cost/s.Weight
}
