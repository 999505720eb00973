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
	maxQueries   = 6                     // with queryBackoff doubled after each: 1.55 s in total, if the deadline allows
	queryBackoff = 50 * time.Millisecond // before the second query
)

// queryOutcome determines the result of a request whose link broke after its head had been sent.
// Only the process that the head was sent to can know the outcome, so no other is queried.
func (x *exchange) queryOutcome(ctx context.Context) result.Result {
	event("lost", x.client.service)
	if x.request.Idempotent {
		return unknown(result.PeerUnreachable)
	}
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	for try := range maxQueries {
		if try > 0 {
			select {
			case <-ctx.Done():
				return unknown(result.PeerUnreachable)
			case <-time.After(queryBackoff << (try - 1)):
			}
		}
		if end, known := x.queryOnce(ctx); known {
			return end
		}
	}
	return unknown(result.PeerUnreachable)
}

// queryOnce sends one query. It returns false if no answer arrived.
func (x *exchange) queryOnce(ctx context.Context) (end result.Result, known bool) {
	l, err := x.link.peer.connectTo(ctx, x.link.incarnation)
	if errors.Is(err, errOtherProcess) {
		// The receiver was restarted. The records of the process that may have run the request are
		// lost.
		return unknown(result.PeerUnreachable), true
	}
	if err != nil {
		return result.Result{}, false
	}
	defer l.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := time.Now()
	query, err := seal(x.client.ring(), queryPurpose, &wire.Question{
		Id:          []byte(x.request.ID),
		Incarnation: x.link.incarnation,
		Time:        l.deadline(now, x.request.Deadline.Sub(now)),
	})
	if err != nil {
		return result.Result{}, false
	}
	stream, err := l.client.Ask(ctx, query)
	if err != nil {
		return result.Result{}, false
	}
	event("questions", x.client.service)
	x.answer.skipDelivered()
	for {
		d, err := stream.Recv()
		if err != nil {
			return result.Result{}, false
		}
		if e := d.GetEnd(); e != nil {
			return decodeEnd(e, x.request.Key != ""), true
		}
		if x.answer.deliver(d) != nil {
			return unknown(result.CallerGone), true
		}
	}
}

// resumableAnswer delivers an answer. After a broken link the receiver sends the same bytes again,
// and resumableAnswer delivers only those that it has not delivered before.
type resumableAnswer struct {
	answer Answer

	mu      sync.Mutex
	startCh chan struct{}
	started bool
	closed  bool
	sent    int64 // bytes of the body delivered
	skip    int64 // bytes of the body still to come that were delivered before
}

// startDelivered returns a channel that is closed once the start of the answer has been delivered.
// The start may have been delivered before the call, because the receiver may answer immediately.
func (s *resumableAnswer) startDelivered() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startCh = make(chan struct{})
	if s.started {
		close(s.startCh)
	}
	return s.startCh
}

// skipDelivered prepares for an answer that is sent again from its beginning.
func (s *resumableAnswer) skipDelivered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skip = s.sent
}

// stop prevents the delivery of late parts: after HandOver has returned, the caller's Answer may
// already serve another request.
func (s *resumableAnswer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// deliver delivers one part of the answer. After an error it delivers nothing more.
func (s *resumableAnswer) deliver(d *wire.Down) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.closed = s.closed || err != nil }()
	if s.closed {
		return ErrAbandoned
	}
	switch p := d.Part.(type) {
	case *wire.Down_Start:
		return s.deliverStart(p.Start)
	case *wire.Down_Body:
		return s.deliverBody(p.Body)
	}
	return nil
}

func (s *resumableAnswer) deliverStart(p *wire.Start) error {
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
	if s.startCh != nil {
		close(s.startCh)
	}
	return s.answer.Start(int(p.Status), header)
}

func (s *resumableAnswer) deliverBody(p []byte) error {
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
