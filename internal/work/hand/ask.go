package hand

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/work/result"
	"mangowinch/internal/work/wire"
)

const (
	askTries = 6                     // with askPause doubled each time: 1.55 s in all, if the deadline allows
	askPause = 50 * time.Millisecond // before the second try
)

// lost settles a request whose link broke after its head had been sent. Only the same
// process can tell what became of it, and only it is asked.
func (x *exchange) lost(ctx context.Context) result.Result {
	event("lost", x.client.service)
	if x.request.Idempotent {
		return unknown(result.PeerUnreachable)
	}
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	for try := range askTries {
		if try > 0 {
			select {
			case <-ctx.Done():
				return unknown(result.PeerUnreachable)
			case <-time.After(askPause << (try - 1)):
			}
		}
		if end, known := x.ask(ctx); known {
			return end
		}
	}
	return unknown(result.PeerUnreachable)
}

// ask puts the question once. It reports false if no answer came.
func (x *exchange) ask(ctx context.Context) (end result.Result, known bool) {
	l, err := x.link.peer.same(ctx, x.link.process)
	if errors.Is(err, errOther) {
		// Restarted: its memory went with the process that may have run the request.
		return unknown(result.PeerUnreachable), true
	}
	if err != nil {
		return result.Result{}, false
	}
	defer l.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := time.Now()
	question, err := seal(x.client.ring(), questionSeal, &wire.Question{
		Id:          []byte(x.request.ID),
		Incarnation: x.link.process,
		Time:        l.deadline(now, x.request.Deadline.Sub(now)),
	})
	if err != nil {
		return result.Result{}, false
	}
	stream, err := l.client.Ask(ctx, question)
	if err != nil {
		return result.Result{}, false
	}
	event("questions", x.client.service)
	x.answer.rewind()
	for {
		d, err := stream.Recv()
		if err != nil {
			return result.Result{}, false
		}
		if e := d.GetEnd(); e != nil {
			return decodeEnd(e, x.request.Key != ""), true
		}
		if x.answer.take(d) != nil {
			return unknown(result.CallerGone), true
		}
	}
}

// resume passes an answer on, and after a broken link passes on only what had not
// been delivered yet: the receiver gives the very same bytes once more.
type resume struct {
	answer Answer

	mu      sync.Mutex
	start   chan struct{}
	started bool
	closed  bool
	sent    int64 // bytes of the body delivered
	skip    int64 // bytes of the body to come that were delivered before
}

// begun is closed when the answer's start has been delivered, which may have been
// before the call: the other side answers at once, and who asks comes late.
func (s *resume) begun() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start = make(chan struct{})
	if s.started {
		close(s.start)
	}
	return s.start
}

func (s *resume) rewind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skip = s.sent
}

// shut makes sure that a late part of the answer is not delivered: by the time Hand has
// returned, whoever took the answer may be serving another request.
func (s *resume) shut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// take delivers one part of the answer. After an error nothing more is delivered.
func (s *resume) take(d *wire.Down) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.closed = s.closed || err != nil }()
	if s.closed {
		return ErrAbandoned
	}
	switch p := d.Part.(type) {
	case *wire.Down_Start:
		return s.begin(p.Start)
	case *wire.Down_Body:
		return s.body(p.Body)
	}
	return nil
}

func (s *resume) begin(p *wire.Start) error {
	if s.started {
		return nil
	}
	header, err := decodeFields(p.Headers)
	if err != nil {
		return err
	}
	if header == nil {
		header = http.Header{}
	}
	s.started = true
	if s.start != nil {
		close(s.start)
	}
	return s.answer.Start(int(p.Status), header)
}

func (s *resume) body(p []byte) error {
	known := min(s.skip, int64(len(p)))
	s.skip -= known
	p = p[known:]
	if len(p) == 0 {
		return nil
	}
	n, err := s.answer.Write(p)
	s.sent += int64(n)
	return err
}
