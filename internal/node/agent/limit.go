package agent

import (
	"context"
	"strconv"
	"time"

	"mangowinch/internal/work/result"
)

// headerDeadline carries the time that a request has left, in milliseconds. It is a
// duration rather than a point in time, since the clocks of two instances may differ by
// seconds.
const headerDeadline = "Deadline-Ms"

// limitTime sets the request's deadline: that of its class, or a shorter one that the
// caller asks for. The context ends only with the caller, because a feed's deadline is
// for its first byte; code that waits compares the clock with Exchange.Deadline.
func (a *Agent) limitTime(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) result.Result {
		if !x.Deadline.IsZero() { // handed over, with the remaining time of the first agent's deadline
			return next(ctx, x)
		}
		remaining := x.Class.Deadline
		if ms, err := strconv.ParseInt(x.Request.Header.Get(headerDeadline), 10, 64); err == nil && ms >= 0 {
			remaining = min(remaining, time.Duration(ms)*time.Millisecond)
		}
		x.Deadline = time.Now().Add(remaining)
		if remaining <= 0 {
			return refuse(result.Expired, 0)
		}
		return next(ctx, x)
	}
}
