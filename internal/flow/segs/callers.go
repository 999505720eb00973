package segs

import "time"

// CallerTiming says how the callers of a platform open flows. It is a fact of the platform's protocol, handed over by
// whoever knows the format.
type CallerTiming struct {
	SendTimes []time.Duration // when an opening packet and its copies are sent, the first at 0
	GiveUp    time.Duration   // a flow that is not open so long after its first packet is given up
}

// Age returns how long ago the caller sent the first of its opening packets, from the number of
// copies that it sent before this one.
func (c CallerTiming) Age(copies uint32) time.Duration {
	if len(c.SendTimes) == 0 {
		return 0
	}
	return c.SendTimes[min(int(copies), len(c.SendTimes)-1)]
}

// answerTime is left of a caller's patience for the answer to reach it: a flow that is given to its server later
// opens for nobody.
const answerTime = 50 * time.Millisecond

// OpenWindow is how long after its first packet a flow is still worth opening.
func (c CallerTiming) OpenWindow() time.Duration { return max(0, c.GiveUp-answerTime) }
