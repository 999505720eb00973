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

// ErrAbandoned is what a runner gets for the answer to a request that nobody waits for.
var ErrAbandoned = errors.New("the answer is not wanted any more")

// downAnswer sends an answer to the sender of a request. Once the request is cancelled
// or past its deadline nothing more is sent: the stream may already serve another.
type downAnswer struct {
	stream interface{ Send(*wire.Down) error }
	//nolint:containedctx // it belongs to one request, like the stream
	ctx    context.Context
	server *Server
	keeper *memo.Recorder // nil if the answer is not kept

	mu   sync.Mutex // the upload sends credits on the same stream
	lost bool       // the link broke; the answer is kept all the same
}

// Start implements Answer.
func (a *downAnswer) Start(status int, header http.Header) error {
	if a.keeper != nil {
		a.keeper.Start(status, header)
	}
	return a.send(&wire.Down{Part: &wire.Down_Start{Start: &wire.Start{Status: uint32(status), Headers: encodeFields(header)}}})
}

// Write implements Answer.
func (a *downAnswer) Write(p []byte) (n int, err error) {
	if a.keeper != nil {
		_, _ = a.keeper.Write(p)
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

// send passes a part on. With the link lost, an answer that is kept goes on for the
// sender's question; any other is of no use to anybody.
func (a *downAnswer) send(d *wire.Down) error {
	if a.ctx.Err() != nil {
		event("late", a.server.Service)
		return ErrAbandoned
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.lost {
		a.lost = a.stream.Send(d) != nil
	}
	if a.lost && a.keeper == nil {
		return ErrAbandoned
	}
	return nil
}

func (a *downAnswer) credit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lost = a.lost || a.stream.Send(&wire.Down{Part: &wire.Down_Credit{Credit: 1}}) != nil
}

func (a *downAnswer) end(r result.Result, decided bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stream.Send(encodeEnd(r, decided, a.server.load()))
}

// replay waits for the first outcome of an ID and gives it.
func (a *downAnswer) replay(ctx context.Context, record *memo.Record) error {
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
	return a.end(outcome.Result, false)
}
