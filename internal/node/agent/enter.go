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

// enter lets a request in to the own server, keeps it waiting for a slot, or
// refuses it as not run. It comes right before the server, so that whatever is
// refused here has provably not reached it.
func (a *Agent) enter(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) result.Result {
		if !a.standing.accepting() {
			return refuse(a.standing.reason(), comeBack)
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
		leave := sync.OnceFunc(func() {
			if x.Answer.Failed() {
				pass.Fail()
			}
			pass.Release()
			if x.OwnFlow {
				a.demand.add(time.Since(began))
			}
		})
		defer leave()
		x.FirstByte = leave
		end := next(ctx, x)
		if end.Outcome != result.Ran {
			pass.Fail()
		}
		return end
	}
}

// callerOf names the party that a request counts for.
func callerOf(x *Exchange) queue.Caller {
	return queue.Identify(x.Service.Callers, x.Source)
}

// opened counts the connections of an agent.
type opened struct{ count atomic.Int64 }

// enter takes one in, up to a limit.
func (o *opened) enter(limit int) bool {
	if o.count.Add(1) <= int64(limit) {
		return true
	}
	o.count.Add(-1)
	return false
}

func (o *opened) leave() { o.count.Add(-1) }
