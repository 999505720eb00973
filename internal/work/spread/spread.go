// Package spread runs a request on the agent's own server or hands it over to another agent, and
// retries elsewhere a request that was refused as not run.
//
// It carries out the decisions of packages place and retry. It also tracks what those packages
// can't know: whether the answer has been started, and whether the request's body can still be read
// from its beginning.
//
// # Usage
//
//	d := spread.New(place.Self{ID: 3, Domain: "zg-a"}, client, ownHint)
//	d.SetServers(service)
//	end := d.Run(ctx, request, answer, ownServer)
package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/place"
	"mangowinch/internal/load/retry"
	"mangowinch/internal/work/hand"
	"mangowinch/internal/work/result"
)

// Client hands requests over to other agents.
type Client interface {
	HandOver(ctx context.Context, to netip.AddrPort, r *hand.Request, a hand.Answer) result.Result
}

// Dispatcher places the requests of one agent.
type Dispatcher struct {
	self    uint32
	client  Client
	ownHint func() place.Hint

	mu       sync.Mutex // guards all below; place and retry are not safe for concurrent use
	placer   *place.Placer
	budget   *retry.Budget
	service  string
	agents   map[uint32]netip.AddrPort
	agentIDs map[netip.AddrPort]uint32
	kinds    map[string]docs.Kind // by class
}

// New returns a Dispatcher without servers. OwnHint returns the state of the agent's own server.
func New(self place.Self, client Client, ownHint func() place.Hint) *Dispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Dispatcher{
		self:    self.ID,
		client:  client,
		ownHint: ownHint,
		placer:  place.New(self, random),
		budget:  retry.New(retry.Default),
	}
}

// SetServers applies a new service document.
func (d *Dispatcher) SetServers(doc *docs.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service = doc.Name
	d.placer.SetServers(time.Now(), place.ServersOf(doc))
	d.agents = make(map[uint32]netip.AddrPort, len(doc.Servers))
	d.agentIDs = make(map[netip.AddrPort]uint32, len(doc.Servers))
	d.kinds = make(map[string]docs.Kind, len(doc.Classes))
	for _, c := range doc.Classes {
		d.kinds[c.Name] = c.Kind
	}
	for _, v := range doc.Servers {
		d.agents[v.ID] = v.Agent
		d.agentIDs[v.Agent] = v.ID
	}
}

// Report records the load hint that another agent has sent for its server.
func (d *Dispatcher) Report(agent netip.AddrPort, h place.Hint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id, ok := d.agentIDs[agent]; ok {
		d.placer.Report(time.Now(), id, h)
	}
}

// attempt is a request that is being placed.
type attempt struct {
	request hand.Request
	body    *hand.Body // nil if there is none
	answer  *trackedAnswer
	tried   []uint32
}

// Run returns the result of a request. OwnServer runs a request on the agent's own server. A
// request that another agent has placed here runs here or not at all, because two agents that each
// consider the other one idle would otherwise hand it back and forth.
func (d *Dispatcher) Run(ctx context.Context, r *hand.Request, a hand.Answer, ownServer hand.Runner) result.Result {
	if r.Placed {
		return ownServer.Run(ctx, r, a)
	}
	t := &attempt{request: *r, answer: &trackedAnswer{Answer: a}}
	if r.Body != nil && r.Body != http.NoBody {
		t.body = hand.NewBody(r.Body)
	}
	d.countFirstAttempt()
	end := result.Result{Outcome: result.NotRun, Reason: result.ServerLeaving, RetryAfter: retryAfter}
	for {
		server, address := d.choose(t.tried)
		if server == 0 {
			return end // no other server left: the last refusal is the result
		}
		end = d.runOn(ctx, t, server, address, ownServer)
		t.tried = append(t.tried, server)
		if !d.shouldRetry(t, end) {
			return end
		}
	}
}

// retryAfter is the retry delay for a caller if no server accepts its request: a planned
// replacement of a server takes seconds.
const retryAfter = time.Second

