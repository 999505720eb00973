package place

import (
	"math"
	"time"
)

// Usage follows the share of its slots' time that a server has used lately.
type Usage struct {
	Window time.Duration // time constant; the share of one window ago counts 1/e

	share   float64
	running float64 // share of the slots that run since at
	since   time.Time
}

// Set notes how many requests run from now on.
func (u *Usage) Set(now time.Time, running, slots int) {
	u.share = u.Share(now)
	u.running = min(1, float64(running)/float64(max(slots, 1)))
	u.since = now
}

// Share returns the share used lately, 0 to 1.
func (u *Usage) Share(now time.Time) float64 {
	if u.since.IsZero() {
		return 0
	}
	decay := math.Exp(-float64(now.Sub(u.since)) / float64(u.Window))
	return u.running + (u.share-u.running)*decay
}
