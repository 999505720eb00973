package fetch

import (
	"math/rand/v2"
	"time"
)

// Bounds of the wait after failed calls to the platform.
const (
	BackoffBase = 500 * time.Millisecond // a short interruption is over by then; 21 watchers make some 50 calls in the first second
	BackoffCap  = 30 * time.Second       // after an hour's outage the recovery is detected within this time
)

// Backoff returns how long to wait after the given number of consecutive failures:
// a random time from 0 to base, doubled with each further failure, or to limit if
// that is less.
//
// The random part is the whole span (full jitter): if a whole fleet lost the platform
// at the same time and waited for fixed times, it would also call again at the same
// time, and overload the platform again.
func Backoff(failures int, base, limit time.Duration, r *rand.Rand) time.Duration {
	span := limit
	if failures < 30 { // beyond that the shift would overflow
		span = min(limit, base<<max(failures-1, 0))
	}
	return time.Duration(r.Int64N(int64(span) + 1))
}
