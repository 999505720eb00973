package hand

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/work/result"
	"mangowinch/internal/work/wire"
)

var ran = result.Result{Outcome: result.Ran}

// A lookup, and an upload of several windows, come back whole; links are used again.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := world(t)
		for _, size := range []int{0, 10, 40 * partSize} {
			r, a := claim("/upload"), &taker{}
			body := bytes.Repeat([]byte("x"), size)
			r.Body = bytes.NewReader(body)
			assert.Equal(t, c.HandOver(t.Context(), address, r, a), ran)
			assert.Equal(t, a.got(), "/upload "+string(body))
			synctest.Wait()
		}
		assert.Equal(t, f.runs("/upload"), 3)
		assert.Equal(t, len(n.links), 1)
	})
}

// Story: the link to the agent that a claim was handed to breaks, at any byte of the
// exchange, in either direction. The caller is told what is true: "ran" with the whole
// answer, "not run" only if the server never saw it, else "unknown"; never two runs.
func TestLinkLostAtEachStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := map[result.Outcome]int{}
		for _, again := range []bool{true, false} {
			for at := range 700 {
				for _, first := range []cut{{at, -1}, {-1, at}} {
					c, f, n := world(t)
					n.cuts = []cut{first}
					if !again { // the questions fail too
						for range 2 * askTries {
							n.cuts = append(n.cuts, cut{0, 0})
						}
					}
					r, a := claim("/claim/7"), &taker{}
					r.Body = strings.NewReader(strings.Repeat("form", 20))
					end := c.HandOver(t.Context(), address, r, a)
					time.Sleep(3 * time.Second)
					synctest.Wait()

					runs := f.runs("/claim/7")
					ends[end.Outcome]++
					assert.Assert(t, runs <= 1, "%v: %d runs", first, runs)
					switch end.Outcome {
					case result.Ran:
						assert.Equal(t, a.got(), "/claim/7 "+strings.Repeat("form", 20))
					case result.NotRun:
						assert.Equal(t, runs, 0, "%v: said %v", first, end)
					case result.Unknown:
						assert.Assert(t, !again, "%v: unknown although the receiver answers", first)
					}
				}
			}
		}
		t.Log(ends)
		assert.Equal(t, len(ends), 3)
	})
}

// Story: a link breaks with a claim still unread at the receiver. The sender asks on a new
// link, hears "not run" and places the claim elsewhere; then the receiver reads the
// old link. It must not run it.
func TestOldLinkIsReadAfterTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := world(t)
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/warm"), &taker{}), ran)
		synctest.Wait()
		release := n.hold()
		go func() {
			time.Sleep(100 * time.Millisecond)
			n.links[0].Break()
		}()
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), &taker{}), notRun(result.PeerUnreachable))
		assert.Equal(t, len(n.links), 2)
		release()
		time.Sleep(time.Second)
		assert.Equal(t, f.runs("/claim/7"), 0)
	})
}

// Story: the receiver restarts right after it ran a claim. It comes back at the same
// address with an empty memory: asked about the ID it must not say "not run".
func TestReceiverRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := world(t)
		f.handle = func(_ context.Context, r *Request, _ Answer) result.Result {
			f.log(r.Path)
			n.replace(newFar(t, "tracing-core", 2))
			n.cutAll()
			time.Sleep(time.Minute) // the old process never gets to answer
			return unknown(result.CallerGone)
		}
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), &taker{}), unknown(result.PeerUnreachable))
		assert.Equal(t, f.runs("/claim/7"), 1)
		assert.Equal(t, n.far.runs("/claim/7"), 0)
	})
}

// Story: an agent is being replaced when the link to it breaks. Its successor has the same
// address and gets the question's connection. The old process still knows; it is found.
func TestQuestionFindsTheProcessBesideItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := world(t)
		successor := newFar(t, "tracing-core", 2)
		f.handle = func(ctx context.Context, r *Request, a Answer) result.Result {
			_, _ = io.ReadAll(r.Body)
			n.turns = []*far{successor, successor, f}
			n.cutAll()
			return f.echo(ctx, r, a)
		}
		a := &taker{}
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), a), ran)
		assert.Equal(t, a.got(), "/claim/7 ")
		assert.Equal(t, f.runs("/claim/7")+successor.runs("/claim/7"), 1)
	})
}

// Story: a caller hangs up while its lookup runs at another agent. The far server's slot
// must be free at once, not at the deadline.
func TestCancelTravels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, _ := world(t)
		freed := make(chan error, 1)
		f.handle = func(ctx context.Context, _ *Request, _ Answer) result.Result {
			<-ctx.Done()
			freed <- context.Cause(ctx)
			return unknown(result.CallerGone)
		}
		ctx, hangUp := context.WithCancel(t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			hangUp()
		}()
		r := claim("/claim/7")
		r.Body = strings.NewReader(strings.Repeat("x", 100*partSize)) // nobody reads it
		assert.Equal(t, c.HandOver(ctx, address, r, &taker{}), unknown(result.CallerGone))
		synctest.Wait()
		assert.ErrorIs(t, <-freed, errCancelled)
		assert.Assert(t, time.Now().Before(r.Deadline))
	})
}

// Story: a link breaks while a claim runs. Cancelling it would make the outcome
// unknown; it runs on, and the question gets the answer.
func TestLostLinkDoesNotCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := world(t)
		f.handle = func(ctx context.Context, r *Request, a Answer) result.Result {
			_, _ = io.ReadAll(r.Body)
			n.cutAll()
			select {
			case <-ctx.Done():
				return unknown(result.CallerGone)
			case <-time.After(time.Second):
			}
			return f.echo(ctx, r, a)
		}
		a := &taker{}
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), a), ran)
		assert.Equal(t, a.got(), "/claim/7 ")
		assert.Equal(t, f.runs("/claim/7"), 1)
	})
}

