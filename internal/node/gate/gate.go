// Package gate blocks goroutines with requests until the admission of one backend server lets them run. It
// carries out the decisions of package admit and makes none itself.
//
// # Usage
//
//	g := gate.New(admit.LimitsOf(service, server))
//	pass, refused := g.Enter(ctx, request)
//	if pass == nil {
//		return refused // not run
//	}
//	defer pass.Release() // or pass.Fail()
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mangowinch/internal/load/admit"
	"mangowinch/internal/load/queue"
	"mangowinch/internal/work/result"
)

// Request is a request for a slot.
type Request struct {
	Class    string
	Caller   queue.Caller
	Deadline time.Time
}

// Gate is the admission of one server.
type Gate struct {
	// mu guards the fields below. Package admit is not safe for concurrent use, and a decision and its
	// consequences must be one step: if a slot was released between the two, no waiting request would
	// start.
	mu      sync.Mutex
	admit   *admit.Gate
	waiting map[uint64]chan result.Result // each receives one result: Ran stands for "start"
	last    uint64
	timer   *time.Timer
	expiry  time.Time // when the timer fires; zero if it is not set
}

// New returns a gate with nothing running.
func New(l admit.Limits) *Gate {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Gate{
		admit:   admit.New(l, random),
		waiting: make(map[uint64]chan result.Result),
	}
}

// Pass is the right to use one slot.
type Pass struct {
	gate  *Gate
	id    uint64
	since time.Time
	once  sync.Once
}

// Release releases the slot after work whose duration counts for the estimate of its class. Only the first
// call of Release or Fail has an effect.
func (p *Pass) Release() { p.end(time.Since(p.since)) }

// Fail releases the slot after work that failed or was aborted. Its duration doesn't count: a server that
// fails each request at once would seem fast, and would be given more requests than it can answer once it
// works again.
func (p *Pass) Fail() { p.end(0) }

func (p *Pass) end(took time.Duration) {
	p.once.Do(func() {
		p.gate.mu.Lock()
		defer p.gate.mu.Unlock()
		p.gate.apply(p.gate.admit.Done(time.Now(), p.id, took))
	})
}

// Enter waits for a slot. If there is none, it returns no pass, and the result of a request that did not
// run.
func (g *Gate) Enter(ctx context.Context, r Request) (pass *Pass, refused result.Result) {
	id, turn, refused := g.arrive(r)
	if turn == nil {
		return nil, refused
	}
	select {
	case res := <-turn:
		return g.pass(id, res)
	case <-ctx.Done():
	}
	if res, ended := g.cancel(id, turn); ended {
		// A slot was assigned at the moment when the caller went away; it is released.
		if pass, _ := g.pass(id, res); pass != nil {
			pass.Release()
		}
	}
	return nil, result.Result{Outcome: result.NotRun, Reason: result.CallerGone}
}

func (g *Gate) pass(id uint64, res result.Result) (pass *Pass, refused result.Result) {
	if res.Outcome != result.Ran {
		return nil, res
	}
	return &Pass{gate: g, id: id, since: time.Now()}, result.Result{}
}

// arrive submits a request. It returns the channel that receives the request's result, or nil if the
// request is refused.
func (g *Gate) arrive(r Request) (id uint64, turn chan result.Result, refused result.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	id = g.last
	d := g.admit.Arrive(time.Now(), admit.Request{ID: id, Class: r.Class, Caller: r.Caller, Deadline: r.Deadline})
	turn = make(chan result.Result, 1)
	switch d.Verdict {
	case admit.Run:
		turn <- result.Result{Outcome: result.Ran}
	case admit.Wait:
		g.waiting[id] = turn
	default:
		turn = nil
		refused = result.Result{Outcome: result.NotRun, Reason: d.Reason, RetryAfter: d.RetryAfter}
	}
	g.apply(admit.Change{}) // this request may be the next to expire
	return id, turn, refused
}

// cancel removes a waiting request. If its result was decided before, cancel returns the result and true.
func (g *Gate) cancel(id uint64, turn chan result.Result) (res result.Result, ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case res = <-turn:
		return res, true
	default:
	}
	delete(g.waiting, id)
	g.apply(g.admit.Cancel(time.Now(), id))
	return result.Result{}, false
}

// apply sends results to the requests that a decision affects, and sets the timer for the next request that
// expires. The caller holds g.mu.
func (g *Gate) apply(c admit.Change) {
	for _, id := range c.Started {
		g.deliver(id, result.Result{Outcome: result.Ran})
	}
	for _, r := range c.Refused {
		g.deliver(r.ID, result.Result{Outcome: result.NotRun, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	next := g.admit.NextExpiry()
	if next.Equal(g.expiry) {
		return
	}
	g.expiry = next
	if g.timer != nil {
		g.timer.Stop()
	}
	if !next.IsZero() {
		g.timer = time.AfterFunc(time.Until(next), g.expire)
	}
}

func (g *Gate) deliver(id uint64, res result.Result) {
	if turn := g.waiting[id]; turn != nil {
		turn <- res // never blocks: the channel holds one result, and one is sent
		delete(g.waiting, id)
	}
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expiry = time.Time{}
	g.apply(g.admit.Expire(time.Now()))
}

// SetLimits puts the limits of a new document in force.
func (g *Gate) SetLimits(l admit.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.admit.SetLimits(time.Now(), l))
}

// Drain ends all waiting requests as not run, so that they can be placed elsewhere at once.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var c admit.Change
	for _, id := range g.admit.Drain() {
		c.Refused = append(c.Refused, admit.Refusal{ID: id, Reason: result.ServerLeaving})
	}
	g.apply(c)
}

// RetryAfter returns when a caller should retry a request that was refused by another component than the
// gate. The request counts as refused.
func (g *Gate) RetryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit.RetryAfter(time.Now())
}

// Stats returns a copy of the gate's state.
func (g *Gate) Stats() admit.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit.Stats()
}
