package agent

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/queue"
	"mangowinch/internal/work/result"
)

// Exchange is one request on its way through the filters.
type Exchange struct {
	ID         string // unique in the service
	Service    *docs.Service
	Class      *docs.Class
	OwnFlow    bool         // arrived on a flow of this agent, not from another agent
	Source     netip.Addr   // address of the caller
	Caller     queue.Caller // party that fair sharing counts the request for
	Key        string       // request key, if any
	Hops       int          // number of hand-overs so far
	Placed     bool         // another agent has placed the request here
	KeyDecided bool         // the request has passed the filter once (once.go), so NotRun holds for its key too
	Deadline   time.Time
	Request    *http.Request
	Answer     *Answer
	// FirstByte is called when the server's answer begins, which releases a feed's slot.
	// It is set by the filter enter (enter.go).
	FirstByte func()
}

// Handler runs an exchange or a part of it. serveHTTP answers for any outcome other than
// Ran, unless a part of an answer has already been sent.
type Handler func(ctx context.Context, x *Exchange) result.Result

// Filter wraps a handler.
type Filter func(next Handler) Handler

// chain wraps a handler in filters, the first outermost.
func chain(h Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// refuse returns the result of a request that did not run.
func refuse(r result.Reason, after time.Duration) result.Result {
	return result.Result{Outcome: result.NotRun, Reason: r, RetryAfter: after}
}
