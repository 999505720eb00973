package place

import (
	"math"
	"time"
)

// Usage tracks the recently used share of a server's slot time.
type Usage struct {
	Window time.Duration // time constant; a change one window ago has decayed to 1/e

	share   float64
	running float64 // share of the slots in use from since on
	since   time.Time
}

// Set records the number of requests that run from now on.
func (u *Usage) Set(now time.Time, running, slots int) {
	u.share = u.Share(now)
	u.running = min(1, float64(running)/float64(max(slots, 1)))
	u.since = now
}

// Share returns the recently used share, 0 to 1.
func (u *Usage) Share(now time.Time) float64 {
	if u.since.IsZero() {
		return 0
	}
	decay := math.Exp(-float64(now.Sub(u.since)) / float64(u.Window))
	return u.running + (u.share-u.running)*decay
}
