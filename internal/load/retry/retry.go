// Package retry decides whether a request that was refused, or whose outcome is
// unknown, is tried once more.
//
// The load pattern: after an outage, or when a server sheds, every layer that tries
// again multiplies the load just when there is least to spare. Three layers with
// three tries each make 27 requests of one, and the service stays down although its
// cause is long gone. And a claim that is tried again without proof that it did not
// run opens two cases for one widow.
//
// The rules:
//
//   - One layer only: the agent that holds the caller's connection. A request that was
//     handed over by a peer, or that the caller marks as its own repeat, is not tried again.
//   - By outcome and class: "not run" may be tried elsewhere; "unknown" only if the
//     class is idempotent; "ran" never.
//   - A budget: retries are a share of fresh work, with a small reserve so that a
//     quiet service may retry at all.
//   - Only while the deadline leaves room for a whole service time, and only twice.
//
// Why the thresholds are what they are: with 3 of 7 servers unreachable, in time are 95.5%
// without retries, 95.6% with a tenth and 95.8% without a bound, which hands over 7 points more
// for it (seeds 1 and 2, docs/design/load/thresholds.md): retries buy little once placement
// knows better, so the smallest share that serves a stray refusal is enough.
//
// The package does not say where the next try goes (package place) nor wait: there
// is no backoff inside the system, since what is given up on is answered at once.
//
// # Usage
//
//	budget := retry.New(retry.Default)
//	budget.Fresh() // for each request that a caller sent
//	switch v := budget.Decide(now, attempt); v.Retry {
//	case true: // count v.Why as taken, place again without the servers already tried
//	case false: // count v.Why as refused, answer the caller
//	}
package retry

import (
	"time"

	"mangowinch/internal/work/result"
)

// Rules are the thresholds of retries.
type Rules struct {
	Share    float64 // retries for each fresh request
	Reserve  float64 // retries that may be saved up
	MaxTries int     // in all, the first one included
}

// Default are the thresholds in use; docs/design/load.md has the runs behind them.
var Default = Rules{Share: 0.1, Reserve: 10, MaxTries: 3}

// Reason says why a retry was taken or not. Each has a counter.
type Reason string

// Why a retry was taken.
const (
	Shed          Reason = "shed"    // a server or a peer's queue refused it as not run
	Unsent        Reason = "unsent"  // the server could not be reached
	Idempotent    Reason = "repeat"  // outcome unknown, the class is idempotent
	ServerLeaving Reason = "leaving" // the server takes no new work
)

// Why a retry was not taken.
const (
	Ran         Reason = "ran"     // it ran, whatever the answer
	Unsafe      Reason = "unsafe"  // outcome unknown, and it must not run twice
	OtherLayer  Reason = "layer"   // another process or the caller decides on its retries
	NoBudget    Reason = "budget"  // retries are used up
	TooLate     Reason = "late"    // the deadline leaves no room
	MaxTries    Reason = "tries"   // tried often enough
	FinalReason Reason = "verdict" // no other server would decide otherwise
)

// Attempt is a try that ended without an answer for the caller.
type Attempt struct {
	Result      result.Result
	Idempotent  bool          // the class's
	Tries       int           // so far, 1 after the first
	OtherLayer  bool          // another agent handed it over, or the caller repeats it by itself
	Deadline    time.Time     // of the request
	ServiceTime time.Duration // expected time of one more try, the way there and back included
}

// Verdict answers an attempt.
type Verdict struct {
	Retry  bool
	Reason Reason
}

// Budget holds the retries that may be taken. It is not safe for concurrent use.
type Budget struct {
	rules Rules
	saved float64
}

// New returns a budget with its reserve full.
func New(r Rules) *Budget {
	return &Budget{rules: r, saved: r.Reserve}
}

// Fresh accounts for a request that is no retry.
func (b *Budget) Fresh() {
	b.saved = min(b.rules.Reserve, b.saved+b.rules.Share)
}

// Available returns how many retries may be taken now.
func (b *Budget) Available() float64 { return b.saved }

// Decide says whether to try once more, and takes it from the budget if so.
func (b *Budget) Decide(now time.Time, a Attempt) Verdict {
	if why := b.against(now, a); why != "" {
		return Verdict{Reason: why}
	}
	if b.saved < 1 {
		return Verdict{Reason: NoBudget}
	}
	b.saved--
	return Verdict{Retry: true, Reason: taken(a.Result)}
}

// against returns what speaks against one more try, budget apart.
func (b *Budget) against(now time.Time, a Attempt) Reason {
	switch {
	case a.Result.Outcome == result.Ran:
		return Ran
	case a.Result.Outcome == result.Unknown && !a.Idempotent:
		return Unsafe
	case a.OtherLayer:
		return OtherLayer
	case final(a.Result.Reason):
		return FinalReason
	case a.Tries >= b.rules.MaxTries:
		return MaxTries
	case now.Add(a.ServiceTime).After(a.Deadline):
		return TooLate
	}
	return ""
}

// final reports whether the reason holds at every server of the service.
func final(r result.Reason) bool {
	switch r {
	case result.NoClass, result.Expired, result.Gone, result.KeyBad, result.KeyReused, result.OwnerGone, result.Budget:
		return true
	}
	return false
}

func taken(r result.Result) Reason {
	switch {
	case r.Outcome == result.Unknown:
		return Idempotent
	case r.Reason == result.ServerDown:
		return Unsent
	case r.Reason == result.LeavingServer:
		return ServerLeaving
	}
	return Shed
}
