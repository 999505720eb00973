// Package quick finds out, beside one backend server, that it answers far too fast: it fails its requests.
//
// The load pattern, and what goes wrong without it. A server that has lost what it needs answers each request by an error within a
// few milliseconds, or a part of them, while its health check is good. Nobody can read an answer on an opaque flow. Such a server has
// nothing under way and looks idle, so that whoever places by load sends it more than any other, and a request that must not run twice
// fails for good.
//
// The rule: for each kind of request, by the address that is called, the time that only a tenth of the answers stay under is learned. An
// answer in less than a third of that hardly ever is a good one. When some of the last answers were so, the server gets no new flow but
// one each tryEvery, until good answers outweigh.
//
// What it can't tell: requests that take as long as an error does, and a server that has failed ever since its agent knows it. A service
// whose requests all turn short at once looks the same at each of its agents, so whoever is turned away by one has to be taken by the next.
//
// It decides about new flows of one server and knows nothing of others. It is pure: time is handed in. It is not safe for concurrent use.
//
// # Usage
//
//	w := quick.New()
//	if w.Answered(now, called, took) { log() }
//	if !w.Allows(now) { placeElsewhere() }
package quick

import (
	"net/netip"
	"time"
)

const (
	// learnFrom is how many answers of a kind are needed before one is judged.
	learnFrom = 16
	// fastest is the part of all answers that take less than the time that is learned.
	fastest = 0.1
	// step is how much of what is learned one answer changes.
	step = 0.05
	// suspectStep is that for answers that are far too fast: what a failing server does isn't learned within seconds, and a
	// service whose requests turn short is after some hundreds of answers.
	suspectStep = step / 10
	// part of what is learned under which an answer is far too fast.
	part = 1.0 / 3
	// keep is the weight of the answers before the last one, and keepOpen that of those before a good one of a server that fails: it
	// gets few flows, and each one tells more.
	keep     = 0.9
	keepOpen = 0.8
	// tripAt and closeAt are the weights of far too fast answers that open and close the breaker: three in a row open it, and so do two of
	// five before long. They weigh no more than that, so that five good answers in a row close it.
	tripAt  = 2.5
	closeAt = 1.0
	// tryEvery is how often a server that fails gets a flow.
	tryEvery = 400 * time.Millisecond
	// mostKinds bounds the memory.
	mostKinds = 256
)

// Breaker is one server's. The zero value is of no use.
type Breaker struct {
	kinds  map[netip.AddrPort]*kind
	weight float64 // of answers that were far too fast
	open   bool
	tried  time.Time
}

// kind is what is learned of one kind of request.
type kind struct {
	answers int
	low     time.Duration // a tenth of the answers take less
}

// New returns a watch that has seen no answer.
func New() *Breaker { return &Breaker{kinds: map[netip.AddrPort]*kind{}} }

// RecordAnswer notes how long an answer took on a flow to an address. It says whether that has opened or closed the breaker.
func (w *Breaker) RecordAnswer(now time.Time, called netip.AddrPort, took time.Duration) (turned bool) {
	k := w.kinds[called]
	if k == nil {
		if len(w.kinds) >= mostKinds {
			return false
		}
		k = &kind{}
		w.kinds[called] = k
	}
	switch {
	case k.tooFast(took):
		w.weight = min(w.weight*keep+1, tripAt)
	case w.open:
		w.weight *= keepOpen
	default:
		w.weight *= keep
	}
	k.learn(took)
	switch {
	case !w.open && w.weight >= tripAt:
		w.open, w.tried = true, now
		return true
	case w.open && w.weight <= closeAt:
		w.open = false
		return true
	default:
		return false
	}
}

// Open says whether the server fails.
func (w *Breaker) Open() bool { return w.open }

// Allows says whether the server may get a new flow.
func (w *Breaker) Allows(now time.Time) bool {
	if !w.open {
		return true
	}
	if now.Sub(w.tried) < tryEvery {
		return false
	}
	w.tried = now
	return true
}

func (k *kind) tooFast(took time.Duration) bool {
	return k.answers >= learnFrom && float64(took) < part*float64(k.low)
}

// learn moves what is known towards the quantile.
func (k *kind) learn(took time.Duration) {
	k.answers++
	if k.answers <= learnFrom {
		if k.answers == 1 || took < k.low {
			k.low = took
		}
		return
	}
	by := step
	if k.tooFast(took) {
		by = suspectStep
	}
	change := by * fastest
	if took < k.low {
		change = -by * (1 - fastest)
	}
	k.low += time.Duration(change * float64(k.low))
}
