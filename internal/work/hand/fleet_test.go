package hand_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/place"
	"mangowinch/internal/work/hand"
	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/once"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/spread"
	"mangowinch/internal/work/token"
)

const (
	agents   = 3
	deadline = 2 * time.Second
)

// fleet is all agents of one service. They run the real code on top of a fake network of pipes, and
// a log replaces the servers.
type fleet struct {
	seed     uint64
	document *docs.Service
	limits   memo.Limits
	// behave returns how an agent's server treats a claim.
	behave func(agent uint32, path string) behaviour

	mu      sync.Mutex
	nodes   map[uint32]*node
	blocked map[[2]uint32]bool // pairs of agents, by server ID, that can't dial each other
	links   []*fleetLink
	log     []execution
}

// behaviour is how a server treats a claim.
type behaviour struct {
	sheds    bool          // refuses the claim without running it
	delay    time.Duration // before the claim runs
	duration time.Duration // from the start of the run to the answer
	crashes  bool          // after the claim has run, before it is answered
}

type execution struct {
	agent uint32
	path  string
}

type fleetLink struct {
	*hand.FakeLink
	from, to uint32
}

// node is one process of an agent.
type node struct {
	fleet       *fleet
	server      docs.Server
	incarnation uint64
	ctx         context.Context
	kill        context.CancelFunc
	view        *once.View
	guard       *once.Guard
	dispatcher  *spread.Dispatcher
	mux         *drpcmux.Mux
	nonce       uint64
}

func newFleet(t *testing.T) *fleet {
	t.Cleanup(func() { time.Sleep(10 * time.Minute) }) // for goroutines that still wait
	f := &fleet{nodes: map[uint32]*node{}, blocked: map[[2]uint32]bool{}, limits: memo.DefaultLimits, document: &docs.Service{Name: "tracing-core"}}
	f.behave = func(uint32, string) behaviour { return behaviour{duration: 20 * time.Millisecond} }
	for id := uint32(1); id <= agents; id++ {
		f.document.Servers = append(f.document.Servers, docs.Server{ID: id, Slots: 4, Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(id)}), 7000)})
	}
	for id := range f.document.Servers {
		f.start(t, uint32(id+1), 1)
	}
	return f
}

// start starts a process of an agent, which replaces the present one if there is one.
func (f *fleet) start(t *testing.T, id uint32, incarnation uint64) {
	n := &node{fleet: f, server: f.document.Servers[id-1], incarnation: incarnation, mux: drpcmux.New()}
	n.ctx, n.kill = context.WithCancel(t.Context())
	ring, err := token.NewRing(f.document.Name, []byte("0123456789abcdef"))
	assert.NilError(t, err)
	owner := token.Owner{Service: f.document.Name, Server: id, Incarnation: incarnation, Start: time.Now(), Lifetime: token.DefaultLifetime}
	n.view = &once.View{Ring: ring, Owner: owner, Servers: f.document.Servers}
	rings := func() *token.Ring { return ring }
	client := hand.NewClient(f.document.Name, rings, n.dial, nil)
	n.guard = &once.Guard{View: func() *once.View { return n.view }, Outcomes: memo.New(f.limits), Client: client}
	n.dispatcher = spread.New(place.Self{ID: id}, client, func() place.Hint { return place.Hint{} })
	n.dispatcher.SetServers(f.document)
	server := &hand.Server{Service: f.document.Name, Incarnation: incarnation, Start: time.Now(), Ring: rings, Runner: n, Outcomes: memo.New(f.limits)}
	assert.NilError(t, hand.Register(n.mux, server))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[id] = n
}

// stop terminates the process of an agent and breaks its links.
func (f *fleet) stop(id uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[id].kill()
	f.cut(func(l *fleetLink) bool { return l.from == id || l.to == id })
}

// partition separates one agent from the others, or reconnects it.
func (f *fleet) partition(id uint32, apart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other := uint32(1); other <= agents; other++ {
		f.blocked[[2]uint32{id, other}], f.blocked[[2]uint32{other, id}] = apart, apart
	}
	if apart {
		f.cut(func(l *fleetLink) bool { return l.from == id || l.to == id })
	}
}

func (f *fleet) cut(which func(*fleetLink) bool) {
	for _, l := range f.links {
		if which(l) {
			_ = l.Conn.Close()
		}
	}
}

