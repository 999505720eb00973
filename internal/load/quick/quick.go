// Package quick is a circuit breaker, beside one backend server, that opens when the server answers much
// faster than usual, which indicates that its answers are errors.
//
// A server that has lost a dependency answers all or some of its requests with an error within a few
// milliseconds, while its health check succeeds. Answers on an opaque flow cannot be read. Such a server
// has no requests in progress and looks idle, so that placement by load sends it more requests than any other,
// and requests that must not run twice fail permanently.
//
// A server that is full also answers within a millisecond, that it has not run the request. Answers to
// requests that came while all slots of the server were in use are therefore not judged. A server that fails
// its requests at once has free slots.
//
// For each kind of request, identified by the address that is called, the breaker learns the time below
// which a tenth of the answers fall. An answer in less than a third of that time is hardly ever a good
// one. After several such answers the server receives no new flows except one per probeInterval, until
// good answers prevail.
//
// The breaker does not detect errors that take as long as regular answers, or a server that has failed
// since its agent started. If all requests of a service become short at once, the breakers of all its
// agents open, so a flow that one agent returns has to be accepted by the next.
//
// A breaker decides about new flows of one server and does not know other servers. The caller passes in
// the time. A Breaker is not safe for concurrent use.
//
// # Usage
//
//	b := quick.New()
//	if b.RecordAnswer(now, called, took, free) { log() }
//	if !b.Allows(now) { placeElsewhere() }
package quick

import (
	"net/netip"
	"time"
)

const (
	// minSamples is the number of answers of a kind that are needed before an answer is judged.
	minSamples = 16
	// learnedQuantile is the share of all answers that take less than the learned time.
	learnedQuantile = 0.1
	// learnRate is the weight of one answer in the learned time.
	learnRate = 0.05
	// tooFastLearnRate is the learning rate for answers that are too fast. The answers of a failing
	// server are not learned within seconds, while a service whose requests become short is learned after
	// some hundreds of answers.
	tooFastLearnRate = learnRate / 10
	// tooFastRatio is the part of the learned time below which an answer is too fast.
	tooFastRatio = 1.0 / 3
	// decay is the factor applied to the weight of previous answers with each new one. decayOpen applies to a
	// good answer while the breaker is open: the server then receives few flows, and each answer says more.
	decay     = 0.9
	decayOpen = 0.8
	// openWeight and closeWeight are the weights of too fast answers at which the breaker opens and
	// closes. Three in a row open it, and so do two of five before long. The weight is capped at
	// openWeight, so that five good answers in a row close the breaker.
	openWeight  = 2.5
	closeWeight = 1.0
	// probeInterval is how often a server with an open breaker receives a flow.
	probeInterval = 400 * time.Millisecond
	// maxKinds bounds the memory used for kinds of requests.
	maxKinds = 256
)

// Breaker is the circuit breaker of one server. Use New to create one; the zero value is not usable.
type Breaker struct {
	kinds     map[netip.AddrPort]*kind
	weight    float64 // of the answers that were too fast, decayed
	open      bool
	lastProbe time.Time
}

// kind is what the breaker has learned about one kind of request.
type kind struct {
	answers  int
	quantile time.Duration // a tenth of the answers take less
}

// New returns a closed breaker without samples.
func New() *Breaker { return &Breaker{kinds: map[netip.AddrPort]*kind{}} }

// RecordAnswer records how long an answer took on a flow to the address called, and whether the server had a
// free slot when the request came. It reports whether the answer has opened or closed the breaker.
func (b *Breaker) RecordAnswer(now time.Time, called netip.AddrPort, took time.Duration, free bool) (changed bool) {
	if !free {
		return false
	}
	k := b.kinds[called]
	if k == nil {
		if len(b.kinds) >= maxKinds {
			return false
		}
		k = &kind{}
		b.kinds[called] = k
	}
	switch {
	case k.tooFast(took):
		b.weight = min(b.weight*decay+1, openWeight)
	case b.open:
		b.weight *= decayOpen
	default:
		b.weight *= decay
	}
	k.learn(took)
	switch {
	case !b.open && b.weight >= openWeight:
		b.open, b.lastProbe = true, now
		return true
	case b.open && b.weight <= closeWeight:
		b.open = false
		return true
	default:
		return false
	}
}

// TooFast reports whether an answer on a flow to the address called is so fast that it is hardly ever a good one.
func (b *Breaker) TooFast(called netip.AddrPort, took time.Duration) bool {
	k := b.kinds[called]
	return k != nil && k.tooFast(took)
}

// Open reports whether the breaker is open.
func (b *Breaker) Open() bool { return b.open }

// Allows reports whether the server may receive a new flow.
func (b *Breaker) Allows(now time.Time) bool {
	if !b.open {
		return true
	}
	if now.Sub(b.lastProbe) < probeInterval {
		return false
	}
	b.lastProbe = now
	return true
}

func (k *kind) tooFast(took time.Duration) bool {
	return k.answers >= minSamples && float64(took) < tooFastRatio*float64(k.quantile)
}

// learn moves the estimate towards the learned quantile.
func (k *kind) learn(took time.Duration) {
	k.answers++
	if k.answers <= minSamples {
		if k.answers == 1 || took < k.quantile {
			k.quantile = took
		}
		return
	}
	rate := learnRate
	if k.tooFast(took) {
		rate = tooFastLearnRate
	}
	change := rate * learnedQuantile
	if took < k.quantile {
		change = -rate * (1 - learnedQuantile)
	}
	k.quantile += time.Duration(change * float64(k.quantile))
}
