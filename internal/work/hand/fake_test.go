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

// runner is a fake of the receiver's request chain and server. It logs executions.
type runner struct {
	mu     sync.Mutex
	ran    map[string]int // number of runs by path
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

// echo reads the whole body, logs a run, and answers with the path and the body.
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

// receiver is an agent that requests are handed over to.
type receiver struct {
	*runner
	server *Server
	mux    *drpcmux.Mux
}

func newReceiver(t assert.TestingT, service string, incarnation uint64) *receiver {
	f := &receiver{runner: &runner{ran: map[string]int{}}, mux: drpcmux.New()}
	f.handle = f.echo
	f.server = &Server{Service: service, Incarnation: incarnation, Start: time.Now(), Ring: newRing(t, "0123456789abcdef"), Runner: f, Outcomes: memo.New(memo.DefaultLimits)}
	assert.NilError(t, Register(f.mux, f.server))
	return f
}

func newRing(t assert.TestingT, material string) func() *token.Ring {
	ring, err := token.NewRing("tracing-core", []byte(material))
	assert.NilError(t, err)
	return func() *token.Ring { return ring }
}

// network connects a client to the current receiver at the address, over links that can be cut
// after a number of bytes, or held back.
type network struct {
	ctx           context.Context
	mu            sync.Mutex
	receiver      *receiver   // nil: connection refused
	nextReceivers []*receiver // accept the next links in dialling order; after them receiver does
	cuts          []cut       // for the links in dialling order; links beyond them are not cut
	links         []*FakeLink
}

// cut breaks a link once more than up bytes have been sent to the receiver, or more than down bytes
// back. A negative number means never.
type cut struct{ up, down int }

var neverCut = cut{-1, -1}

func (n *network) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.receiver == nil {
		return nil, errors.New("connection refused")
	}
	c := neverCut
	if len(n.links) < len(n.cuts) {
		c = n.cuts[len(n.links)]
	}
	answers := n.receiver
	if len(n.nextReceivers) > 0 {
		answers, n.nextReceivers = n.nextReceivers[0], n.nextReceivers[1:]
	}
	near, far := net.Pipe()
	up, down := NewLink(near, c.up), NewLink(far, c.down)
	server := drpcserver.New(answers.mux)
	go func() { _ = server.ServeOne(n.ctx, down) }()
	n.links = append(n.links, up)
	return up, nil
}

// hold keeps the data sent to the receiver on the present links in its socket buffer until release.
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

func (n *network) replace(f *receiver) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.receiver = f
}

// FakeLink is one end of a link with a socket buffer: data written before a close still arrives.
type FakeLink struct {
	net.Conn
	remaining int // bytes until the link breaks; negative: never
	queue     chan []byte
	once      sync.Once
	done      chan struct{}
	held      atomic.Pointer[chan struct{}]
}

// NewLink wraps one end of a pipe that breaks after left bytes.
func NewLink(c net.Conn, left int) *FakeLink {
	l := &FakeLink{Conn: c, remaining: left, queue: make(chan []byte, 1000), done: make(chan struct{})}
	go l.deliver()
	return l
}

// Hold keeps the data written from now on in the other end's socket buffer until release.
func (l *FakeLink) Hold() (release func()) {
	held := make(chan struct{})
	l.held.Store(&held)
	return func() { close(held) }
}

// Break makes reads at this end fail. Data that it has written still arrives.
func (l *FakeLink) Break() { _ = l.SetReadDeadline(time.Now()) }

func (l *FakeLink) deliver() {
	defer l.Conn.Close()
	for closed := false; !closed || len(l.queue) > 0; {
		select {
		case p := <-l.queue:
			if held := l.held.Load(); held != nil {
				<-*held
			}
			_ = l.SetWriteDeadline(time.Now().Add(10 * time.Second)) // the other end may be closed
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
	if l.remaining >= 0 {
		n = min(n, l.remaining)
		l.remaining -= n
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

// answerBuffer collects an answer on behalf of the caller.
type answerBuffer struct {
	mu     sync.Mutex
	status int
	body   []byte
	wrote  chan struct{} // receives one value per Write, if set
}

func (b *answerBuffer) Start(status int, _ http.Header) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status = status
	return nil
}

func (b *answerBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.body = append(b.body, p...)
	if b.wrote != nil {
		b.wrote <- struct{}{}
	}
	return len(p), nil
}

func (b *answerBuffer) got() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.body)
}

func claim(path string) *Request {
	return &Request{Service: "tracing-core", Class: "lookup", Method: http.MethodPost, Path: path, Length: -1, Deadline: time.Now().Add(2 * time.Second)}
}

// newPair returns a client, a receiver and the network between them for one test.
func newPair(t *testing.T) (*Client, *receiver, *network) {
	t.Cleanup(func() { time.Sleep(2 * time.Minute) }) // for goroutines that still wait
	f := newReceiver(t, "tracing-core", 1)
	n := &network{ctx: t.Context(), receiver: f}
	return NewClient("tracing-core", newRing(t, "0123456789abcdef"), n.dial, nil), f, n
}
