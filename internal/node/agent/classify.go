package agent

import (
	"context"

	"mangowinch/internal/work/result"
)

// classify sets the request's class from the service's document. A path without a class
// is refused, as the document does not say how to treat it.
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