// Story: two agents' clocks are apart and a hop takes time. The deadline crosses as time
// left: the far side's is earlier than the near side's, by the margin and no more.
func TestDeadlineShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, _ := world(t)
		f.server.Start = time.Now().Add(-1000 * time.Hour) // its clock shows something else
		var far time.Time
		f.handle = func(ctx context.Context, r *Request, a Answer) result.Result {
			far = r.Deadline
			return f.echo(ctx, r, a)
		}
		r := claim("/claim/7")
		assert.Equal(t, c.HandOver(t.Context(), address, r, &taker{}), ran)
		assert.Equal(t, far, r.Deadline.Add(-HopMargin))
	})
}

// Story: an agent is frozen with a claim in its socket buffer; the caller was answered
// "unknown" at its deadline and has opened the case by telephone. The agent wakes and
// reads the claim, which says "2 s left". It must not run.
func TestFrozenReceiverWakesAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := world(t)
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/warm"), &taker{}), ran)
		synctest.Wait()
		wake := n.hold()
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), &taker{}), unknown(result.Expired))
		time.Sleep(time.Minute)
		wake()
		time.Sleep(time.Minute)
		assert.Equal(t, f.runs("/claim/7"), 0)
	})
}

// Story: an agent's instance is given to another service while a peer still has its
// address. The request must not run there.
func TestOtherServiceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, n := world(t)
		n.far = newFar(t, "doc-intake", 7)
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), &taker{}), notRun(result.PeerUnreachable))
		assert.Equal(t, n.far.runs("/claim/7"), 0)
	})
}

// Story: somebody who is no process of the service reaches an agent's address and hands
// over a claim, or asks about one so that it is barred. Nothing runs and nothing is barred.
func TestForgedMessagesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, f, n := world(t)
		stranger := NewClient("tracing-core", ringOf(t, "fedcba9876543210"), n.dial, nil)
		end := stranger.HandOver(t.Context(), address, claim("/claim/7"), &taker{})
		assert.Equal(t, end, notRun(result.OtherService))
		assert.Equal(t, f.runs("/claim/7"), 0)
		ring := ringOf(t, "0123456789abcdef")()
		sealed, err := seal(ring, headSeal, &wire.Head{Path: "/claim/7"})
		assert.NilError(t, err)
		assert.ErrorIs(t, unseal(ring, questionSeal, sealed, &wire.Question{}), errForged)
		sealed.Message[0] ^= 1
		assert.ErrorIs(t, unseal(ring, headSeal, sealed, &wire.Head{}), errForged)
	})
}

// Story: a feed's parts must reach the caller as they are written, for long after the
// deadline, which is that of the first byte.
func TestFeedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, _ := world(t)
		f.handle = func(_ context.Context, _ *Request, a Answer) result.Result {
			assert.NilError(t, a.Start(http.StatusOK, nil))
			for range 3 {
				time.Sleep(time.Hour)
				_, err := a.Write([]byte("event\n"))
				assert.NilError(t, err)
			}
			return ran
		}
		r, a := claim("/feed"), &taker{wrote: make(chan struct{}, 3)}
		r.Feed, r.Idempotent = true, true
		start := time.Now()
		done := make(chan result.Result, 1)
		go func() { done <- c.HandOver(t.Context(), address, r, a) }()
		<-a.wrote
		assert.Equal(t, time.Since(start), time.Hour)
		assert.Equal(t, <-done, ran)
		assert.Equal(t, a.got(), "event\nevent\nevent\n")
	})
}

// Story: a claim is sent round between agents that each think another is idle.
func TestHopsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, _ := world(t)
		r := claim("/claim/7")
		r.Hops = MaxHops
		assert.Equal(t, c.HandOver(t.Context(), address, r, &taker{}), notRun(result.TooManyHops))
		assert.Equal(t, f.runs("/claim/7"), 0)
	})
}

// Story: a peer is dead: nothing was sent, so the request may be placed elsewhere, and
// its body is still whole.
func TestUnreachedPeerLeavesTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := world(t)
		f.handle = func(context.Context, *Request, Answer) result.Result { return notRun(result.QueueFull) }
		form := strings.Repeat("form", 100*partSize)
		b := NewBody(strings.NewReader(form))
		r := claim("/upload")
		r.Body = b.Reader()
		assert.Equal(t, c.HandOver(t.Context(), address, r, &taker{}), notRun(result.QueueFull))
		assert.Assert(t, b.CanReplay())

		synctest.Wait()
		c.Retain(nil)
		n.replace(nil)
		r = claim("/upload")
		r.Body = b.Reader()
		assert.Equal(t, c.HandOver(t.Context(), address, r, &taker{}), notRun(result.PeerUnreachable))
		assert.Assert(t, b.CanReplay())

		n.replace(newFar(t, "tracing-core", 3))
		r, a := claim("/upload"), &taker{}
		r.Body = b.Reader()
		assert.Equal(t, c.HandOver(t.Context(), address, r, a), ran)
		assert.Equal(t, len(a.got()), len("/upload ")+len(form))
		assert.Assert(t, !b.CanReplay())
	})
}

// Story: a feed is handed to another agent, whose server answers at once. The feed was
// cut at the deadline for its first byte, though it had come: the sender began to
// listen for the start after it had been delivered, and never heard of it.
func TestAnswerStartsBeforeListener(t *testing.T) {
	s := &resume{answer: &taker{}}
	assert.NilError(t, s.take(&wire.Down{Part: &wire.Down_Start{Start: &wire.Start{Status: http.StatusOK}}}))
	select {
	case <-s.begun():
	default:
		t.Fatal("the start was not told")
	}
}
