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

// countingRunner counts the requests that run in one process.
type countingRunner int

func (n *countingRunner) Run(_ context.Context, r *hand.Request, a hand.Answer) result.Result {
	*n++
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return result.Result{}
	}
	if a.Start(http.StatusOK, http.Header{}) != nil {
		return result.Result{}
	}
	return result.Result{Outcome: result.Ran}
}

// discardAnswer discards an answer.
type discardAnswer struct{}

func (discardAnswer) Start(int, http.Header) error { return nil }

func (discardAnswer) Write(p []byte) (int, error) { return len(p), nil }

// process is one of two processes at one agent's address.
type process struct {
	guard     *Guard
	runs      countingRunner
	handOvers int // requests handed over to the other process
	other     *process
	alive     bool
}

func (p *process) HandOver(ctx context.Context, _ netip.AddrPort, r *hand.Request, a hand.Answer) result.Result {
	p.other.handOvers++
	return p.other.guard.Run(ctx, r, a, &p.other.runs)
}

func (p *process) otherProcess() (Process, bool) {
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
	p.guard = &Guard{View: func() *View { return v }, Outcomes: memo.New(memo.DefaultLimits), Client: p, OtherProcess: p.otherProcess}
	return p
}

func newLookup(key string) *hand.Request {
	return &hand.Request{
		Service: "tracing-core", Class: "lookup", Method: "POST", Path: "/lookup/7", Key: key,
		Body: io.NopCloser(strings.NewReader("claim")), Deadline: time.Now().Add(time.Second),
	}
}

// Guards against a successor that returns unknown for a key of its predecessor. A caller gets a
// request key from an agent whose process is then replaced, and sends its lookup, and a repeat, to
// the successor. The successor doesn't know the key; the old process must run the lookup, exactly
// once. After the old process has terminated, the outcome is unknown.
func TestKeyOutlivesReplacement(t *testing.T) {
	old, successor := newProcess(t, 1), newProcess(t, 2)
	old.other, successor.other = successor, old
	v := old.guard.View()
	key := v.Ring.Seal(v.Owner.Issue(time.Now().Add(-time.Second), 7))
	for range 2 {
		end := successor.guard.Run(t.Context(), newLookup(key), discardAnswer{}, &successor.runs)
		assert.Equal(t, end.Outcome, result.Ran)
	}
	assert.Equal(t, old.runs, countingRunner(1))
	assert.Equal(t, successor.runs, countingRunner(0))
	old.alive = false
	end := successor.guard.Run(t.Context(), newLookup(key), discardAnswer{}, &successor.runs)
	assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.OwnerUnavailable})
}

// Guards against handing over a key of a third process, long terminated, from one process to the
// other.
func TestKeyOfNeitherProcessIsAnsweredHere(t *testing.T) {
	old, successor := newProcess(t, 1), newProcess(t, 2)
	old.other, successor.other = successor, old
	third := newProcess(t, 3).guard.View()
	key := third.Ring.Seal(third.Owner.Issue(time.Now(), 7))
	end := successor.guard.Run(t.Context(), newLookup(key), discardAnswer{}, &successor.runs)
	assert.Equal(t, end.Outcome, result.Unknown)
	assert.Equal(t, old.handOvers+successor.handOvers, 0)
	assert.Equal(t, old.runs+successor.runs, countingRunner(0))
}
