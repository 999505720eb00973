// Package result names what became of a request: it ran, it did not run, or
// nobody can tell.
//
// The three outcomes are types of their own because the difference decides
// whether a request may be tried again. Only a request that is provably not run
// may be tried elsewhere when its class is not idempotent. NotRun is said only by
// whoever knows: the process that held the request before the first byte left for
// a backend server, or the backend server's own word.
//
// # Usage
//
//	switch r.Outcome {
//	case result.Ran: // deliver the answer
//	case result.NotRun: // may be tried elsewhere
//	case result.Unknown: // never tried elsewhere unless idempotent
//	}
package result

import "time"

// Outcome is what is known of a request's execution.
type Outcome uint8

// The outcomes. The zero value is Unknown, so that a forgotten assignment is
// never taken for a proof.
const (
	Unknown Outcome = iota // may or may not have run
	Ran                    // ran, and the whole answer is at hand (but see AnswerGone)
	NotRun                 // provably did not run
)

// String returns the outcome as callers see it in the Outcome header.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reason says why a request was refused or its outcome is unknown. Each reason
// has a counter of its own.
type Reason string

// The reasons. An operator's page lists what to do about each.
const (
	NoReason           Reason = ""
	QueueFull          Reason = "queue"     // the queue of its class is full
	DeadlineUnmeetable Reason = "late"      // cannot make its deadline by the estimate
	Expired            Reason = "expired"   // its deadline passed while it waited
	OverFairShare      Reason = "share"     // its caller is over its fair share of the queue
	ServerShed         Reason = "shed"      // the backend server refused it
	ServerUnreachable  Reason = "down"      // the backend server could not be reached
	ServerDisconnected Reason = "lost"      // the backend server broke off after the request was sent
	ServerLeaving      Reason = "leaving"   // the server takes no new work
	NoClass            Reason = "class"     // the document has no class for the path
	NoDocument         Reason = "unready"   // no document is in force yet
	RetryBudget        Reason = "budget"    // the retry budget is spent
	OwnerUnavailable   Reason = "owner"     // the owner of the request key is gone
	PeerUnreachable    Reason = "peer"      // the link to the other agent broke and it does not answer
	StoreFull          Reason = "memory"    // outcomes may not be forgotten, so no new request is taken
	KeyInvalid         Reason = "key"       // the request key is damaged, forged or of another service
	KeyReused          Reason = "reused"    // the request key came with another request
	KeyExpired         Reason = "old"       // the request key's lifetime is over, or it was refused before
	AnswerNotKept      Reason = "unkept"    // ran, but its answer was too big to keep for a repeat
	CallerGone         Reason = "gone"      // the caller went away
	TooManyHops        Reason = "hops"      // handed on too often
	OtherService       Reason = "service"   // arrived at an agent of another service, or of other keys
	StaleBelief        Reason = "stale"     // woken late: beliefs are refreshed first
	ConnectionLimit    Reason = "connlimit" // the agent holds as many connections as it may
)

// Result is the end of one request.
type Result struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // when to come back, 0 if there is no point in waiting
}
