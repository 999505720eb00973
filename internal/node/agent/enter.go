package agent

import (
	"context"
	"sync/atomic"

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
		defer pass.Leave()
		x.FirstByte = pass.Leave
		return next(ctx, x)
	}
}

// loadScale is the load that frames carry for a server whose slots are all in use
// and whose queue is empty.
const loadScale = 1000

// measureLoad notes the share of the server's slots that work and waiting take, for
// the frames of the next tenth of a second.
func (a *Agent) measureLoad() {
	s := a.gate.Stats()
	n := (s.Running + s.Waiting) * loadScale / max(s.Slots, 1)
	a.load.Store(uint32(min(n, 1<<16-1)))
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
