package segs

import "time"

// CallerTiming describes when the callers of a platform send their opening packets. It is a property of the
// platform's protocol and comes from the package that implements the packet format.
type CallerTiming struct {
	SendTimes []time.Duration // when an opening packet and its copies are sent, after the first one
	GiveUp    time.Duration   // when the caller gives up a flow that is not open, after the first packet
}

// Age returns the time since the caller's first opening packet, given the number of copies that were sent
// before the current one.
func (c CallerTiming) Age(copies uint32) time.Duration {
	if len(c.SendTimes) == 0 {
		return 0
	}
	return c.SendTimes[min(int(copies), len(c.SendTimes)-1)]
}

// answerReserve is the part of CallerTiming.GiveUp that is reserved for the answer to reach the caller. If
// the server receives the flow later, its answer arrives after the caller has given up.
const answerReserve = 50 * time.Millisecond

// OpenWindow returns how long after its first packet a flow is still worth opening.
func (c CallerTiming) OpenWindow() time.Duration { return max(0, c.GiveUp-answerReserve) }
