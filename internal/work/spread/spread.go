// Package spread runs a request on the agent's own server or hands it to another
// agent, and tries again elsewhere what was refused as not run.
//
// It carries out what packages place and retry decide, and adds what only the one
// who carries it out can know: whether an answer has begun, and whether the request's
// body can still be read from its beginning.
//
// # Usage
//
//	s := spread.New(place.Self{ID: 3, Domain: "zg-a"}, client, ownHint)
//	s.SetServers(service)
//	end := s.Run(ctx, request, answer, ownServer)
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

// Client hands requests to other agents.
type Client interface {
	HandOver(ctx context.Context, to netip.AddrPort, r *hand.Request, a hand.Answer) result.Result
}

// Dispatcher places the requests of one agent.
type Dispatcher struct {
	self   uint32
	client Client
	own    func() place.Hint

	mu       sync.Mutex // guards all below; place and retry are not safe for concurrent use
	placer   *place.Placer
	budget   *retry.Budget
	service  string
	agents   map[uint32]netip.AddrPort
	agentIDs map[netip.AddrPort]uint32
	kinds    map[string]docs.Kind // by class
}

// New gives a spreader that knows of no server yet. Own tells the state of the own server.
func New(self place.Self, client Client, own func() place.Hint) *Dispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Dispatcher{
		self:   self.ID,
		client: client,
		own:    own,
		placer: place.New(self, random),
		budget: retry.New(retry.Default),
	}
}

// SetServers puts a new document in force.
func (s *Dispatcher) SetServers(d *docs.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = d.Name
	s.placer.SetServers(time.Now(), place.ServersOf(d))
	s.agents = make(map[uint32]netip.AddrPort, len(d.Servers))
	s.agentIDs = make(map[netip.AddrPort]uint32, len(d.Servers))
	s.kinds = make(map[string]docs.Kind, len(d.Classes))
	for _, c := range d.Classes {
		s.kinds[c.Name] = c.Kind
	}
	for _, v := range d.Servers {
		s.agents[v.ID] = v.Agent
		s.agentIDs[v.Agent] = v.ID
	}
}

// Report takes what another agent says of its server.
func (s *Dispatcher) Report(agent netip.AddrPort, h place.Hint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.agentIDs[agent]; ok {
		s.placer.Report(time.Now(), id, h)
	}
}

// attempt is a request that is being placed.
type attempt struct {
	request hand.Request
	body    *hand.Body // nil if there is none
	answer  *begun
	tried   []uint32
}

// Run gives a request's outcome. Own runs it on the own server. A request that
// another agent has placed here runs here or not at all: two agents that each think
// the other idle would pass it to and fro.
func (s *Dispatcher) Run(ctx context.Context, r *hand.Request, a hand.Answer, own hand.Runner) result.Result {
	if r.Placed {
		return own.Run(ctx, r, a)
	}
	t := &attempt{request: *r, answer: &begun{Answer: a}}
	if r.Body != nil && r.Body != http.NoBody {
		t.body = hand.NewBody(r.Body)
	}
	s.fresh()
	end := result.Result{Outcome: result.NotRun, Reason: result.ServerLeaving, RetryAfter: comeBack}
	for {
		server, address := s.choose(t.tried)
		if server == 0 {
			return end // nobody else to try: the last refusal stands
		}
		end = s.try(ctx, t, server, address, own)
		t.tried = append(t.tried, server)
		if !s.again(t, end) {
			return end
		}
	}
}

// comeBack is when a caller is to try again that met no server which takes work: a
// planned replacement of a server takes seconds.
const comeBack = time.Second

func (s *Dispatcher) try(ctx context.Context, t *attempt, server uint32, address netip.AddrPort, own hand.Runner) (end result.Result) {
	r := t.request
	if t.body != nil {
		reader := t.body.Reader()
		defer func() { _ = reader.Close() }()
		r.Body = reader
	}
	started := time.Now()
	var once sync.Once
	note := func(end result.Result) {
		once.Do(func() { s.ended(server, t, end, time.Since(started)) })
	}
	if r.Feed { // holds no slot after its first byte, and may be open for hours
		t.answer.first = func() { note(result.Result{Outcome: result.Ran}) }
	}
	defer func() { note(end) }()
	if server == s.self {
		return own.Run(ctx, &r, t.answer)
	}
	r.Placed = true
	return s.client.HandOver(ctx, address, &r, t.answer)
}

func (s *Dispatcher) fresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Fresh()
}

func (s *Dispatcher) choose(tried []uint32) (server uint32, address netip.AddrPort) {
	hint := s.own()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.placer.Choose(time.Now(), hint, tried)
	s.count("placed", string(c.Reason))
	if c.Server != 0 {
		s.placer.Sent(c.Server)
	}
	return c.Server, s.agents[c.Server]
}

func (s *Dispatcher) ended(server uint32, t *attempt, end result.Result, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[t.request.Class] == docs.Upload {
		took = 0 // long by nature
	}
	s.placer.Ended(time.Now(), server, howEnded(end, t.answer.status.Load()), took)
}

// howEnded says what an end tells of the server. A server that fails each request within a
// millisecond gives whole answers and looks idle; its status says that they are failures.
func howEnded(end result.Result, status int32) place.Outcome {
	switch {
	case end.Reason == result.CallerGone:
		return place.Answered // the caller's doing; the time it took is a lower bound
	case end.Outcome == result.NotRun && (end.Reason == result.PeerUnreachable || end.Reason == result.ServerUnreachable):
		return place.Unreachable
	case end.Outcome == result.NotRun:
		return place.Shed
	case end.Outcome != result.Ran || status >= http.StatusInternalServerError:
		return place.Failed
	}
	return place.Answered
}

// again decides whether one more try is made.
func (s *Dispatcher) again(t *attempt, end result.Result) bool {
	if end.Outcome == result.Ran {
		return false
	}
	if t.answer.started.Load() || t.body != nil && !t.body.CanReplay() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.count("retries", "consumed")
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A server that leaves gives back all that waits for it at once. It took no slot, so
	// placing it is no repeated load and not what the budget is for. Each server gives
	// it back once.
	if end.Outcome == result.NotRun && end.Reason == result.ServerLeaving {
		s.count("retries", string(retry.ServerLeaving))
		return true
	}
	v := s.budget.Decide(time.Now(), retry.Attempt{
		Result:      end,
		Idempotent:  t.request.Idempotent,
		Tries:       len(t.tried),
		Deadline:    t.request.Deadline,
		ServiceTime: hand.HopMargin,
	})
	s.count("retries", string(v.Reason))
	return v.Retry
}

// count needs mu.
func (s *Dispatcher) count(what, why string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`mangowinch_%s_total{service=%q,reason=%q}`, what, s.service, why)).Inc()
}

// begun notes whether any of an answer has been passed on.
type begun struct {
	hand.Answer
	started atomic.Bool
	status  atomic.Int32
	first   func() // called when an answer starts, if set
}

// Start implements hand.Answer.
func (b *begun) Start(status int, header http.Header) error {
	b.started.Store(true)
	b.status.Store(int32(status))
	if b.first != nil {
		b.first()
	}
	return b.Answer.Start(status, header)
}