func (n *node) dial(_ context.Context, to netip.AddrPort) (net.Conn, error) {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	id := uint32(to.Addr().As4()[3])
	other := f.nodes[id]
	if n.ctx.Err() != nil || other.ctx.Err() != nil || f.blocked[[2]uint32{n.server.ID, id}] {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	// In a run with a seed, two links in three break after a number of bytes, in one direction or
	// the other.
	up, down := -1, -1
	switch r := f.random("link", n.server.ID, id, len(f.links)); {
	case f.seed != 0 && r%3 == 0:
		up = int(r>>8) % 1500
	case f.seed != 0 && r%3 == 1:
		down = int(r>>8) % 1500
	}
	l := hand.NewLink(near, up)
	go func() { _ = drpcserver.New(other.mux).ServeOne(other.ctx, hand.NewLink(far, down)) }()
	f.links = append(f.links, &fleetLink{l, n.server.ID, id})
	return l, nil
}

// random returns a number that depends only on its arguments and the seed.
func (f *fleet) random(things ...any) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, f.seed, things)
	return h.Sum32()
}

// Run implements hand.Runner with the agent's filters.
func (n *node) Run(ctx context.Context, r *hand.Request, a hand.Answer) result.Result {
	return n.guard.Run(ctx, r, a, runnerFunc(func(ctx context.Context, r *hand.Request, a hand.Answer) result.Result {
		return n.dispatcher.Run(ctx, r, a, runnerFunc(n.runOnServer))
	}))
}

type runnerFunc func(ctx context.Context, r *hand.Request, a hand.Answer) result.Result

func (f runnerFunc) Run(ctx context.Context, r *hand.Request, a hand.Answer) result.Result {
	return f(ctx, r, a)
}

// runOnServer is the last filter together with the backend server.
func (n *node) runOnServer(ctx context.Context, r *hand.Request, a hand.Answer) result.Result {
	b := n.fleet.behave(n.server.ID, r.Path)
	if b.sheds {
		return result.Result{Outcome: result.NotRun, Reason: result.ServerShed}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return result.Result{Outcome: result.NotRun, Reason: result.CallerGone}
	}
	if !sleep(ctx, b.delay) || n.ctx.Err() != nil || r.Expired(time.Now()) {
		return result.Result{Outcome: result.NotRun, Reason: result.CallerGone}
	}
	n.fleet.mu.Lock()
	n.fleet.log = append(n.fleet.log, execution{n.server.ID, r.Path})
	n.fleet.mu.Unlock()
	if !sleep(ctx, b.duration) || n.ctx.Err() != nil {
		return result.Result{Outcome: result.Unknown, Reason: result.CallerGone}
	}
	if b.crashes {
		return result.Result{Outcome: result.Unknown, Reason: result.ServerDisconnected}
	}
	if a.Start(http.StatusOK, http.Header{}) != nil {
		return result.Result{Outcome: result.Unknown, Reason: result.CallerGone}
	}
	if _, err := a.Write(append([]byte("case for "), body...)); err != nil {
		return result.Result{Outcome: result.Unknown, Reason: result.CallerGone}
	}
	return result.Result{Outcome: result.Ran}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// issue returns a new key of an agent.
func (f *fleet) issue(agent uint32) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[agent]
	n.nonce++
	return n.view.Ring.Seal(n.view.Owner.Issue(time.Now(), n.nonce))
}

// call sends a claim to an agent as a caller does, and returns the outcome and the answer. If the
// agent terminates, the caller gets unknown.
func (f *fleet) call(agent uint32, path, key string) (end result.Result, body string) {
	f.mu.Lock()
	n := f.nodes[agent]
	f.mu.Unlock()
	r := &hand.Request{
		Service: f.document.Name, Class: "lookup", Method: http.MethodPost, Path: path, Key: key,
		Body: strings.NewReader(path), Length: int64(len(path)), Deadline: time.Now().Add(deadline),
	}
	a := &answer{}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	end = n.Run(ctx, r, a)
	if n.ctx.Err() != nil {
		return result.Result{Outcome: result.Unknown, Reason: result.CallerGone}, ""
	}
	return end, a.String()
}

// runs returns how often a claim ran, on all servers together.
func (f *fleet) runs(path string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.log {
		if e.path == path {
			n++
		}
	}
	return n
}

type answer struct{ strings.Builder }

func (a *answer) Start(int, http.Header) error { return nil }
