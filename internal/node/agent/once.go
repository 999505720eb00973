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

// keyPath is where a caller gets a request key before its first request. With any
// answer it gets one for its next.
const keyPath = "/.well-known/request-key"

// once decides about requests with a key, so that a repeat is never run a second time.
// It comes before everything that may refuse a request as not run.
func (a *Agent) once(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) result.Result {
		r := x.asRequest()
		if !once.Applies(r) {
			return next(ctx, x)
		}
		x.KeyDecided = true
		return a.guard.Run(ctx, r, outer{x.Answer}, x.asRunner(next))
	}
}

// settle corrects the end of a request with a key that was refused before the filter
// once: that this try did not run says nothing of an earlier one under the key.
func settle(x *Exchange, end result.Result) result.Result {
	idempotent := x.Class != nil && x.Class.Idempotent
	if x.Key != "" && !x.KeyDecided && !idempotent && end.Outcome == result.NotRun {
		end.Outcome = result.Unknown
	}
	return end
}

// giveKey puts a fresh key into an answer. A leaving agent gives none: it would soon be
// unable to tell what became of the key.
func (a *Agent) giveKey(h http.Header) bool {
	if !a.standing.accepting() {
		return false
	}
	v := a.now.Load().keys
	h.Set(headerKey, v.Ring.Seal(v.Owner.Issue(time.Now(), a.nonce.Add(1))))
	return true
}

// serveKey answers a caller that wants a key before its first request.
func (a *Agent) serveKey(w http.ResponseWriter) {
	answer := &Answer{ResponseWriter: w}
	if !a.giveKey(w.Header()) {
		writeResult(answer, refuse(a.standing.reason(), comeBack))
		return
	}
	w.Header().Set(headerOutcome, result.Ran.String())
	answer.WriteHeader(http.StatusNoContent)
}

// keysOf gives what the document in force says of request keys, old being the view before.
func (a *Agent) keysOf(d *docs.Service, own *docs.Server, old *once.View) (v *once.View, err error) {
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
		// A server that has just left the document may still run and remember.
		v.Servers = append(v.Servers, old.Servers[:min(len(old.Servers), maxFormer)]...)
	}
	return v, nil
}

// maxFormer bounds the servers of earlier documents that owners are looked for among.
const maxFormer = 256
