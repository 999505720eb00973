package queue

// Clock is the virtual time of start-time fair queueing. It moves with the
// work that starts, so that a share that was idle comes back at the present and
// neither saved up a claim nor owes anything for capacity nobody else wanted.
type Clock struct {
	now float64
}

// Share is one party's place on a Clock. The zero Finish is "never served".
type Share struct {
	Weight float64 // above 0
	Finish float64 // virtual time up to which the party has been served
}

// Start is the virtual time at which the party's next work starts: the party
// with the smallest start is next.
func (c *Clock) Start(s *Share) float64 {
	return max(c.now, s.Finish)
}

// Charge accounts for work of the given cost, in seconds of a slot, that starts now.
func (c *Clock) Charge(s *Share, cost float64) {
	c.now = c.Start(s)
	s.Finish = c.now + cost/s.Weight
}
