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
	OwnFlow    bool         // came by a flow of this agent, not from another agent
	Source     netip.Addr   // where it comes from
	Caller     queue.Caller // who shares the service fairly with others
	Key        string       // request key, if it has one
	Hops       int          // hand-overs so far
	Placed     bool         // another agent chose this one for it
	KeyDecided bool         // its key was looked at: "not run" holds for the key
	Deadline   time.Time
	Request    *http.Request
	Answer     *Answer
	// FirstByte is called when the server's answer begins; a feed then gives its
	// slot back. It is set by the filter enter.
	FirstByte func()
}

// Handler runs an exchange or a part of it. A result other than ran is answered
// by serveHTTP, if nothing of an answer has left yet.
type Handler func(ctx context.Context, x *Exchange) result.Result

// Filter wraps a handler.
type Filter func(next Handler) Handler

// chain puts filters before a handler, the first outermost.
func chain(h Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// refuse is the result of a request that did not run.
func refuse(r result.Reason, after time.Duration) result.Result {
	return result.Result{Outcome: result.NotRun, Reason: r, After: after}
}
