// Package trip is a circuit breaker for one backend server, kept by the agent beside it.
//
// The load pattern, and what goes wrong without it. A server that breaks off each request at once has nothing under
// way and looks idle, so that whoever places by load sends it more: callers whose request was broken off come again, are given to the
// same server, and fail for good after their third try. Of ten of 51 servers that went down and up by turns, 111 requests
// of safe kind failed so in 6.5 s.
//
// The rule: after failuresToTrip requests in a row that the server broke off, it gets no new flow but one each tryEvery, and the
// first answer ends that. A server that breaks off a part of its requests trips now and then, the more often the more
// it breaks off.
//
// It decides about new flows of one server and knows nothing of others; who keeps the last one in use is the
// caller's business. It is pure: time is handed in. It is not safe for concurrent use.
//
// # Usage
//
//	var b trip.Breaker
//	if b.Failed(now) { tellThoseWhoRest() }
//	b.Answered()
//	if !b.Allows(now) { placeElsewhere() }
package trip

import "time"

const (
	// failuresToTrip in a row are no accident: a server that breaks off one in ten requests hardly ever has as many, one
	// that breaks off half of them soon has.
	failuresToTrip = 5
	// tryEvery is how often a tripped server gets a flow, to see whether it is back: a caller that is unlucky comes again
	// and is placed elsewhere.
	tryEvery = 400 * time.Millisecond
)

// Breaker is one server's. Its zero value is closed: nothing has failed.
type Breaker struct {
	failed int
	tried  time.Time
}

// Open says whether the server has tripped the breaker.
func (b *Breaker) Open() bool { return b.failed >= failuresToTrip }

// RecordFailure notes a request that the server broke off. It says whether that one has opened the breaker.
func (b *Breaker) RecordFailure(now time.Time) (opened bool) {
	b.failed++
	if b.failed != failuresToTrip {
		return false
	}
	b.tried = now
	return true
}

// RecordAnswer notes an answer.
func (b *Breaker) RecordAnswer() { b.failed = 0 }

// Allows says whether the server may get a new flow.
func (b *Breaker) Allows(now time.Time) bool {
	if !b.Open() {
		return true
	}
	if now.Sub(b.tried) < tryEvery {
		return false
	}
	b.tried = now
	return true
}
