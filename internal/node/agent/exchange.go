package agent

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/work/hand"
	"mangowinch/internal/work/result"
)

// headerKey carries a request key, in requests and in answers.
const headerKey = "Request-Key"

// asRequest converts an exchange to a request that agents hand over.
func (x *Exchange) asRequest() *hand.Request {
	r := &hand.Request{
		Service:    x.Service.Name,
		Class:      x.Class.Name,
		Method:     x.Request.Method,
		Path:       x.Request.URL.RequestURI(),
		Header:     x.Request.Header,
		Length:     x.Request.ContentLength,
		Deadline:   x.Deadline,
		Feed:       x.Class.Kind == docs.Feed,
		Caller:     x.Source.String(),
		Hops:       x.Hops,
		Idempotent: x.Class.Idempotent,
		Placed:     x.Placed,
	}
	if !x.Class.Idempotent {
		r.Key = x.Key
	}
	if x.Request.ContentLength != 0 {
		r.Body = x.Request.Body
	}
	return r
}

// asRunner adapts a handler to hand.Runner. Each run gets a copy of the exchange with its
// own body and answer.
func (x *Exchange) asRunner(next Handler) hand.Runner {
	return runnerFunc(func(ctx context.Context, r *hand.Request, a hand.Answer) result.Result {
		y := *x
		y.Key = r.Key
		request := *x.Request
		request.Body = http.NoBody
		if r.Body != nil {
			request.Body = io.NopCloser(r.Body)
		}
		y.Request = &request
		y.Answer = &Answer{ResponseWriter: &writerAdapter{answer: a, header: http.Header{}}}
		return next(ctx, &y)
	})
}

type runnerFunc func(ctx context.Context, r *hand.Request, a hand.Answer) result.Result

// Run implements hand.Runner.
func (f runnerFunc) Run(ctx context.Context, r *hand.Request, a hand.Answer) result.Result {
	return f(ctx, r, a)
}

// answerAdapter adapts an exchange's Answer to hand.Answer.
type answerAdapter struct{ answer *Answer }

// Start implements hand.Answer.
func (o answerAdapter) Start(status int, header http.Header) error {
	copyHeader(o.answer.Header(), header)
	o.answer.Header().Set(headerOutcome, result.Ran.String())
	o.answer.WriteHeader(status)
	o.answer.Flush()
	return nil
}

// Write implements hand.Answer.
func (o answerAdapter) Write(p []byte) (int, error) {
	n, err := o.answer.Write(p)
	o.answer.Flush()
	return n, err
}

// writerAdapter adapts a hand.Answer to http.ResponseWriter.
type writerAdapter struct {
	answer hand.Answer
	header http.Header
	err    error // error of answer.Start
}

// Header implements http.ResponseWriter.
func (w *writerAdapter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *writerAdapter) WriteHeader(status int) { w.err = w.answer.Start(status, w.header) }

// Write implements http.ResponseWriter.
func (w *writerAdapter) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	return w.answer.Write(p)
}

// newExchange returns the exchange of a request that another agent has handed over.
func newExchange(r *hand.Request, a hand.Answer, service *docs.Service) (x *Exchange, err error) {
	defer func() { err = errors.Wrap(err, "parse handed-over request") }()
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, err
	}
	body := io.ReadCloser(http.NoBody)
	if r.Length != 0 {
		body = io.NopCloser(r.Body)
	}
	source, _ := netip.ParseAddr(r.Caller) // invalid if the caller's agent did not know the address
	return &Exchange{
		ID:       r.Header.Get(headerID),
		Service:  service,
		Source:   source,
		Key:      r.Key,
		Hops:     r.Hops,
		Placed:   r.Placed,
		Deadline: r.Deadline,
		Request:  &http.Request{Method: r.Method, URL: u, Header: r.Header, Body: body, ContentLength: r.Length},
		Answer:   &Answer{ResponseWriter: &writerAdapter{answer: a, header: http.Header{}}},
	}, nil
}
