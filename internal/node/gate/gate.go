// Package gate lets requests of many goroutines through the admission of one
// server: it carries out what package admit decides, and decides nothing itself.
//
// # Usage
//
//	g := gate.New(admit.LimitsOf(service, server))
//	pass, refused := g.Enter(ctx, request)
//	if pass == nil {
//		return refused // not run
//	}
//	defer pass.Leave() // or pass.Fail()
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

// Request is what wants to enter.
type Request struct {
	Class    string
	Caller   queue.Caller
	Deadline time.Time
}

// Gate is the admission of one server.
type Gate struct {
	// mu guards all below. Package admit is not safe for concurrent use, and a
	// decision and its consequences must be one step: a slot given up between the
	// two would start nobody.
	mu      sync.Mutex
	admit   *admit.Gate
	waiting map[uint64]chan result.Result // receives one result: Ran stands for "start"
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

// Pass is the right to one slot.
type Pass struct {
	gate  *Gate
	id    uint64
	since time.Time
	once  sync.Once
}

// Release gives the slot back after work whose time is a measure of the class. Only the
// first call of Leave or Fail counts.
func (p *Pass) Release() { p.end(time.Since(p.since)) }

// Fail gives the slot back after work that failed or was broken off. Its time measures
// nothing: a server that fails each request at once would seem fast, and be given more
// requests than it can answer once it is well.
func (p *Pass) Fail() { p.end(0) }

func (p *Pass) end(took time.Duration) {
	p.once.Do(func() {
		p.gate.mu.Lock()
		defer p.gate.mu.Unlock()
		p.gate.carry(p.gate.admit.Done(time.Now(), p.id, took))
	})
}

// Enter waits for a slot. Without one it returns no pass, and the result of a
// request that did not run.
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
		// A slot was given in the moment the caller went away; it goes back.
		if pass, _ := g.pass(id, res); pass != nil {
			pass.Release()
		}
	}
	return nil, result.Result{Outcome: result.NotRun, Reason: result.Gone}
}

func (g *Gate) pass(id uint64, res result.Result) (pass *Pass, refused result.Result) {
	if res.Outcome != result.Ran {
		return nil, res
	}
	return &Pass{gate: g, id: id, since: time.Now()}, result.Result{}
}

// arrive returns the channel on which the request's turn comes, nil if it is refused.
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
		refused = result.Result{Outcome: result.NotRun, Reason: d.Reason, After: d.RetryAfter}
	}
	g.carry(admit.Change{}) // the next expiry may be this request's
	return id, turn, refused
}

// cancel takes a waiting request out. It reports what was decided if that came first.
func (g *Gate) cancel(id uint64, turn chan result.Result) (res result.Result, ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case res = <-turn:
		return res, true
	default:
	}
	delete(g.waiting, id)
	g.carry(g.admit.Cancel(time.Now(), id))
	return result.Result{}, false
}

// carry tells requests what has become of them, and sets the timer for the next
// one that time ends. The caller holds g.mu.
func (g *Gate) carry(c admit.Change) {
	for _, id := range c.Started {
		g.tell(id, result.Result{Outcome: result.Ran})
	}
	for _, r := range c.Refused {
		g.tell(r.ID, result.Result{Outcome: result.NotRun, Reason: r.Reason, After: r.RetryAfter})
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

func (g *Gate) tell(id uint64, res result.Result) {
	if turn := g.waiting[id]; turn != nil {
		turn <- res // has room for one, and is told once
		delete(g.waiting, id)
	}
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expiry = time.Time{}
	g.carry(g.admit.Expire(time.Now()))
}

// SetLimits puts a new document in force.
func (g *Gate) SetLimits(l admit.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.carry(g.admit.SetLimits(time.Now(), l))
}

// Drain ends all waiting as not run, so that it can be placed elsewhere at once.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var c admit.Change
	for _, id := range g.admit.Drain() {
		c.Refused = append(c.Refused, admit.Refusal{ID: id, Reason: result.LeavingServer})
	}
	g.carry(c)
}

// RetryAfter is when a caller is to come back whose request the gate did not refuse itself;
// it counts as refused.
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
