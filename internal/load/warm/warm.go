// Package warm limits the new flows of a server that has just started, to the rate that its service states for it.
//
// The load pattern, and what goes wrong without it. A failure domain's servers come back together, empty: whoever places by load sends them
// everything, and a server that has yet to fill its caches and open its connections bears a few requests a second. They queue, callers come
// again, and the servers that were well get nothing meanwhile.
//
// The rule: while a server is cold it gets no more flows in any second than stated, and one a second at the least, so that it is used
// at all. It is the agent beside the server that counts, since it alone sees what all entries send. A flow over the limit goes elsewhere or
// waits; who decides that is the caller of this package. Nothing is limited where nothing is stated.
//
// It is pure: time is handed in. It is not safe for concurrent use.
//
// # Usage
//
//	var l warm.Limiter
//	l.ColdFor(now, left)
//	if l.Allows(now, perSecond) {
//		l.Took(now)
//	}
package warm

import "time"

// window is the span in which the flows are counted, which slides.
const window = time.Second

// Limiter counts the new flows of one server. Its zero value is that of a server that is warm.
type Limiter struct {
	until time.Time
	taken []time.Time // within the window, oldest first; kept while the server is cold
}

// SetCold says how much longer the server is cold; it replaces what was said before.
func (l *Limiter) SetCold(now time.Time, left time.Duration) { l.until = now.Add(left) }

// ExtendCold says that the server is cold for that long or longer.
func (l *Limiter) ExtendCold(now time.Time, left time.Duration) {
	if until := now.Add(left); until.After(l.until) {
		l.until = until
	}
}

// Cold says whether the server is cold.
func (l *Limiter) Cold(now time.Time) bool { return now.Before(l.until) }

// Allows says whether the server may get a new flow. A rate of 0 is none: nothing is limited.
func (l *Limiter) Allows(now time.Time, perSecond float64) bool {
	if perSecond <= 0 || !l.Cold(now) {
		return true
	}
	l.forget(now)
	return len(l.taken) < max(1, int(perSecond))
}

// Record notes a new flow.
func (l *Limiter) Record(now time.Time) {
	l.forget(now)
	l.taken = append(l.taken, now)
}

func (l *Limiter) forget(now time.Time) {
	old := 0
	for old < len(l.taken) && now.Sub(l.taken[old]) >= window {
		old++
	}
	l.taken = l.taken[old:]
}
