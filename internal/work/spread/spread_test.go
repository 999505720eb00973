package spread

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/place"
	"mangowinch/internal/work/hand"
	"mangowinch/internal/work/result"
)

var (
	ran          = result.Result{Outcome: result.Ran}
	shed         = result.Result{Outcome: result.NotRun, Reason: result.ServerShed}
	leaving      = result.Result{Outcome: result.NotRun, Reason: result.ServerLeaving}
	disconnected = result.Result{Outcome: result.Unknown, Reason: result.ServerDisconnected}
)

// fakeServers return fixed results and log the bodies that they read. Run is the agent's own
// server, which is server 1, and HandOver all others.
type fakeServers struct {
	own, others  result.Result
	startsAnswer bool // the own server starts an answer before it returns
	log          []string
}

func (s *fakeServers) Run(_ context.Context, r *hand.Request, a hand.Answer) result.Result {
	s.read("own", r)
	if s.startsAnswer {
		_ = a.Start(http.StatusOK, nil)
	}
	return s.own
}

func (s *fakeServers) HandOver(_ context.Context, _ netip.AddrPort, r *hand.Request, _ hand.Answer) result.Result {
	s.read("other", r)
	return s.others
}

func (s *fakeServers) read(where string, r *hand.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 8))
	s.log = append(s.log, fmt.Sprintf("%s %s %v", where, body, err))
}

type discardAnswer struct{}

func (discardAnswer) Start(int, http.Header) error { return nil }

func (discardAnswer) Write(p []byte) (int, error) { return len(p), nil }

func (s *fakeServers) dispatcher() *Dispatcher {
	dispatcher := New(place.Self{ID: 1}, s, func() place.Hint { return place.Hint{} })
	d := &docs.Service{Name: "tracing-core"}
	for id := uint32(1); id <= 3; id++ {
		d.Servers = append(d.Servers, docs.Server{ID: id, Slots: 4})
	}
	dispatcher.SetServers(d)
	return dispatcher
}

func request(idempotent bool) *hand.Request {
	return &hand.Request{Body: strings.NewReader("document"), Length: 8, Idempotent: idempotent, Deadline: time.Now().Add(time.Minute)}
}

func (s *fakeServers) run(r *hand.Request) result.Result {
	return s.dispatcher().Run(context.Background(), r, discardAnswer{}, s)
}

// Guards against a truncated upload when the own server refuses it and another server gets it.
func TestRefusedRequestIsRetriedWithWholeBody(t *testing.T) {
	s := &fakeServers{own: shed, others: ran}
	assert.Equal(t, s.run(request(false)), ran)
	assert.DeepEqual(t, s.log, []string{"own document <nil>", "other document <nil>"})
}

// Guards against a second run when a server disconnects after it was sent a claim. The claim may
// have run, so no other server may get it unless its class is idempotent.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	s := &fakeServers{own: disconnected, others: ran}
	assert.Equal(t, s.run(request(false)), disconnected)
	assert.Equal(t, len(s.log), 1)
	s = &fakeServers{own: disconnected, others: ran}
	assert.Equal(t, s.run(request(true)), ran)
	assert.Equal(t, len(s.log), 2)
}

// Guards against mixing the answers of two servers when a server disconnects in the middle of a
// feed and another server continues after the lines that the caller already has.
func TestStartedAnswerIsNotRetried(t *testing.T) {
	s := &fakeServers{own: disconnected, others: ran, startsAnswer: true}
	assert.Equal(t, s.run(request(true)), disconnected)
	assert.Equal(t, len(s.log), 1)
}

// Guards against a request that circulates between two agents that each consider the other one
// idle. A request that one agent has placed at another is not placed again.
func TestPlacedRequestIsNotPlacedAgain(t *testing.T) {
	s := &fakeServers{own: shed, others: ran}
	r := request(false)
	r.Placed = true
	assert.Equal(t, s.run(r), shed)
	assert.Equal(t, len(s.log), 1)
}

