package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mangowinch/internal/load/queue"
	"mangowinch/internal/node/gate"
	"mangowinch/internal/work/result"
)

// enter admits a request to the agent's server, keeps it waiting for a slot, or refuses
// it as not run. It is the last filter before the server, so that a request that it
// refuses has provably not reached the server.
func (a *Agent) enter(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) result.Result {
		if !a.availability.accepting() {
			return refuse(a.availability.reason(), leavingRetryAfter)
		}
		pass, refused := a.gate.Enter(ctx, gate.Request{
			Class:    x.Class.Name,
			Caller:   x.Caller,
			Deadline: x.Deadline,
		})
		if pass == nil {
			return refused
		}
		began := time.Now()
		release := sync.OnceFunc(func() {
			if x.Answer.Failed() {
				pass.Fail()
			}
			pass.Release()
			if x.OwnFlow {
				a.demand.add(time.Since(began))
			}
		})
		defer release()
		x.FirstByte = release
		end := next(ctx, x)
		if end.Outcome != result.Ran {
			pass.Fail()
		}
		return end
	}
}

// callerOf returns the party that fair sharing counts a request for.
func callerOf(x *Exchange) queue.Caller {
	return queue.Identify(x.Service.Callers, x.Source)
}

// connCounter counts the connections of an agent.
type connCounter struct{ count atomic.Int64 }

// enter counts a new connection and reports whether it is within the limit.
func (o *connCounter) enter(limit int) bool {
	if o.count.Add(1) <= int64(limit) {
		return true
	}
	o.count.Add(-1)
	return false
}

func (o *connCounter) leave() { o.count.Add(-1) }
