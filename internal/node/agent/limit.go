package agent

import (
	"context"
	"strconv"
	"time"

	"mangowinch/internal/work/result"
)

// headerDeadline gives the time a request has left, in milliseconds. A duration
// rather than a point in time, since clocks of two instances may differ by seconds.
const headerDeadline = "Deadline-Ms"

// limitTime sets the request's deadline: the class's, or a shorter one of the caller's.
// The context itself ends only with the caller, because a feed's deadline is for
// its first byte; whoever waits for something compares with Exchange.Deadline.
func (a *Agent) limitTime(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) result.Result {
		if !x.Deadline.IsZero() { // handed over, with what the first agent left
			return next(ctx, x)
		}
		left := x.Class.Deadline
		if ms, err := strconv.ParseInt(x.Request.Header.Get(headerDeadline), 10, 64); err == nil && ms >= 0 {
			left = min(left, time.Duration(ms)*time.Millisecond)
		}
		x.Deadline = time.Now().Add(left)
		if left <= 0 {
			return refuse(result.Expired, 0)
		}
		return next(ctx, x)
	}
}
