package hand

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/work/result"
	"mangowinch/internal/work/wire"
)

// exchange is the sender's side of one request on one link.
type exchange struct {
	client       *Client
	link         *link
	request      *Request
	answer       *resumableAnswer
	credits      chan struct{}
	stream       wire.DRPCHand_RunClient
	cancelStream context.CancelFunc // closes the stream and its link
}

// downResult is the result of receiving an answer: the end of the request, or why there is none.
type downResult struct {
	end     result.Result
	err     error // the link broke before the end
	refused bool  // the caller's Answer returned an error
}

func (x *exchange) run(ctx context.Context, now time.Time, left time.Duration) result.Result {
	// The stream outlives ctx. A cancellation is sent as a message, because a link that merely
	// breaks must not stop a request that may run only once.
	var streaming context.Context
	streaming, x.cancelStream = context.WithCancel(context.WithoutCancel(ctx))
	stream, err := x.link.client.Run(streaming)
	if err != nil {
		x.cancelStream()
		x.link.close()
		event("unreached", x.client.service)
		return x.request.notSent(result.PeerUnreachable)
	}
	x.stream = stream
	head, err := seal(x.client.ring(), headPurpose, encodeHead(x.request, x.link.incarnation, x.link.deadline(now, left)))
	if err != nil {
		x.cancelStream()
		x.link.close()
		event("damaged", x.client.service)
		return x.request.notSent(result.PeerUnreachable)
	}
	if err := stream.Send(&wire.Up{Part: &wire.Up_Head{Head: head}}); err != nil {
		// A part of the head may have arrived.
		x.cancelStream()
		x.link.close()
		return x.queryOutcome(ctx)
	}
	uploading, stopUpload := context.WithCancel(ctx)
	defer stopUpload()
	go x.sendBody(uploading)
	down := make(chan downResult, 1)
	go func() { down <- x.receive() }()

	timer := time.NewTimer(time.Until(x.request.Deadline))
	defer timer.Stop()
	expiry := timer.C
	started := x.answer.startDelivered()
	for {
		select {
		case got := <-down:
			switch {
			case got.refused:
				go x.cancel(nil)
				return unknown(result.CallerGone)
			case got.err != nil:
				x.cancelStream()
				x.link.close()
				return x.queryOutcome(ctx)
			}
			go x.finish()
			return got.end
		case <-started:
			started = nil
			if x.request.Feed {
				expiry = nil
			}
		case <-ctx.Done():
			x.answer.stop()
			go x.cancel(down)
			return unknown(result.CallerGone)
		case <-expiry:
			x.answer.stop()
			go x.cancel(down)
			return unknown(result.Expired)
		}
	}
}

// receive delivers the answer until its end.
func (x *exchange) receive() downResult {
	for {
		d, err := x.stream.Recv()
		if err != nil {
			return downResult{err: err}
		}
		switch p := d.Part.(type) {
		case *wire.Down_Credit:
			for range min(p.Credit, window) {
				select {
				case x.credits <- struct{}{}:
				default:
				}
			}
		case *wire.Down_End:
			x.link.peer.reportLoad(p.End.Load)
			return downResult{end: decodeEnd(p.End, x.request.Key != "")}
		default:
			if err := x.answer.deliver(d); err != nil {
				return downResult{refused: true}
			}
		}
	}
}

// sendBody sends the body in parts, no more of them ahead than the receiver has granted.
func (x *exchange) sendBody(ctx context.Context) {
	body := x.request.Body
	if body == nil {
		body = http.NoBody
	}
	if c, ok := body.(*BodyReader); ok {
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		defer stop()
	}
	for range window {
		x.credits <- struct{}{}
	}
	part := make([]byte, x.partSize())
	for {
		select {
		case <-x.credits:
		case <-ctx.Done():
			return
		}
		n, err := body.Read(part)
		if ctx.Err() != nil {
			return
		}
		if n > 0 && x.stream.Send(&wire.Up{Part: &wire.Up_Body{Body: part[:n]}}) != nil {
			return
		}
		if n == 0 && err == nil {
			x.credits <- struct{}{}
		}
		if err != nil {
			broken := !errors.Is(err, io.EOF)
			_ = x.stream.Send(&wire.Up{Part: &wire.Up_End{End: &wire.BodyEnd{Broken: broken}}})
			return
		}
	}
}

// partSize returns the size of the buffer for a part. A short body gets a buffer of its own size
// plus one byte, which is needed to detect its end.
func (x *exchange) partSize() int64 {
	if n := x.request.Length; n >= 0 && n < partSize {
		return n + 1
	}
	return partSize
}

// finish ends the call normally and keeps the link. It doesn't cancel the stream's context, because
// drpc would close the link if it noticed the cancellation before the end.
func (x *exchange) finish() {
	timer := time.AfterFunc(drainTimeout, func() { _ = x.link.conn.Close() })
	defer timer.Stop()
	if _, err := x.stream.Recv(); !errors.Is(err, io.EOF) || x.stream.CloseSend() != nil {
		x.link.close()
		return
	}
	x.link.release()
}

// cancel notifies the receiver that nobody waits any longer, and discards the rest of the answer.
// It closes the link only after the receiver's end or after drainTimeout: closing a link with
// unread bytes would reset it, and the reset may overtake the cancellation. Down is nil if receive
// has returned already.
func (x *exchange) cancel(down <-chan downResult) {
	defer x.cancelStream()
	defer x.link.close()
	event("cancelled", x.client.service)
	timer := time.AfterFunc(drainTimeout, func() { _ = x.link.conn.Close() })
	defer timer.Stop()
	if x.stream.Send(&wire.Up{Part: &wire.Up_Cancel{Cancel: &wire.Cancel{}}}) != nil {
		return
	}
	if down != nil {
		if got := <-down; !got.refused {
			return
		}
	}
	for {
		d, err := x.stream.Recv()
		if err != nil || d.GetEnd() != nil {
			return
		}
		event("late", x.client.service)
	}
}
