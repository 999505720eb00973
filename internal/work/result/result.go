// Package result defines the outcomes of a request: it ran, it did not run, or its execution is
// unknown.
//
// The outcomes are distinct because they decide whether a request may be retried. A request whose
// class is not idempotent may be retried elsewhere only if it provably did not run. NotRun is
// returned only on the authority of a process that can prove it: the process that held the request
// before its first byte was sent to a backend server, or the backend server itself.
//
// # Usage
//
//	switch r.Outcome {
//	case result.Ran: // deliver the answer
//	case result.NotRun: // may be retried elsewhere
//	case result.Unknown: // never retried elsewhere unless idempotent
//	}
package result

import "time"

// Outcome is what is known about the execution of a request.
type Outcome uint8

// The outcomes. The zero value is Unknown, so that a missing assignment is never mistaken for a
// proof.
const (
	Unknown Outcome = iota // may or may not have run
	Ran                    // ran, and the whole answer is available (but see AnswerNotKept)
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

// Reason is why a request was refused or its outcome is unknown. Each reason has its own counter.
type Reason string

// The reasons. The operator documentation states what to do about each.
const (
	NoReason           Reason = ""
	QueueFull          Reason = "queue"     // the queue of its class is full
	DeadlineUnmeetable Reason = "late"      // the estimated completion is after the deadline
	Expired            Reason = "expired"   // the deadline passed while the request waited
	OverFairShare      Reason = "share"     // the caller exceeds its fair share of the queue
	ServerShed         Reason = "shed"      // the backend server refused it
	ServerUnreachable  Reason = "down"      // the backend server could not be reached
	ServerDisconnected Reason = "lost"      // the backend server disconnected after the request was sent
	ServerLeaving      Reason = "leaving"   // the server accepts no new requests
	NoClass            Reason = "class"     // the document has no class for the path
	NoDocument         Reason = "unready"   // no document is in force yet
	RetryBudget        Reason = "budget"    // the retry budget is spent
	OwnerUnavailable   Reason = "owner"     // the owner of the request key is unavailable or has been restarted
	PeerUnreachable    Reason = "peer"      // the other agent is unreachable, or its link broke and it does not answer
	StoreFull          Reason = "memory"    // the store of outcomes is full, and no outcome may be evicted early
	KeyInvalid         Reason = "key"       // the request key is damaged, forged or of another service
	KeyReused          Reason = "reused"    // the request key was used for a different request
	KeyExpired         Reason = "old"       // the lifetime of the request key has passed, or the key was refused before
	AnswerNotKept      Reason = "unkept"    // the request ran, but its answer was too large to keep for a repeat
	CallerGone         Reason = "gone"      // the caller disconnected
	TooManyHops        Reason = "hops"      // the request was handed over too often
	OtherService       Reason = "service"   // arrived at an agent of another service, or with other secrets
	StaleBelief        Reason = "stale"     // the process resumed after a long pause and must refresh its belief first
	ConnectionLimit    Reason = "connlimit" // the agent holds the maximum number of connections
)

// Result is the end of one request.
type Result struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // when the caller may retry; 0 if waiting is of no use
}
