package once

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/work/hand"
	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/token"
)

// runs counts what runs at one process.
type runs int

func (n *runs) Run(_ context.Context, r *hand.Request, a hand.Answer) result.Result {
	*n++
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return result.Result{}
	}
	if a.Start(http.StatusOK, http.Header{}) != nil {
		return result.Result{}
	}
	return result.Result{Outcome: result.Ran}
}

// nowhere takes an answer.
type nowhere struct{}

func (nowhere) Start(int, http.Header) error { return nil }

func (nowhere) Write(p []byte) (int, error) { return len(p), nil }

// process is one of two processes at one agent's address.
type process struct {
	guard *Guard
	runs  runs
	hands int // requests passed to it
	other *process
	alive bool
}

func (p *process) HandOver(ctx context.Context, _ netip.AddrPort, r *hand.Request, a hand.Answer) result.Result {
	p.other.hands++
	return p.other.guard.Run(ctx, r, a, &p.other.runs)
}

func (p *process) beside() (Process, bool) {
	return Process{Incarnation: p.other.guard.View().Owner.Incarnation}, p.other.alive
}

func newProcess(t *testing.T, incarnation uint64) *process {
	t.Helper()
	ring, err := token.NewRing("tracing-core", make([]byte, 32))
	assert.NilError(t, err)
	v := &View{Ring: ring, Owner: token.Owner{
		Service: "tracing-core", Server: 1, Incarnation: incarnation,
		Start: time.Now().Add(-time.Minute), Lifetime: token.DefaultLifetime,
	}}
	p := &process{alive: true}
	p.guard = &Guard{View: func() *View { return v }, Outcomes: memo.New(memo.DefaultLimits), Client: p, OtherProcess: p.beside}
	return p
}

func lookup(key string) *hand.Request {
	return &hand.Request{
		Service: "tracing-core", Class: "lookup", Method: "POST", Path: "/lookup/7", Key: key,
		Body: io.NopCloser(strings.NewReader("claim")), Deadline: time.Now().Add(time.Second),
	}
}

// A fund holds a request key when its agent's process is replaced. Its lookup reaches
// the successor, and later once more. The successor used to know nothing of the key
// and said unknown to a lookup that nobody had run. The old process runs it, once.
func TestKeyOutlivesReplacement(t *testing.T) {
	old, successor := newProcess(t, 1), newProcess(t, 2)
	old.other, successor.other = successor, old
	v := old.guard.View()
	key := v.Ring.Seal(v.Owner.Issue(time.Now().Add(-time.Second), 7))
	for range 2 {
		end := successor.guard.Run(t.Context(), lookup(key), nowhere{}, &successor.runs)
		assert.Equal(t, end.Outcome, result.Ran)
	}
	assert.Equal(t, old.runs, runs(1))
	assert.Equal(t, successor.runs, runs(0))
	old.alive = false
	end := successor.guard.Run(t.Context(), lookup(key), nowhere{}, &successor.runs)
	assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.OwnerUnavailable})
}

// A key of a third process, long gone, must not travel between the two.
func TestKeyOfNeitherProcessIsAnsweredHere(t *testing.T) {
	old, successor := newProcess(t, 1), newProcess(t, 2)
	old.other, successor.other = successor, old
	third := newProcess(t, 3).guard.View()
	key := third.Ring.Seal(third.Owner.Issue(time.Now(), 7))
	end := successor.guard.Run(t.Context(), lookup(key), nowhere{}, &successor.runs)
	assert.Equal(t, end.Outcome, result.Unknown)
	assert.Equal(t, old.hands+successor.hands, 0)
	assert.Equal(t, old.runs+successor.runs, runs(0))
}
