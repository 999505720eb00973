// Package hand gives a request to another agent of the same service and brings its
// answer back, over drpc.
//
// It keeps the promise "at most once" across the hop. Each request carries an ID;
// the receiver remembers what became of it. When a link breaks after the receiver
// may have got the request, the same receiver is asked, and nobody else is tried: an
// ID that had not arrived is barred there, so that "not run" stays true when the old
// link's bytes are read late. A receiver that was restarted can't know: unknown.
//
// Nothing is buffered whole. Bodies go up in parts that the receiver grants (so a
// cancellation is never stuck behind a body that nobody reads yet), answers come
// down as they are written.
//
// Deadlines cross as time left, and with the receiver's own clock as it was when
// the request was sent. So a receiver that was frozen, or whose link held the request
// back, sees on reading it how long that took.
//
// The package does not choose the receiver (package place), does not own request
// keys (package token) and runs nothing itself (Runner).
//
// # Usage
//
//	err := hand.Register(mux, &hand.Server{Service: "tracing-core", Incarnation: n, Start: start, Ring: ring, Runner: chain, Memory: memo.New(memo.DefaultLimits)})
//
//	client := hand.NewClient("tracing-core", ring, hand.DialTCP, spreader.Report)
//	end := client.Hand(ctx, peer, request, answer)
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
	// MaxHops bounds how often a request is handed on: once to the owner of its key,
	// once from there to an idle server, and once more when that one is leaving.
	MaxHops = 3

	// HopMargin is taken off the deadline at each hop, so that the far side's own "not
	// run, expired" is back before the near side has to give up with "unknown".
	HopMargin = 10 * time.Millisecond

	// FeedRetention is how long the outcome of a feed is remembered after its first byte
	// was due, and the deadline of a request that has none.
	FeedRetention = 30 * time.Second

	partSize  = 16 << 10 // bytes of body in one message: one part keeps a 1 Gbit/s link busy for 0.13 ms
	window    = 4        // parts under way before the receiver grants more: 64 KB a request
	idSize    = 16       // bytes of an ID: random, so two never meet
	maxFields = 128      // headers of a request or an answer
)

// Request is a request on its way from one agent to another.
type Request struct {
	ID         string // idSize random bytes; Hand draws one if it is empty
	Service    string
	Class      string
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       io.Reader // nil if there is none
	Length     int64     // bytes of the body, -1 if not known
	Deadline   time.Time // by this process's clock
	Feed       bool      // the deadline is that of the answer's first byte
	Caller     string
	Hops       int // hand-overs so far
	Idempotent bool
	Key        string // text of the request key, if it has one; the receiver is its owner then
	Placed     bool   // another agent chose this one for it; it is not placed again
}

// Expired reports whether the deadline has passed. A runner asks it right before the
// first byte to a backend server leaves: after a pause of the whole process, timers
// fire in no order, so a context may not be cancelled yet.
func (r *Request) Expired(now time.Time) bool { return !now.Before(r.Deadline) }

// Answer takes an answer as it comes. An error from it means that nobody wants the
// rest.
type Answer interface {
	// Start is called once, before Write.
	Start(status int, header http.Header) error
	// Write passes a part on at once: a feed's reader waits for it.
	Write(p []byte) (int, error)
}

// Runner runs requests that other agents hand over. Its context ends when the
// caller goes away or the deadline passes. Of a request with a key it says "not run"
// only if nothing ever ran under that key.
type Runner interface {
	Run(ctx context.Context, r *Request, a Answer) result.Result
}

// count adds to a counter of this package by service, side and reason.
func count(name, service, side string, r result.Result) {
	reason := r.Reason
	if reason == result.NoReason {
		reason = "none"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_hand_%s_total{service=%q,side=%q,outcome=%q,reason=%q}`,
		name, service, side, r.Outcome.String(), string(reason))).Inc()
}

// event counts something that is no end of a request.
func event(name, service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_hand_%s_total{service=%q}`, name, service)).Inc()
}

func unknown(r result.Reason) result.Result {
	return result.Result{Outcome: result.Unknown, Reason: r}
}

func notRun(r result.Reason) result.Result {
	return result.Result{Outcome: result.NotRun, Reason: r}
}

func (r *Request) digest() memo.Digest { return memo.HeadDigest(r.Method, r.Path) }
