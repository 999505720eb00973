// Package once runs a request that carries a request key at most once, whichever
// agents its caller sends it to and however often.
//
// It brings three parts together: the key names its owner (package token), the owner
// remembers what became of the key (package memo), everybody else passes the request
// to the owner (package hand). A request without a key, or of an idempotent class,
// goes by untouched.
//
// Of a request with a key "not run" is said only by the owner's memory, and holds
// for the key: nothing ran under it, and nothing will. An agent that can't reach the
// owner says unknown, since an earlier try may have run.
//
// # Usage
//
//	g := &once.Guard{View: view, Memory: memo.New(memo.DefaultLimits), Client: client}
//	end := g.Run(ctx, request, answer, ownServer)
package once

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/work/hand"
	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/token"
)

// View is what an agent knows now. It is immutable.
type View struct {
	Ring    *token.Ring
	Owner   token.Owner   // this agent
	Servers []docs.Server // of the documents in force and just before
}

// Client hands requests to other agents.
type Client interface {
	HandOver(ctx context.Context, to netip.AddrPort, r *hand.Request, a hand.Answer) result.Result
}

// Guard decides about requests with a key.
type Guard struct {
	View     func() *View
	Outcomes *memo.Store
	Client   Client
	// OtherProcess names the other process at this agent's address, its predecessor or
	// its successor, while it runs; nil if there can be none.
	OtherProcess func() (other Process, runs bool)
}

// Process is a process that shares this agent's address.
type Process struct {
	Incarnation uint64
	Address     netip.AddrPort // its own
}

// Applies reports whether a request's key is looked at.
func Applies(r *hand.Request) bool { return r.Key != "" && !r.Idempotent }

// Run gives a request's outcome. Next runs it here, or places it without its key.
func (g *Guard) Run(ctx context.Context, r *hand.Request, a hand.Answer, next hand.Runner) (end result.Result) {
	if !Applies(r) {
		return next.Run(ctx, r, a)
	}
	v := g.View()
	key, err := v.Ring.Open(r.Key)
	if err != nil {
		g.count(v, verdictOf(err))
		// The key may have been good once: damaged since, or its secret rotated out.
		return result.Result{Outcome: result.Unknown, Reason: result.KeyInvalid}
	}
	now := time.Now()
	ruling := g.rule(v, now, key)
	switch ruling.Action {
	case token.Local:
		return g.own(ctx, r, a, next, memo.Call{
			ID:    key.ID(),
			Head:  memo.HeadDigest(r.Method, r.Path),
			Until: ruling.Until,
		})
	case token.HandOver:
		return g.pass(ctx, v, ruling.Agent, r, a)
	default:
		g.count(v, string(ruling.Result.Reason))
		return ruling.Result
	}
}

// rule decides who decides. An agent's process that is being replaced still owns the
// keys it issued; the two know each other's incarnations, so that a key of a third
// goes to neither.
func (g *Guard) rule(v *View, now time.Time, key token.Key) token.Decision {
	ruling := v.Owner.Decide(now, key, v.Servers)
	if ruling.Action != token.Refuse || key.Server != v.Owner.Server || g.OtherProcess == nil {
		return ruling
	}
	other, runs := g.OtherProcess()
	if !runs || other.Incarnation != key.Incarnation {
		return ruling
	}
	return token.Decision{Action: token.HandOver, Agent: other.Address}
}

// pass gives a request to the owner of its key. The owner may be unreachable for a
// while only, so the caller is told when to come back.
func (g *Guard) pass(ctx context.Context, v *View, owner netip.AddrPort, r *hand.Request, a hand.Answer) result.Result {
	g.count(v, "passed")
	end := g.Client.HandOver(ctx, owner, r, a)
	if end.Outcome == result.Unknown && end.Reason == result.PeerUnreachable {
		end.Reason, end.RetryAfter = result.OwnerUnavailable, token.RetryAfter
	}
	return end
}

// own decides as the key's owner.
func (g *Guard) own(ctx context.Context, r *hand.Request, a hand.Answer, next hand.Runner, call memo.Call) result.Result {
	d := g.Outcomes.Begin(time.Now(), call)
	switch d.Verdict {
	case memo.Run:
		return g.first(ctx, r, a, next, call.ID)
	case memo.Refused:
		g.count(g.View(), string(d.Result.Reason))
		return d.Result
	default:
		return g.again(ctx, r, a, d.Record)
	}
}

// first runs a request and records its outcome, also if next panics.
func (g *Guard) first(ctx context.Context, r *hand.Request, a hand.Answer, next hand.Runner, id string) result.Result {
	g.count(g.View(), "first")
	outcome := memo.Outcome{}
	defer func() { g.Outcomes.Finish(time.Now(), id, outcome) }()
	plain := *r
	plain.Key = "" // whoever it is placed at decides nothing about the key
	body := newHashed(r.Body)
	plain.Body = body
	kept := &keeping{Answer: a, keeper: memo.NewRecorder(g.Outcomes.AnswerLimit())}
	outcome.Result = next.Run(ctx, &plain, kept)
	outcome.Body = body.digest()
	end := outcome.Result
	if end.Outcome == result.Ran {
		outcome.Answer = kept.keeper.Answer()
	}
	// Whoever repeats the key is told the same, but not when to come back with it.
	outcome.Result.RetryAfter = 0
	return end
}

// again answers a repeat with the first outcome, once that is there.
func (g *Guard) again(ctx context.Context, r *hand.Request, a hand.Answer, record *memo.Record) result.Result {
	g.count(g.View(), "repeated")
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case <-record.Done():
	case <-timer.C:
		return result.Result{Outcome: result.Unknown, Reason: result.Expired}
	case <-ctx.Done():
		return result.Result{Outcome: result.Unknown, Reason: result.CallerGone}
	}
	body := newHashed(r.Body)
	if err := body.drain(); err != nil {
		return result.Result{Outcome: result.Unknown, Reason: result.CallerGone}
	}
	outcome, same := record.Outcome().ForRepeat(body.digest())
	if !same {
		g.count(g.View(), string(result.KeyReused))
		return result.Result{Outcome: result.NotRun, Reason: result.KeyReused}
	}
	if outcome.Answer == nil {
		return outcome.Result
	}
	if a.Start(outcome.Answer.Status, outcome.Answer.Header.Clone()) != nil {
		return result.Result{Outcome: result.Unknown, Reason: result.CallerGone}
	}
	if _, err := a.Write(outcome.Answer.Body); err != nil {
		return result.Result{Outcome: result.Unknown, Reason: result.CallerGone}
	}
	return outcome.Result
}

func verdictOf(err error) string {
	switch {
	case errors.Is(err, token.ErrService):
		return "service"
	case errors.Is(err, token.ErrForged):
		return "forged"
	default:
		return "damaged"
	}
}

// count counts what was decided about a key.
func (g *Guard) count(v *View, verdict string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_keys_total{service=%q,verdict=%q}`, v.Owner.Service, verdict)).Inc()
}
