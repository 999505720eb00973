package fetch

import (
	"math/rand/v2"
	"time"
)

// Bounds of the wait after failed calls to the platform.
const (
	BackoffBase = 500 * time.Millisecond // a blip is over by then, and 21 watchers make some 50 calls in the first second
	BackoffCap  = 30 * time.Second       // after an hour's outage its return is seen within that time
)

// Backoff returns how long to wait after the given number of failures in a row:
// anything from 0 to base doubled with each failure, and limit at most.
//
// The whole span is random (full jitter), since a fleet that lost the platform
// at one moment and waited fixed times would come back at one moment too, and
// bring it down again.
func Backoff(failures int, base, limit time.Duration, r *rand.Rand) time.Duration {
	span := limit
	if failures < 30 { // beyond that the shift would overflow
		span = min(limit, base<<max(failures-1, 0))
	}
	return time.Duration(r.Int64N(int64(span) + 1))
}
