// Package warm limits the rate of new flows to a server that has just started, to the rate configured for
// its service.
//
// When the servers of a failure domain restart together they are empty, and placement by load sends them
// all new flows. A server that has yet to fill its caches and open its connections can serve only a few
// requests per second. Requests queue there and callers retry, while the healthy servers receive nothing.
//
// While a server is cold it receives no more than the configured number of flows in any second, and at
// least one per second so that it is used at all. The agent beside the server counts the flows, since
// only it sees the flows from all entries. A flow above the limit is placed elsewhere or waits, as the
// caller of this package decides. Without a configured rate nothing is limited.
//
// Package warm performs no I/O: the caller passes in the time. A Limiter is not safe for concurrent use.
//
// # Usage
//
//	var l warm.Limiter
//	l.SetCold(now, left)
//	if l.Allows(now, perSecond) {
//		l.Record(now)
//	}
package warm

import "time"

// window is the length of the sliding window in which flows are counted.
const window = time.Second

// Limiter counts the new flows of one server. The zero value is the limiter of a warm server.
type Limiter struct {
	coldUntil time.Time
	recent    []time.Time // flows within the window, oldest first
}

// SetCold sets how much longer the server is cold, replacing any earlier value.
func (l *Limiter) SetCold(now time.Time, left time.Duration) { l.coldUntil = now.Add(left) }

// ExtendCold ensures that the server is cold for at least the given time.
func (l *Limiter) ExtendCold(now time.Time, left time.Duration) {
	if until := now.Add(left); until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// Cold reports whether the server is cold.
func (l *Limiter) Cold(now time.Time) bool { return now.Before(l.coldUntil) }

// Allows reports whether the server may receive a new flow. With a rate of 0 there is no limit.
func (l *Limiter) Allows(now time.Time, perSecond float64) bool {
	if perSecond <= 0 || !l.Cold(now) {
		return true
	}
	l.prune(now)
	return len(l.recent) < max(1, int(perSecond))
}

// Record records a new flow.
func (l *Limiter) Record(now time.Time) {
	l.prune(now)
	l.recent = append(l.recent, now)
}

func (l *Limiter) prune(now time.Time) {
	expired := 0
	for expired < len(l.recent) && now.Sub(l.recent[expired]) >= window {
		expired++
	}
	l.recent = l.recent[expired:]
}
