package agent

import (
	"context"

	"mangowinch/internal/work/result"
)

// classify finds the request's class in the service's document. A path of no class
// is refused: what a team has not declared, it has not said how to treat.
func (a *Agent) classify(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) result.Result {
		c, ok := x.Service.ClassFor(x.Request.URL.Path)
		if !ok {
			return refuse(result.NoClass, 0)
		}
		x.Class = c
		return next(ctx, x)
	}
}
