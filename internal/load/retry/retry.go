// Package retry decides whether a request that was refused, or whose outcome is unknown, is retried.
//
// After an outage, or while a server sheds load, every layer that retries multiplies the load when
// capacity is scarcest. Three layers with three attempts each turn one request into 27, and the service
// stays down long after the cause is gone. In addition, a request that must not run twice, such as one that
// files a claim, may do so if it is retried without proof that it did not run.
//
// The rules:
//
//   - Only one layer retries: the agent that holds the caller's connection. A request that was handed
//     over by a peer, or that the caller marks as its own repeat, is not retried.
//   - The outcome and the class decide: "not run" may be retried elsewhere, "unknown" only if the class
//     is idempotent, and "ran" never.
//   - Retries are limited to a share of the fresh requests, with a small reserve so that a service with
//     little traffic may retry at all.
//   - A request is retried only while its deadline leaves room for a full service time, and at most twice.
//
// A small share is sufficient because placement already avoids failed servers. With 3 of 7 servers
// unreachable, 95.5% of the requests are answered in time without retries, 95.6% with a share of a tenth,
// and 95.8% without a limit, which hands over 7 percentage points more of the requests
// (docs/design/load/thresholds.md). The smallest share that covers occasional refusals is therefore used.
//
// Package retry neither selects the server of the next attempt (see package place) nor waits: there is no
// backoff inside the system, since a request that is not retried is answered at once.
//
// # Usage
//
//	budget := retry.New(retry.Default)
//	budget.Fresh() // for each request that a caller sent
//	switch v := budget.Decide(now, attempt); v.Retry {
//	case true: // count v.Reason as taken, place the request without the servers already tried
//	case false: // count v.Reason as refused, answer the caller
//	}
package retry

import (
	"time"

	"mangowinch/internal/work/result"
)

// Rules holds the thresholds of retries.
type Rules struct {
	Share    float64 // retries per fresh request
	Reserve  float64 // maximum number of accumulated retries
	MaxTries int     // attempts in all, including the first
}

// Default holds the default thresholds; docs/design/load.md gives the reasons for them.
var Default = Rules{Share: 0.1, Reserve: 10, MaxTries: 3}

// Reason is the reason for which a retry was taken or not. Each has a counter.
type Reason string

// Reasons for which a retry is taken.
const (
	Shed          Reason = "shed"    // refused as not run by a server or a peer's queue
	Unsent        Reason = "unsent"  // the server could not be reached
	Idempotent    Reason = "repeat"  // outcome unknown, and the class is idempotent
	ServerLeaving Reason = "leaving" // the server accepts no new requests
)

// Reasons for which a retry is not taken.
const (
	Ran         Reason = "ran"     // the request ran, whatever its answer
	Unsafe      Reason = "unsafe"  // outcome unknown, and the request must not run twice
	OtherLayer  Reason = "layer"   // another process or the caller decides about retries
	NoBudget    Reason = "budget"  // the retry budget is used up
	TooLate     Reason = "late"    // the deadline leaves no room for another attempt
	MaxTries    Reason = "tries"   // the maximum number of attempts is reached
	FinalReason Reason = "verdict" // every other server would decide the same
)

// Attempt is an attempt that ended without an answer for the caller.
type Attempt struct {
	Result      result.Result
	Idempotent  bool          // whether the class is idempotent
	Tries       int           // attempts so far, 1 after the first
	OtherLayer  bool          // another agent handed over the request, or the caller marked it as its own repeat
	Deadline    time.Time     // deadline of the request
	ServiceTime time.Duration // expected time of one more attempt, including the round trip
}

// Verdict is the decision about an attempt.
type Verdict struct {
	Retry  bool
	Reason Reason
}

// Budget holds the number of retries that may be taken. It is not safe for concurrent use.
type Budget struct {
	rules     Rules
	available float64
}

// New returns a budget with a full reserve.
func New(r Rules) *Budget {
	return &Budget{rules: r, available: r.Reserve}
}

// Fresh accounts for a request that is not a retry.
func (b *Budget) Fresh() {
	b.available = min(b.rules.Reserve, b.available+b.rules.Share)
}

// Available returns the number of retries that may be taken now.
func (b *Budget) Available() float64 { return b.available }

// Decide decides whether the request is retried, and takes a retry from the budget if so.
func (b *Budget) Decide(now time.Time, a Attempt) Verdict {
	if denied := b.denial(now, a); denied != "" {
		return Verdict{Reason: denied}
	}
	if b.available < 1 {
		return Verdict{Reason: NoBudget}
	}
	b.available--
	return Verdict{Retry: true, Reason: retryReason(a.Result)}
}

// denial returns the reason, other than the budget, for which the request is not retried, or "" if there
// is none.
func (b *Budget) denial(now time.Time, a Attempt) Reason {
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

// final reports whether the reason applies at every server of the service.
func final(r result.Reason) bool {
	switch r {
	case result.NoClass, result.Expired, result.CallerGone, result.KeyInvalid, result.KeyReused, result.OwnerUnavailable, result.RetryBudget:
		return true
	}
	return false
}

func retryReason(r result.Result) Reason {
	switch {
	case r.Outcome == result.Unknown:
		return Idempotent
	case r.Reason == result.ServerUnreachable:
		return Unsent
	case r.Reason == result.ServerLeaving:
		return ServerLeaving
	}
	return Shed
}
