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

// Headers of requests to and answers from the backend server.
const (
	headerID     = "Request-Id"
	headerNotRun = "Not-Run"
)

const (
	// dialTimeout bounds connecting to the agent's server, which is on the same instance
	// or next to it: a longer delay means that it is down.
	dialTimeout = time.Second
	// copyBufferSize is the size of the buffer for answers, in bytes.
	copyBufferSize = 32 << 10
)

// errDeadline is the cancellation cause of a request whose deadline has passed.
var errDeadline = errors.New("deadline passed")

// backend is the HTTP/1.1 client of the agent's server.
type backend struct {
	address *url.URL
	client  *http.Transport
}

func newBackend(address *url.URL) *backend {
	d := net.Dialer{Timeout: dialTimeout}
	return &backend{
		address: address,
		client: &http.Transport{
			DialContext: d.DialContext,
			// The library repeats a request by itself when a reused connection breaks
			// before the answer, so that a GET that the server had started would run
			// twice. It never repeats a request on a fresh connection.
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// run sends an exchange to the server and streams the answer to the caller. The outcome
// is NotRun only if no byte of the request can have reached the server, or if the server
// itself says so.
func (b *backend) run(ctx context.Context, x *Exchange) result.Result {
	// If the process was paused until after the deadline, the timers that should have
	// ended the request are due but may not have fired yet. The caller has long been
	// answered by then.
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
		return refuse(result.ServerUnreachable, 0)
	}
	answer, err := b.client.RoundTrip(r)
	if err != nil {
		return failureResult(ctx, sent.Load())
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(headerNotRun) != "" {
		return refuse(result.ServerShed, retryAfter(answer))
	}
	if x.Class.Kind == docs.Feed {
		late.Stop() // the deadline and the slot cover only the time to the first byte
		x.FirstByte()
	}
	return streamAnswer(ctx, x, answer)
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

// copyHeader copies all headers except those of a single connection.
func copyHeader(to, from http.Header) {
	for k, v := range from {
		switch k {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Upgrade", "Trailer":
		default:
			to[k] = v
		}
	}
}

// failureResult returns the result of a request without an answer. If sent is false, the
// request never got a connection, so no byte of it has left.
func failureResult(ctx context.Context, sent bool) result.Result {
	reason := result.ServerDisconnected
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		reason = result.Expired
	case ctx.Err() != nil:
		reason = result.CallerGone
	case !sent:
		reason = result.ServerUnreachable
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

// streamAnswer streams the server's answer to the caller. The outcome of a truncated
// answer is Unknown: the request ran, but the caller does not have the whole answer.
func streamAnswer(ctx context.Context, x *Exchange, answer *http.Response) result.Result {
	copyHeader(x.Answer.Header(), answer.Header)
	x.Answer.Header().Set(headerOutcome, result.Ran.String())
	x.Answer.WriteHeader(answer.StatusCode)
	x.Answer.Flush()
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, err := x.Answer.Write(buffer[:n]); err != nil {
				return result.Result{Outcome: result.Unknown, Reason: result.CallerGone}
			}
			x.Answer.Flush()
		}
		if errors.Is(err, io.EOF) {
			return result.Result{Outcome: result.Ran}
		}
		if err != nil {
			return failureResult(ctx, true)
		}
	}
}