func (d *Dispatcher) runOn(ctx context.Context, t *attempt, server uint32, address netip.AddrPort, ownServer hand.Runner) (end result.Result) {
	r := t.request
	if t.body != nil {
		reader := t.body.Reader()
		defer func() { _ = reader.Close() }()
		r.Body = reader
	}
	started := time.Now()
	var once sync.Once
	record := func(end result.Result) {
		once.Do(func() { d.recordEnd(server, t, end, time.Since(started)) })
	}
	if r.Feed { // a feed occupies no slot after its first byte, and may stay open for hours
		t.answer.onStart = func() { record(result.Result{Outcome: result.Ran}) }
	}
	defer func() { record(end) }()
	if server == d.self {
		return ownServer.Run(ctx, &r, t.answer)
	}
	r.Placed = true
	return d.client.HandOver(ctx, address, &r, t.answer)
}

func (d *Dispatcher) countFirstAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Fresh()
}

func (d *Dispatcher) choose(tried []uint32) (server uint32, address netip.AddrPort) {
	hint := d.ownHint()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.placer.Choose(time.Now(), hint, tried)
	d.count("placed", string(c.Reason))
	if c.Server != 0 {
		d.placer.Sent(c.Server)
	}
	return c.Server, d.agents[c.Server]
}

func (d *Dispatcher) recordEnd(server uint32, t *attempt, end result.Result, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kinds[t.request.Class] == docs.Upload {
		took = 0 // the duration of an upload depends on its size
	}
	d.placer.Ended(time.Now(), server, placementOutcome(end, t.answer.status.Load()), took)
}

// placementOutcome classifies the result of a request as an observation of the server. A server
// that fails every request within a millisecond returns complete answers and appears idle, so the
// status decides whether it failed.
func placementOutcome(end result.Result, status int32) place.Outcome {
	switch {
	case end.Reason == result.CallerGone:
		return place.Answered // the caller disconnected; the duration is a lower bound
	case end.Outcome == result.NotRun && (end.Reason == result.PeerUnreachable || end.Reason == result.ServerUnreachable):
		return place.Unreachable
	case end.Outcome == result.NotRun:
		return place.Shed
	case end.Outcome != result.Ran || status >= http.StatusInternalServerError:
		return place.Failed
	}
	return place.Answered
}

// shouldRetry reports whether the request is to be tried at another server.
func (d *Dispatcher) shouldRetry(t *attempt, end result.Result) bool {
	if end.Outcome == result.Ran {
		return false
	}
	if t.answer.started.Load() || t.body != nil && !t.body.CanReplay() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.count("retries", "consumed")
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// A leaving server returns all its waiting requests at once. They occupied no slot, so placing
	// them elsewhere repeats no load and doesn't use the retry budget. Each server returns a
	// request at most once.
	if end.Outcome == result.NotRun && end.Reason == result.ServerLeaving {
		d.count("retries", string(retry.ServerLeaving))
		return true
	}
	v := d.budget.Decide(time.Now(), retry.Attempt{
		Result:      end,
		Idempotent:  t.request.Idempotent,
		Tries:       len(t.tried),
		Deadline:    t.request.Deadline,
		ServiceTime: hand.HopMargin,
	})
	d.count("retries", string(v.Reason))
	return v.Retry
}

// count increments a counter by reason. The caller must hold mu.
func (d *Dispatcher) count(what, why string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_%s_total{service=%q,reason=%q}`, what, d.service, why)).Inc()
}

// trackedAnswer tracks whether an answer has been started, and its status.
type trackedAnswer struct {
	hand.Answer
	started atomic.Bool
	status  atomic.Int32
	onStart func() // called when the answer starts, if set
}

// Start implements hand.Answer.
func (b *trackedAnswer) Start(status int, header http.Header) error {
	b.started.Store(true)
	b.status.Store(int32(status))
	if b.onStart != nil {
		b.onStart()
	}
	return b.Answer.Start(status, header)
}
