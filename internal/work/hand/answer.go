package hand

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/wire"
)

// ErrAbandoned is returned to a runner that writes an answer nobody waits for any longer.
var ErrAbandoned = errors.New("request abandoned: its sender no longer waits for the answer")

// answerSender sends an answer to the sender of a request. After the request has been cancelled or
// its deadline has passed, it sends nothing more, because the stream may already serve another
// request.
type answerSender struct {
	stream interface{ Send(*wire.Down) error }
	//nolint:containedctx // it belongs to one request, like the stream
	ctx      context.Context
	server   *Server
	recorder *memo.Recorder // nil if the answer is not recorded

	mu     sync.Mutex // uploadReader sends credits on the same stream
	broken bool       // the link broke; the answer is still recorded
}

// Start implements Answer.
func (a *answerSender) Start(status int, header http.Header) error {
	if a.recorder != nil {
		a.recorder.Start(status, header)
	}
	return a.send(&wire.Down{Part: &wire.Down_Start{Start: &wire.Start{Status: uint32(status), Headers: encodeFields(header)}}})
}

// Write implements Answer.
func (a *answerSender) Write(p []byte) (n int, err error) {
	if a.recorder != nil {
		_, _ = a.recorder.Write(p)
	}
	for len(p) > 0 {
		part := p[:min(len(p), partSize)]
		if err := a.send(&wire.Down{Part: &wire.Down_Body{Body: part}}); err != nil {
			return n, err
		}
		n, p = n+len(part), p[len(part):]
	}
	return n, nil
}

// send sends one part. After the link has broken, an answer that is recorded continues, so that a
// later query by the sender finds it. Any other answer is abandoned.
func (a *answerSender) send(d *wire.Down) error {
	if a.ctx.Err() != nil {
		event("late", a.server.Service)
		return ErrAbandoned
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.broken {
		a.broken = a.stream.Send(d) != nil
	}
	if a.broken && a.recorder == nil {
		return ErrAbandoned
	}
	return nil
}

func (a *answerSender) grantCredit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.broken = a.broken || a.stream.Send(&wire.Down{Part: &wire.Down_Credit{Credit: 1}}) != nil
}

func (a *answerSender) sendEnd(r result.Result, decided bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stream.Send(encodeEnd(r, decided, a.server.load()))
}

// replay waits for the outcome of the first request with an ID and sends it.
func (a *answerSender) replay(ctx context.Context, record *memo.Record) error {
	select {
	case <-record.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	a.ctx = ctx
	outcome := record.Outcome()
	if kept := outcome.Answer; kept != nil {
		if err := a.Start(kept.Status, kept.Header); err != nil {
			return err
		}
		if _, err := a.Write(kept.Body); err != nil {
			return err
		}
	}
	return a.sendEnd(outcome.Result, false)
}
