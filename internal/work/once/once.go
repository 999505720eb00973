// Package once runs a request that carries a request key at most once, no matter which agents its
// caller sends it to or how often it sends it.
//
// It combines three packages: the key names its owner (package token), the owner records the
// outcome of the key (package memo), and every other agent hands the request over to the owner
// (package hand). A request without a key, or of an idempotent class, bypasses the package.
//
// For a request with a key, "not run" comes only from the owner's outcome store and applies to the
// key as a whole: no request has run under it, and none will. An agent that can't reach the owner
// returns unknown, because an earlier attempt may have run.
//
// # Usage
//
//	g := &once.Guard{View: view, Outcomes: memo.New(memo.DefaultLimits), Client: client}
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

// View is the agent's current configuration as it affects request keys. It is immutable.
type View struct {
	Ring    *token.Ring
	Owner   token.Owner   // this agent
	Servers []docs.Server // of the current and the previous service document
}

// Client hands requests over to other agents.
type Client interface {
	HandOver(ctx context.Context, to netip.AddrPort, r *hand.Request, a hand.Answer) result.Result
}

// Guard ensures that a request with a key runs at most once.
type Guard struct {
	View     func() *View
	Outcomes *memo.Store
	Client   Client
	// OtherProcess returns the other process at this agent's address, its predecessor or its
	// successor, while that process runs. It is nil if there can be none.
	OtherProcess func() (other Process, running bool)
}

// Process is a process that shares this agent's address.
type Process struct {
	Incarnation uint64
	Address     netip.AddrPort // the process's own address
}

// Applies reports whether the guard evaluates the request's key.
func Applies(r *hand.Request) bool { return r.Key != "" && !r.Idempotent }

// Run returns the result of a request. Next runs the request here, or places it without its key.
func (g *Guard) Run(ctx context.Context, r *hand.Request, a hand.Answer, next hand.Runner) (end result.Result) {
	if !Applies(r) {
		return next.Run(ctx, r, a)
	}
	v := g.View()
	key, err := v.Ring.Open(r.Key)
	if err != nil {
		g.count(v, keyErrorVerdict(err))
		// The key may have been valid earlier: it may have been damaged since, or its secret
		// rotated out.
		return result.Result{Outcome: result.Unknown, Reason: result.KeyInvalid}
	}
	now := time.Now()
	decision := g.decide(v, now, key)
	switch decision.Action {
	case token.Local:
		return g.runAsOwner(ctx, r, a, next, memo.Call{
			ID:    key.ID(),
			Head:  memo.HeadDigest(r.Method, r.Path),
			Until: decision.Until,
		})
	case token.HandOver:
		return g.handOver(ctx, v, decision.Agent, r, a)
	default:
		g.count(v, string(decision.Result.Reason))
		return decision.Result
	}
}

// decide determines which agent decides about the key. While an agent's process is being replaced,
// the old process still owns the keys that it issued. The two processes know each other's
// incarnations, so a key of any third process is handed over to neither.
func (g *Guard) decide(v *View, now time.Time, key token.Key) token.Decision {
	decision := v.Owner.Decide(now, key, v.Servers)
	if decision.Action != token.Refuse || key.Server != v.Owner.Server || g.OtherProcess == nil {
		return decision
	}
	other, running := g.OtherProcess()
	if !running || other.Incarnation != key.Incarnation {
		return decision
	}
	return token.Decision{Action: token.HandOver, Agent: other.Address}
}

// handOver hands a request over to the owner of its key. The owner may be unreachable only
// temporarily, so the caller is given a retry delay.
func (g *Guard) handOver(ctx context.Context, v *View, owner netip.AddrPort, r *hand.Request, a hand.Answer) result.Result {
	g.count(v, "passed")
	end := g.Client.HandOver(ctx, owner, r, a)
	if end.Outcome == result.Unknown && end.Reason == result.PeerUnreachable {
		end.Reason, end.RetryAfter = result.OwnerUnavailable, token.RetryAfter
	}
	return end
}

// runAsOwner handles a request whose key this agent owns.
func (g *Guard) runAsOwner(ctx context.Context, r *hand.Request, a hand.Answer, next hand.Runner, call memo.Call) result.Result {
	d := g.Outcomes.Begin(time.Now(), call)
	switch d.Verdict {
	case memo.Run:
		return g.runFirst(ctx, r, a, next, call.ID)
	case memo.Refused:
		g.count(g.View(), string(d.Result.Reason))
		return d.Result
	default:
		return g.answerRepeat(ctx, r, a, d.Record)
	}
}

// runFirst runs the first request of a key and records its outcome, even if next panics.
func (g *Guard) runFirst(ctx context.Context, r *hand.Request, a hand.Answer, next hand.Runner, id string) result.Result {
	g.count(g.View(), "first")
	outcome := memo.Outcome{}
	defer func() { g.Outcomes.Finish(time.Now(), id, outcome) }()
	keyless := *r
	keyless.Key = "" // the agent where the request is placed must not evaluate the key
	body := newHashingReader(r.Body)
	keyless.Body = body
	recording := &recordingAnswer{Answer: a, recorder: memo.NewRecorder(g.Outcomes.AnswerLimit())}
	outcome.Result = next.Run(ctx, &keyless, recording)
	outcome.Body = body.digest()
	end := outcome.Result
	if end.Outcome == result.Ran {
		outcome.Answer = recording.recorder.Answer()
	}
	// A repeat of the key gets the same result, but no retry delay.
	outcome.Result.RetryAfter = 0
	return end
}

// answerRepeat answers a repeat with the outcome of the first request, and waits for it if necessary.
func (g *Guard) answerRepeat(ctx context.Context, r *hand.Request, a hand.Answer, record *memo.Record) result.Result {
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
	body := newHashingReader(r.Body)
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

func keyErrorVerdict(err error) string {
	switch {
	case errors.Is(err, token.ErrService):
		return "service"
	case errors.Is(err, token.ErrForged):
		return "forged"
	default:
		return "damaged"
	}
}

// count increments the counter of verdicts about keys.
func (g *Guard) count(v *View, verdict string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_keys_total{service=%q,verdict=%q}`, v.Owner.Service, verdict)).Inc()
}