// Guards against losing requests when a server drains and returns 100 waiting claims at once, many
// more than the retry budget. All of them must be placed elsewhere; none counts as a retry.
func TestAllRequestsOfLeavingServerArePlaced(t *testing.T) {
	s := &fakeServers{own: leaving, others: ran}
	dispatcher := s.dispatcher()
	for range 100 {
		assert.Equal(t, dispatcher.Run(context.Background(), request(false), discardAnswer{}, s), ran)
	}
}

// Guards against multiplying the load while all servers shed. Without a budget, the service would
// get three times the load.
func TestRetryBudgetBoundsLoad(t *testing.T) {
	s := &fakeServers{own: shed, others: shed}
	dispatcher := s.dispatcher()
	for range 1000 {
		assert.Equal(t, dispatcher.Run(context.Background(), request(false), discardAnswer{}, s), shed)
	}
	assert.Assert(t, len(s.log) < 1200, "%d tries", len(s.log))
}

// failFastServer answers 500 immediately on the own server and 200 elsewhere.
type failFastServer struct{ own, other int }

func (f *failFastServer) Run(_ context.Context, _ *hand.Request, a hand.Answer) result.Result {
	f.own++
	_ = a.Start(http.StatusInternalServerError, nil)
	return ran
}

func (f *failFastServer) HandOver(_ context.Context, _ netip.AddrPort, _ *hand.Request, a hand.Answer) result.Result {
	f.other++
	_ = a.Start(http.StatusOK, nil)
	return ran
}

// Guards against sending all requests to a backend server that answers 500 within a millisecond.
// Such a server always has idle slots, so all callers of its agent got 500 as long as the fault
// lasted. After a few failures, other servers must get the requests.
func TestFailFastServerIsAvoided(t *testing.T) {
	f := &failFastServer{}
	dispatcher := New(place.Self{ID: 1}, f, func() place.Hint { return place.Hint{} })
	dispatcher.SetServers(&docs.Service{Servers: []docs.Server{{ID: 1, Slots: 4}, {ID: 2, Slots: 4}, {ID: 3, Slots: 4}}})
	for range 50 {
		dispatcher.Run(context.Background(), request(false), discardAnswer{}, f)
	}
	assert.Assert(t, f.own < 10 && f.other > 40, "own %d, others %d", f.own, f.other)
}

// nestedFeeds hands feeds over and, while each feed is open, opens the next one.
type nestedFeeds struct {
	dispatcher *Dispatcher
	depth      int
	log        []string
}

func (o *nestedFeeds) Run(_ context.Context, _ *hand.Request, _ hand.Answer) result.Result {
	o.log = append(o.log, "own")
	return ran
}

func (o *nestedFeeds) HandOver(ctx context.Context, _ netip.AddrPort, r *hand.Request, a hand.Answer) result.Result {
	o.log = append(o.log, "other")
	_ = a.Start(http.StatusOK, nil)
	if o.depth--; o.depth > 0 {
		return o.dispatcher.Run(ctx, &hand.Request{Feed: true, Deadline: r.Deadline}, discardAnswer{}, o)
	}
	return ran
}

// Guards against counting open feeds as occupied slots. The agent of a full server hands feeds over
// to its peers, where they stay open for hours. They occupy no slot, so the tenth one must still
// find its peers idle.
func TestOpenFeedsDoNotFillPeers(t *testing.T) {
	o := &nestedFeeds{depth: 10}
	o.dispatcher = New(place.Self{ID: 1}, o, func() place.Hint { return place.Hint{Running: 4, Waiting: 4} })
	o.dispatcher.SetServers(&docs.Service{Servers: []docs.Server{{ID: 1, Slots: 4}, {ID: 2, Slots: 4}, {ID: 3, Slots: 4}}})
	o.dispatcher.Run(context.Background(), &hand.Request{Feed: true, Deadline: time.Now().Add(time.Minute)}, discardAnswer{}, o)
	assert.Equal(t, strings.Count(strings.Join(o.log, " "), "other"), 10)
}
