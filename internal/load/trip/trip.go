// Package trip is a circuit breaker for one backend server, used by the agent beside it.
//
// A server that aborts each request at once has none in progress and looks idle, so that placement by
// load sends it more requests. Callers whose requests were aborted retry, are placed on the same server,
// and fail permanently after the third attempt. With 10 of 51 servers flapping, 111 idempotent requests
// failed in this way within 6.5 s.
//
// After failuresToTrip consecutive requests that the server aborted, it receives no new flows except one
// per probeInterval, and the first answer closes the breaker. A server that aborts only part of its
// requests opens the breaker occasionally, more often the larger that part is.
//
// A breaker decides about new flows of one server and does not know other servers; keeping the last
// available server in use is up to its caller. The caller also passes in the time. A Breaker is not safe
// for concurrent use.
//
// # Usage
//
//	var b trip.Breaker
//	if b.RecordFailure(now) { resetIdleFlows() }
//	b.RecordAnswer()
//	if !b.Allows(now) { placeElsewhere() }
package trip

import "time"

const (
	// failuresToTrip is the number of consecutive failures that opens the breaker. A server that aborts
	// one in ten requests hardly ever has as many in a row; one that aborts half of them soon does.
	failuresToTrip = 5
	// probeInterval is how often an open breaker lets a flow through, to see whether the server has
	// recovered. A caller whose flow fails retries and is placed elsewhere.
	probeInterval = 400 * time.Millisecond
)

// Breaker is the circuit breaker of one server. The zero value is a closed breaker.
type Breaker struct {
	failures  int
	lastProbe time.Time
}

// Open reports whether the breaker is open.
func (b *Breaker) Open() bool { return b.failures >= failuresToTrip }

// RecordFailure records a request that the server aborted. It reports whether this failure has opened the
// breaker.
func (b *Breaker) RecordFailure(now time.Time) (opened bool) {
	b.failures++
	if b.failures != failuresToTrip {
		return false
	}
	b.lastProbe = now
	return true
}

// RecordAnswer records an answered request.
func (b *Breaker) RecordAnswer() { b.failures = 0 }

// Allows reports whether the server may receive a new flow.
func (b *Breaker) Allows(now time.Time) bool {
	if !b.Open() {
		return true
	}
	if now.Sub(b.lastProbe) < probeInterval {
		return false
	}
	b.lastProbe = now
	return true
}
