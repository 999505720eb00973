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

// exchange is one request on one link, seen from the sender.
type exchange struct {
	client  *Client
	link    *link
	request *Request
	answer  *resume
	credits chan struct{}
	stream  wire.DRPCHand_RunClient
	stop    context.CancelFunc // cuts the stream, and the link with it
}

// received is what came down: an end, or that the link broke.
type received struct {
	end  result.Result
	err  error // the link broke before the end
	gone bool  // the answer was refused by its taker
}

func (x *exchange) run(ctx context.Context, now time.Time, left time.Duration) result.Result {
	// The stream outlives ctx: a cancellation is a message of its own, since a link that
	// is just cut must not end what may run only once.
	var streaming context.Context
	streaming, x.stop = context.WithCancel(context.WithoutCancel(ctx))
	stream, err := x.link.client.Run(streaming)
	if err != nil {
		x.stop()
		x.link.close()
		event("unreached", x.client.service)
		return x.request.unsent(result.PeerUnreachable)
	}
	x.stream = stream
	head, err := seal(x.client.ring(), headSeal, encodeHead(x.request, x.link.process, x.link.deadline(now, left)))
	if err != nil {
		x.stop()
		x.link.close()
		event("damaged", x.client.service)
		return x.request.unsent(result.PeerUnreachable)
	}
	if err := stream.Send(&wire.Up{Part: &wire.Up_Head{Head: head}}); err != nil {
		// Some of it may have arrived.
		x.stop()
		x.link.close()
		return x.lost(ctx)
	}
	uploading, stopUpload := context.WithCancel(ctx)
	defer stopUpload()
	go x.upload(uploading)
	down := make(chan received, 1)
	go func() { down <- x.receive() }()

	timer := time.NewTimer(time.Until(x.request.Deadline))
	defer timer.Stop()
	due := timer.C
	started := x.answer.begun()
	for {
		select {
		case got := <-down:
			switch {
			case got.gone:
				go x.cancel(nil)
				return unknown(result.CallerGone)
			case got.err != nil:
				x.stop()
				x.link.close()
				return x.lost(ctx)
			}
			go x.finish()
			return got.end
		case <-started:
			started = nil
			if x.request.Feed {
				due = nil
			}
		case <-ctx.Done():
			x.answer.shut()
			go x.cancel(down)
			return unknown(result.CallerGone)
		case <-due:
			x.answer.shut()
			go x.cancel(down)
			return unknown(result.Expired)
		}
	}
}

// receive passes the answer on until its end.
func (x *exchange) receive() received {
	for {
		d, err := x.stream.Recv()
		if err != nil {
			return received{err: err}
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
			x.link.peer.heard(p.End.Load)
			return received{end: decodeEnd(p.End, x.request.Key != "")}
		default:
			if err := x.answer.take(d); err != nil {
				return received{gone: true}
			}
		}
	}
}

// upload sends the body in parts, only as many ahead as the receiver has granted.
func (x *exchange) upload(ctx context.Context) {
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

// partSize is no larger than a short body, with one byte more to see its end.
func (x *exchange) partSize() int64 {
	if n := x.request.Length; n >= 0 && n < partSize {
		return n + 1
	}
	return partSize
}

// finish ends the call in order and keeps the link. The stream's context is not
// cancelled: drpc would close the link if it saw that before the end.
func (x *exchange) finish() {
	timer := time.AfterFunc(drainTimeout, func() { _ = x.link.conn.Close() })
	defer timer.Stop()
	if _, err := x.stream.Recv(); !errors.Is(err, io.EOF) || x.stream.CloseSend() != nil {
		x.link.close()
		return
	}
	x.link.giveBack()
}

// cancel tells the receiver that nobody waits any more and lets the rest of the answer
// fall. The link is closed only after the receiver's end or drainTimeout: closing it with
// bytes unread would reset it, and the reset may overtake the cancellation. Down is nil
// if receive has returned already.
func (x *exchange) cancel(down <-chan received) {
	defer x.stop()
	defer x.link.close()
	event("cancelled", x.client.service)
	timer := time.AfterFunc(drainTimeout, func() { _ = x.link.conn.Close() })
	defer timer.Stop()
	if x.stream.Send(&wire.Up{Part: &wire.Up_Cancel{Cancel: &wire.Cancel{}}}) != nil {
		return
	}
	if down != nil {
		if got := <-down; !got.gone {
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
