package agent

import (
	"context"
	"net/http"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/work/once"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/token"
)

// keyPath is where a caller gets a request key before its first request. Answers to other
// requests carry a key for the next one.
const keyPath = "/.well-known/request-key"

// once handles requests with a key, so that a repeated request is never run a second
// time. It precedes all filters that may refuse a request as not run.
func (a *Agent) once(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) result.Result {
		r := x.asRequest()
		if !once.Applies(r) {
			return next(ctx, x)
		}
		x.KeyDecided = true
		return a.guard.Run(ctx, r, answerAdapter{x.Answer}, x.asRunner(next))
	}
}

// finalResult corrects the result of a request with a key that was refused before the
// filter once: this attempt did not run, but an earlier one with the same key may have.
func finalResult(x *Exchange, end result.Result) result.Result {
	idempotent := x.Class != nil && x.Class.Idempotent
	if x.Key != "" && !x.KeyDecided && !idempotent && end.Outcome == result.NotRun {
		end.Outcome = result.Unknown
	}
	return end
}

// issueKey adds a new key to an answer and reports whether it did. A leaving agent issues
// none, as it could soon no longer report the outcome of the key.
func (a *Agent) issueKey(h http.Header) bool {
	if !a.availability.accepting() {
		return false
	}
	v := a.current.Load().keys
	h.Set(headerKey, v.Ring.Seal(v.Owner.Issue(time.Now(), a.nonce.Add(1))))
	return true
}

// serveKey answers a caller that requests a key before its first request.
func (a *Agent) serveKey(w http.ResponseWriter) {
	answer := &Answer{ResponseWriter: w}
	if !a.issueKey(w.Header()) {
		writeResult(answer, refuse(a.availability.reason(), leavingRetryAfter))
		return
	}
	w.Header().Set(headerOutcome, result.Ran.String())
	answer.WriteHeader(http.StatusNoContent)
}

// keyView returns the view of request keys that follows from a document; old is the
// previous view.
func (a *Agent) keyView(d *docs.Service, own *docs.Server, old *once.View) (v *once.View, err error) {
	current, former := a.settings.Keys[d.Current], [][]byte(nil)
	for _, name := range d.Former {
		if k, ok := a.settings.Keys[name]; ok {
			former = append(former, k[:])
		}
	}
	ring, err := token.NewRing(d.Name, current[:], former...)
	if err != nil {
		return nil, err
	}
	v = &once.View{Ring: ring, Owner: token.Owner{
		Service: d.Name, Server: own.ID, Incarnation: a.incarnation, Start: a.started, Lifetime: token.DefaultLifetime,
	}}
	v.Servers = append(v.Servers, d.Servers...)
	if old != nil {
		// A server that has just been removed from the document may still run and
		// remember outcomes.
		v.Servers = append(v.Servers, old.Servers[:min(len(old.Servers), maxFormerServers)]...)
	}
	return v, nil
}

// maxFormerServers bounds the servers of earlier documents that are kept in the view,
// among which owners of keys are looked up.
const maxFormerServers = 256
