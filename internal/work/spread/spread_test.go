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
	ran     = result.Result{Outcome: result.Ran}
	shed    = result.Result{Outcome: result.NotRun, Reason: result.ServerShed}
	leaving = result.Result{Outcome: result.NotRun, Reason: result.ServerLeaving}
	lost    = result.Result{Outcome: result.Unknown, Reason: result.ServerDisconnected}
)

// servers answer as they are told, the own one by server 1. They note what they read.
type servers struct {
	own, others result.Result
	begin       bool // the own server's answer begins before it ends
	log         []string
}

func (s *servers) Run(_ context.Context, r *hand.Request, a hand.Answer) result.Result {
	s.read("own", r)
	if s.begin {
		_ = a.Start(http.StatusOK, nil)
	}
	return s.own
}

func (s *servers) HandOver(_ context.Context, _ netip.AddrPort, r *hand.Request, _ hand.Answer) result.Result {
	s.read("other", r)
	return s.others
}

func (s *servers) read(where string, r *hand.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 8))
	s.log = append(s.log, fmt.Sprintf("%s %s %v", where, body, err))
}

type nowhere struct{}

func (nowhere) Start(int, http.Header) error { return nil }

func (nowhere) Write(p []byte) (int, error) { return len(p), nil }

func (s *servers) spreader() *Dispatcher {
	sp := New(place.Self{ID: 1}, s, func() place.Hint { return place.Hint{} })
	d := &docs.Service{Name: "tracing-core"}
	for id := uint32(1); id <= 3; id++ {
		d.Servers = append(d.Servers, docs.Server{ID: id, Slots: 4})
	}
	sp.SetServers(d)
	return sp
}

func request(idempotent bool) *hand.Request {
	return &hand.Request{Body: strings.NewReader("document"), Length: 8, Idempotent: idempotent, Deadline: time.Now().Add(time.Minute)}
}

func (s *servers) run(r *hand.Request) result.Result {
	return s.spreader().Run(context.Background(), r, nowhere{}, s)
}

// The own server refuses an upload; another gets it with its whole body.
func TestRefusedRequestIsRetriedWithWholeBody(t *testing.T) {
	s := &servers{own: shed, others: ran}
	assert.Equal(t, s.run(request(false)), ran)
	assert.DeepEqual(t, s.log, []string{"own document <nil>", "other document <nil>"})
}

// Story: a server breaks off after it was sent a claim. Nobody knows whether it ran, so no
// other server gets it, unless the class may run twice.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	s := &servers{own: lost, others: ran}
	assert.Equal(t, s.run(request(false)), lost)
	assert.Equal(t, len(s.log), 1)
	s = &servers{own: lost, others: ran}
	assert.Equal(t, s.run(request(true)), ran)
	assert.Equal(t, len(s.log), 2)
}

// Story: a feed's server breaks off in the middle. Another server's lines behind those that
// the caller has would be the answer of two.
func TestStartedAnswerIsNotRetried(t *testing.T) {
	s := &servers{own: lost, others: ran, begin: true}
	assert.Equal(t, s.run(request(true)), lost)
	assert.Equal(t, len(s.log), 1)
}

// Story: two agents each think the other idle. What one has placed at the other is not
// passed on.
func TestPlacedRequestIsNotPlacedAgain(t *testing.T) {
	s := &servers{own: shed, others: ran}
	r := request(false)
	r.Placed = true
	assert.Equal(t, s.run(r), shed)
	assert.Equal(t, len(s.log), 1)
}

// Story: a server drains and gives back 100 waiting claims at once, many more than the
// budget for retries. All are placed elsewhere; none was a retry.
func TestAllRequestsOfLeavingServerArePlaced(t *testing.T) {
	s := &servers{own: leaving, others: ran}
	sp := s.spreader()
	for range 100 {
		assert.Equal(t, sp.Run(context.Background(), request(false), nowhere{}, s), ran)
	}
}

// Story: all servers shed. The service must not get three times the load for it.
func TestRetryBudgetBoundsLoad(t *testing.T) {
	s := &servers{own: shed, others: shed}
	sp := s.spreader()
	for range 1000 {
		assert.Equal(t, sp.Run(context.Background(), request(false), nowhere{}, s), shed)
	}
	assert.Assert(t, len(s.log) < 1200, "%d tries", len(s.log))
}

// failing answers 500 at once on the own server and 200 elsewhere.
type failing struct{ own, other int }

func (f *failing) Run(_ context.Context, _ *hand.Request, a hand.Answer) result.Result {
	f.own++
	_ = a.Start(http.StatusInternalServerError, nil)
	return ran
}

func (f *failing) HandOver(_ context.Context, _ netip.AddrPort, _ *hand.Request, a hand.Answer) result.Result {
	f.other++
	_ = a.Start(http.StatusOK, nil)
	return ran
}

// Story: a backend server answers 500 within a millisecond. It always has idle slots, so all its
// agent's callers got 500 for as long as it lasted. After a few, others get the requests.
func TestFailFastServerIsAvoided(t *testing.T) {
	f := &failing{}
	sp := New(place.Self{ID: 1}, f, func() place.Hint { return place.Hint{} })
	sp.SetServers(&docs.Service{Servers: []docs.Server{{ID: 1, Slots: 4}, {ID: 2, Slots: 4}, {ID: 3, Slots: 4}}})
	for range 50 {
		sp.Run(context.Background(), request(false), nowhere{}, f)
	}
	assert.Assert(t, f.own < 10 && f.other > 40, "own %d, others %d", f.own, f.other)
}

// opening hands feeds over; each opens the next one while it is open itself.
type opening struct {
	sp    *Dispatcher
	depth int
	log   []string
}

func (o *opening) Run(_ context.Context, _ *hand.Request, _ hand.Answer) result.Result {
	o.log = append(o.log, "own")
	return ran
}

func (o *opening) HandOver(ctx context.Context, _ netip.AddrPort, r *hand.Request, a hand.Answer) result.Result {
	o.log = append(o.log, "other")
	_ = a.Start(http.StatusOK, nil)
	if o.depth--; o.depth > 0 {
		return o.sp.Run(ctx, &hand.Request{Feed: true, Deadline: r.Deadline}, nowhere{}, o)
	}
	return ran
}

// Story: a full server's agent hands feeds to its peers, where they stay open for hours. They
// hold no slot there, so the tenth one still finds its peers idle, not full.
func TestOpenFeedsDoNotFillPeers(t *testing.T) {
	o := &opening{depth: 10}
	o.sp = New(place.Self{ID: 1}, o, func() place.Hint { return place.Hint{Running: 4, Waiting: 4} })
	o.sp.SetServers(&docs.Service{Servers: []docs.Server{{ID: 1, Slots: 4}, {ID: 2, Slots: 4}, {ID: 3, Slots: 4}}})
	o.sp.Run(context.Background(), &hand.Request{Feed: true, Deadline: time.Now().Add(time.Minute)}, nowhere{}, o)
	assert.Equal(t, strings.Count(strings.Join(o.log, " "), "other"), 10)
}
