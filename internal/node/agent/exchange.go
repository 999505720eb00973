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

// headerKey carries a request key, both ways.
const headerKey = "Request-Key"

// asRequest gives an exchange in the form in which work is shared between agents.
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

// asRunner gives a handler in the form that takes shared work. Each run gets a copy of
// the exchange, with the body and the answer that it is to use.
func (x *Exchange) asRunner(next Handler) hand.Runner {
	return runner(func(ctx context.Context, r *hand.Request, a hand.Answer) result.Result {
		y := *x
		y.Key = r.Key
		request := *x.Request
		request.Body = http.NoBody
		if r.Body != nil {
			request.Body = io.NopCloser(r.Body)
		}
		y.Request = &request
		y.Answer = &Answer{ResponseWriter: &inner{answer: a, header: http.Header{}}}
		return next(ctx, &y)
	})
}

type runner func(ctx context.Context, r *hand.Request, a hand.Answer) result.Result

// Run implements hand.Runner.
func (f runner) Run(ctx context.Context, r *hand.Request, a hand.Answer) result.Result {
	return f(ctx, r, a)
}

// outer passes a shared answer on to an exchange's own.
type outer struct{ answer *Answer }

// Start implements hand.Answer.
func (o outer) Start(status int, header http.Header) error {
	copyHeader(o.answer.Header(), header)
	o.answer.Header().Set(headerOutcome, result.Ran.String())
	o.answer.WriteHeader(status)
	o.answer.Flush()
	return nil
}

// Write implements hand.Answer.
func (o outer) Write(p []byte) (int, error) {
	n, err := o.answer.Write(p)
	o.answer.Flush()
	return n, err
}

// inner lets a handler write to a shared answer.
type inner struct {
	answer hand.Answer
	header http.Header
	err    error // of the start
}

// Header implements http.ResponseWriter.
func (w *inner) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *inner) WriteHeader(status int) { w.err = w.answer.Start(status, w.header) }

// Write implements http.ResponseWriter.
func (w *inner) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	return w.answer.Write(p)
}

// asExchange gives a request that another agent handed over.
func asExchange(r *hand.Request, a hand.Answer, service *docs.Service) (x *Exchange, err error) {
	defer func() { err = errors.Wrap(err, "handed request") }()
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, err
	}
	body := io.ReadCloser(http.NoBody)
	if r.Length != 0 {
		body = io.NopCloser(r.Body)
	}
	source, _ := netip.ParseAddr(r.Caller) // not valid if the agent at the caller knew none
	return &Exchange{
		ID:       r.Header.Get(headerID),
		Service:  service,
		Source:   source,
		Key:      r.Key,
		Hops:     r.Hops,
		Placed:   r.Placed,
		Deadline: r.Deadline,
		Request:  &http.Request{Method: r.Method, URL: u, Header: r.Header, Body: body, ContentLength: r.Length},
		Answer:   &Answer{ResponseWriter: &inner{answer: a, header: http.Header{}}},
	}, nil
}
