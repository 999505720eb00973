package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/work/result"
)

// Headers towards the backend server.
const (
	headerID     = "Request-Id"
	headerNotRun = "Not-Run"
)

const (
	// dialTime bounds connecting to the own server, which is on the same
	// instance or beside it: longer means that it is down.
	dialTime = time.Second
	// copySize is the buffer for answers, in bytes.
	copySize = 32 << 10
)

// errDeadline ends a request whose deadline has passed.
var errDeadline = errors.New("deadline passed")

// backend talks HTTP/1.1 to the agent's own server.
type backend struct {
	address *url.URL
	client  *http.Transport
}

func newBackend(address *url.URL) *backend {
	d := net.Dialer{Timeout: dialTime}
	return &backend{
		address: address,
		client: &http.Transport{
			DialContext: d.DialContext,
			// The library sends a request again by itself when a reused connection
			// breaks before the answer; a GET that the server had begun would
			// then run twice. Only a fresh connection is never tried again.
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// run sends an exchange to the own server and streams the answer to the caller.
// Its outcome is not run only if no byte of the request can have reached the server,
// or on the server's own word.
func (b *backend) run(ctx context.Context, x *Exchange) result.Result {
	// A process that was paused while this waited wakes with its timers due and
	// unfired; whoever waits for this has been answered long ago.
	if !time.Now().Before(x.Deadline) {
		return refuse(result.Expired, 0)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	late := time.AfterFunc(time.Until(x.Deadline), func() { cancel(errDeadline) })
	defer late.Stop()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	r, err := b.request(httptrace.WithClientTrace(ctx, trace), x)
	if err != nil {
		return refuse(result.ServerDown, 0)
	}
	answer, err := b.client.RoundTrip(r)
	if err != nil {
		return failed(ctx, sent.Load())
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(headerNotRun) != "" {
		return refuse(result.ServerShed, retryAfter(answer))
	}
	if x.Class.Kind == docs.Feed {
		late.Stop() // the deadline was for the first byte, and so was the slot
		x.FirstByte()
	}
	return deliver(ctx, x, answer)
}

func (b *backend) request(ctx context.Context, x *Exchange) (*http.Request, error) {
	u := *x.Request.URL
	u.Scheme = b.address.Scheme
	u.Host = b.address.Host
	r, err := http.NewRequestWithContext(ctx, x.Request.Method, u.String(), x.Request.Body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = x.Request.ContentLength
	if x.Request.ContentLength == 0 {
		r.Body = http.NoBody
	}
	copyHeader(r.Header, x.Request.Header)
	r.Header.Set(headerID, x.ID)
	r.Header.Set(headerDeadline, strconv.FormatInt(time.Until(x.Deadline).Milliseconds(), 10))
	return r, nil
}

// copyHeader leaves out what belongs to one connection.
func copyHeader(to, from http.Header) {
	for k, v := range from {
		switch k {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Upgrade", "Trailer":
		default:
			to[k] = v
		}
	}
}

// failed is the result of a request without an answer. A connection was never
// handed to the request if it is not sent, so no byte left.
func failed(ctx context.Context, sent bool) result.Result {
	reason := result.ServerLost
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		reason = result.Expired
	case ctx.Err() != nil:
		reason = result.Gone
	case !sent:
		reason = result.ServerDown
	}
	if sent {
		return result.Result{Outcome: result.Unknown, Reason: reason}
	}
	return refuse(reason, 0)
}

func retryAfter(r *http.Response) time.Duration {
	n, err := strconv.Atoi(r.Header.Get(headerAfter))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// deliver streams the server's answer. What is cut short is unknown to the caller:
// it ran, but the whole answer is not at hand.
func deliver(ctx context.Context, x *Exchange, answer *http.Response) result.Result {
	copyHeader(x.Answer.Header(), answer.Header)
	x.Answer.Header().Set(headerOutcome, result.Ran.String())
	x.Answer.WriteHeader(answer.StatusCode)
	x.Answer.Flush()
	buffer := make([]byte, copySize)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, err := x.Answer.Write(buffer[:n]); err != nil {
				return result.Result{Outcome: result.Unknown, Reason: result.Gone}
			}
			x.Answer.Flush()
		}
		if errors.Is(err, io.EOF) {
			return result.Result{Outcome: result.Ran}
		}
		if err != nil {
			return failed(ctx, true)
		}
	}
}
