// Package hand hands a request over to another agent of the same service and returns its answer,
// over drpc.
//
// It preserves at-most-once execution across the hop. Each request carries an ID, and the receiver
// records its outcome. If the link breaks after the receiver may have got the request, the sender
// queries that receiver and tries no other. The receiver blocks an ID that has not arrived, so that
// "not run" stays true if the bytes of the old link are read later. A receiver that was restarted
// has lost its records, and the outcome is unknown.
//
// No body is buffered completely. The sender sends a body in parts that the receiver has granted,
// so that a cancellation is never stuck behind a body that is not being read. The receiver sends an
// answer as it is written.
//
// A deadline is transferred as the time left, together with an estimate of the receiver's clock at
// the time of sending. A receiver that was paused, or whose link delayed the request, can thus
// determine the delay when it reads the request.
//
// The package does not choose the receiver (package place), does not own request keys (package
// token) and does not execute requests (Runner).
//
// # Usage
//
//	err := hand.Register(mux, &hand.Server{Service: "tracing-core", Incarnation: n, Start: start, Ring: ring, Runner: chain, Outcomes: memo.New(memo.DefaultLimits)})
//
//	client := hand.NewClient("tracing-core", ring, hand.DialTCP, dispatcher.Report)
//	end := client.HandOver(ctx, peer, request, answer)
package hand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/result"
)

const (
	// MaxHops bounds the number of hand-overs of a request: one to the owner of its key, one from
	// there to an idle server, and one more if that server is leaving.
	MaxHops = 3

	// HopMargin is subtracted from the deadline at each hop, so that the receiver's own "not run,
	// expired" arrives before the sender has to return "unknown".
	HopMargin = 10 * time.Millisecond

	// FeedRetention is how long the outcome of a feed is kept after its first byte was due.
	FeedRetention = 30 * time.Second

	partSize  = 16 << 10 // bytes of body per message: one part occupies a 1 Gbit/s link for 0.13 ms
	window    = 4        // parts in transit before the receiver grants more: 64 KB per request
	idSize    = 16       // bytes of an ID, which is random, so that no two requests have the same
	maxFields = 128      // headers of a request or an answer
)

// Request is a request that is handed over from one agent to another.
type Request struct {
	ID         string // idSize random bytes; HandOver generates one if it is empty
	Service    string
	Class      string
	Method     string
	Path       string // including the query
	Header     http.Header
	Body       io.Reader // nil if there is none
	Length     int64     // size of the body in bytes, -1 if not known
	Deadline   time.Time // on this process's clock
	Feed       bool      // Deadline applies to the first byte of the answer only
	Caller     string
	Hops       int // number of hand-overs so far
	Idempotent bool
	Key        string // text of the request key, empty if none; the receiver is then the key's owner
	Placed     bool   // another agent chose this agent for the request; it is not placed again
}

// Expired reports whether the deadline has passed. A Runner calls it immediately before it sends
// the first byte to a backend server: after a pause of the whole process timers fire in no
// particular order, so the context may not have been cancelled yet.
func (r *Request) Expired(now time.Time) bool { return !now.Before(r.Deadline) }

// Answer receives an answer as it is produced. An error means that the rest of the answer is not
// wanted.
type Answer interface {
	// Start is called once, before Write.
	Start(status int, header http.Header) error
	// Write forwards a part immediately, because the caller of a feed waits for it.
	Write(p []byte) (int, error)
}

// Runner runs requests that other agents hand over. Its context ends when the caller disconnects or
// the deadline passes. For a request with a key it returns "not run" only if nothing has ever run
// under that key.
type Runner interface {
	Run(ctx context.Context, r *Request, a Answer) result.Result
}

// count increments a counter of this package by service, side, outcome and reason.
func count(name, service, side string, r result.Result) {
	reason := r.Reason
	if reason == result.NoReason {
		reason = "none"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_hand_%s_total{service=%q,side=%q,outcome=%q,reason=%q}`,
		name, service, side, r.Outcome.String(), string(reason))).Inc()
}

// event increments a counter of events other than the end of a request.
func event(name, service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_hand_%s_total{service=%q}`, name, service)).Inc()
}

func unknown(r result.Reason) result.Result {
	return result.Result{Outcome: result.Unknown, Reason: r}
}

func notRun(r result.Reason) result.Result {
	return result.Result{Outcome: result.NotRun, Reason: r}
}

func (r *Request) headDigest() memo.Digest { return memo.HeadDigest(r.Method, r.Path) }
