package hand

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/token"
)

var address = netip.MustParseAddrPort("127.0.2.1:7000")

// runner is a stand-in for the far agent's chain and server. It logs executions.
type runner struct {
	mu     sync.Mutex
	ran    map[string]int // by path
	handle func(ctx context.Context, r *Request, a Answer) result.Result
}

func (f *runner) Run(ctx context.Context, r *Request, a Answer) result.Result {
	return f.handle(ctx, r, a)
}

func (f *runner) log(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran[path]++
}

func (f *runner) runs(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[path]
}

// echo reads the whole body, runs, and answers with the path and the body.
func (f *runner) echo(ctx context.Context, r *Request, a Answer) result.Result {
	body, err := io.ReadAll(r.Body)
	if err != nil || ctx.Err() != nil || r.Expired(time.Now()) {
		return notRun(result.CallerGone)
	}
	f.log(r.Path)
	if a.Start(http.StatusOK, http.Header{"From": {"far"}}) != nil {
		return unknown(result.CallerGone)
	}
	if _, err := a.Write(append([]byte(r.Path+" "), body...)); err != nil {
		return unknown(result.CallerGone)
	}
	return result.Result{Outcome: result.Ran}
}

// far is an agent that requests are handed to.
type far struct {
	*runner
	server *Server
	mux    *drpcmux.Mux
}

func newFar(t assert.TestingT, service string, incarnation uint64) *far {
	f := &far{runner: &runner{ran: map[string]int{}}, mux: drpcmux.New()}
	f.handle = f.echo
	f.server = &Server{Service: service, Incarnation: incarnation, Start: time.Now(), Ring: ringOf(t, "0123456789abcdef"), Runner: f, Outcomes: memo.New(memo.DefaultLimits)}
	assert.NilError(t, Register(f.mux, f.server))
	return f
}

func ringOf(t assert.TestingT, material string) func() *token.Ring {
	ring, err := token.NewRing("tracing-core", []byte(material))
	assert.NilError(t, err)
	return func() *token.Ring { return ring }
}

// network connects a client with whichever far agent answers at the address, over
// links that can be cut after a number of bytes, and held back.
type network struct {
	ctx   context.Context
	mu    sync.Mutex
	far   *far   // nil: connection refused
	turns []*far // answer the links to come, the first dialled first; then far
	cuts  []cut  // for the links to come, the first dialled first; the others last
	links []*FakeLink
}

// cut breaks a link once more than up bytes have gone to the far agent, or down bytes back;
// negative: never.
type cut struct{ up, down int }

var never = cut{-1, -1}

func (n *network) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.far == nil {
		return nil, errors.New("connection refused")
	}
	c := never
	if len(n.links) < len(n.cuts) {
		c = n.cuts[len(n.links)]
	}
	answers := n.far
	if len(n.turns) > 0 {
		answers, n.turns = n.turns[0], n.turns[1:]
	}
	near, far := net.Pipe()
	up, down := NewLink(near, c.up), NewLink(far, c.down)
	server := drpcserver.New(answers.mux)
	go func() { _ = server.ServeOne(n.ctx, down) }()
	n.links = append(n.links, up)
	return up, nil
}

// hold keeps what goes to the far agent on the present links in its socket's buffer.
func (n *network) hold() (release func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []func()
	for _, l := range n.links {
		all = append(all, l.Hold())
	}
	return func() {
		for _, release := range all {
			release()
		}
	}
}

func (n *network) cutAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		_ = l.Conn.Close()
	}
}

func (n *network) replace(f *far) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.far = f
}

// FakeLink is one end of a link with a socket buffer: what was written before a close still
// arrives.
type FakeLink struct {
	net.Conn
	left  int // bytes until it breaks; negative: never
	queue chan []byte
	once  sync.Once
	done  chan struct{}
	held  atomic.Pointer[chan struct{}]
}

// NewLink wraps one end of a pipe that breaks after left bytes.
func NewLink(c net.Conn, left int) *FakeLink {
	l := &FakeLink{Conn: c, left: left, queue: make(chan []byte, 1000), done: make(chan struct{})}
	go l.deliver()
	return l
}

// Hold keeps what is written from now on in the other end's socket buffer.
func (l *FakeLink) Hold() (release func()) {
	held := make(chan struct{})
	l.held.Store(&held)
	return func() { close(held) }
}

// Break makes this end find the link broken; what it wrote still arrives.
func (l *FakeLink) Break() { _ = l.SetReadDeadline(time.Now()) }

func (l *FakeLink) deliver() {
	defer l.Conn.Close()
	for closed := false; !closed || len(l.queue) > 0; {
		select {
		case p := <-l.queue:
			if held := l.held.Load(); held != nil {
				<-*held
			}
			_ = l.SetWriteDeadline(time.Now().Add(10 * time.Second)) // the other end may be gone
			if _, err := l.Conn.Write(p); err != nil {
				return
			}
		case <-l.done:
			closed = true
		}
	}
}

func (l *FakeLink) Write(p []byte) (int, error) {
	n := len(p)
	if l.left >= 0 {
		n = min(n, l.left)
		l.left -= n
	}
	select {
	case <-l.done:
		return 0, io.ErrClosedPipe
	case l.queue <- append([]byte(nil), p[:n]...):
	}
	if n < len(p) {
		_ = l.Close()
		return n, io.ErrClosedPipe
	}
	return n, nil
}

func (l *FakeLink) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// taker is the caller's end of an answer.
type taker struct {
	mu     sync.Mutex
	status int
	body   []byte
	wrote  chan struct{} // one for each Write, if it is set
}

func (k *taker) Start(status int, _ http.Header) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.status = status
	return nil
}

func (k *taker) Write(p []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.body = append(k.body, p...)
	if k.wrote != nil {
		k.wrote <- struct{}{}
	}
	return len(p), nil
}

func (k *taker) got() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return string(k.body)
}

func claim(path string) *Request {
	return &Request{Service: "tracing-core", Class: "lookup", Method: http.MethodPost, Path: path, Length: -1, Deadline: time.Now().Add(2 * time.Second)}
}

// world gives a client, a far agent and the network between them for one test.
func world(t *testing.T) (*Client, *far, *network) {
	t.Cleanup(func() { time.Sleep(2 * time.Minute) }) // for whatever still waits
	f := newFar(t, "tracing-core", 1)
	n := &network{ctx: t.Context(), far: f}
	return NewClient("tracing-core", ringOf(t, "0123456789abcdef"), n.dial, nil), f, n
}
