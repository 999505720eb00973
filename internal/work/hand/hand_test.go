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

// Checks that a lookup, and an upload of several windows, are answered completely, and that their
// link is reused.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := newPair(t)
		for _, size := range []int{0, 10, 40 * partSize} {
			r, a := claim("/upload"), &answerBuffer{}
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

// Guards against a second run or a false outcome when the link breaks during a hand-over, at any
// byte of the exchange and in either direction. The caller must get "ran" with the whole answer,
// "not run" only if the server never got the claim, and "unknown" otherwise.
func TestLinkLostAtEachStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := map[result.Outcome]int{}
		for _, again := range []bool{true, false} {
			for at := range 700 {
				for _, first := range []cut{{at, -1}, {-1, at}} {
					c, f, n := newPair(t)
					n.cuts = []cut{first}
					if !again { // the queries fail too
						for range 2 * maxQueries {
							n.cuts = append(n.cuts, cut{0, 0})
						}
					}
					r, a := claim("/claim/7"), &answerBuffer{}
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
						assert.Equal(t, runs, 0, "%v: returned %v", first, end)
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

// Guards against running a claim after "not run" was returned for it. A link breaks with the claim
// still unread at the receiver. The sender queries the outcome on a new link, gets "not run" and
// places the claim elsewhere; then the receiver reads the old link.
func TestOldLinkIsReadAfterTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := newPair(t)
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/warm"), &answerBuffer{}), ran)
		synctest.Wait()
		release := n.hold()
		go func() {
			time.Sleep(100 * time.Millisecond)
			n.links[0].Break()
		}()
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), &answerBuffer{}), notRun(result.PeerUnreachable))
		assert.Equal(t, len(n.links), 2)
		release()
		time.Sleep(time.Second)
		assert.Equal(t, f.runs("/claim/7"), 0)
	})
}

// Guards against "not run" from a receiver that restarted right after it had run the claim. It is
// back at the same address with an empty store when it is queried.
func TestReceiverRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := newPair(t)
		f.handle = func(_ context.Context, r *Request, _ Answer) result.Result {
			f.log(r.Path)
			n.replace(newReceiver(t, "tracing-core", 2))
			n.cutAll()
			time.Sleep(time.Minute) // the old process never answers
			return unknown(result.CallerGone)
		}
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), &answerBuffer{}), unknown(result.PeerUnreachable))
		assert.Equal(t, f.runs("/claim/7"), 1)
		assert.Equal(t, n.receiver.runs("/claim/7"), 0)
	})
}

// Guards against an unknown outcome when a link breaks while its agent is being replaced. The
// successor listens at the same address and accepts the connection of the query, but only the old
// process knows the outcome. The sender must reach the old process.
func TestQuestionFindsTheProcessBesideItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := newPair(t)
		successor := newReceiver(t, "tracing-core", 2)
		f.handle = func(ctx context.Context, r *Request, a Answer) result.Result {
			_, _ = io.ReadAll(r.Body)
			n.nextReceivers = []*receiver{successor, successor, f}
			n.cutAll()
			return f.echo(ctx, r, a)
		}
		a := &answerBuffer{}
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), a), ran)
		assert.Equal(t, a.got(), "/claim/7 ")
		assert.Equal(t, f.runs("/claim/7")+successor.runs("/claim/7"), 1)
	})
}

// Guards against a slot that stays occupied until the deadline when a caller disconnects while its
// lookup runs at another agent. The receiver must cancel the lookup immediately.
func TestCancelTravels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, _ := newPair(t)
		freed := make(chan error, 1)
		f.handle = func(ctx context.Context, _ *Request, _ Answer) result.Result {
			<-ctx.Done()
			freed <- context.Cause(ctx)
			return unknown(result.CallerGone)
		}
		ctx, disconnect := context.WithCancel(t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			disconnect()
		}()
		r := claim("/claim/7")
		r.Body = strings.NewReader(strings.Repeat("x", 100*partSize)) // never read
		assert.Equal(t, c.HandOver(ctx, address, r, &answerBuffer{}), unknown(result.CallerGone))
		synctest.Wait()
		assert.ErrorIs(t, <-freed, errCancelled)
		assert.Assert(t, time.Now().Before(r.Deadline))
	})
}

// Guards against an unknown outcome when a link breaks while a claim runs. The receiver must not
// cancel the claim, and the query must return its answer.
func TestLostLinkDoesNotCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := newPair(t)
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
		a := &answerBuffer{}
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), a), ran)
		assert.Equal(t, a.got(), "/claim/7 ")
		assert.Equal(t, f.runs("/claim/7"), 1)
	})
}

// Guards against a wrong deadline when the clocks of two agents differ. The deadline is transferred
// as time left, and must be earlier at the receiver by exactly HopMargin.
func TestDeadlineShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, _ := newPair(t)
		f.server.Start = time.Now().Add(-1000 * time.Hour) // a clock that differs from the sender's
		var far time.Time
		f.handle = func(ctx context.Context, r *Request, a Answer) result.Result {
			far = r.Deadline
			return f.echo(ctx, r, a)
		}
		r := claim("/claim/7")
		assert.Equal(t, c.HandOver(t.Context(), address, r, &answerBuffer{}), ran)
		assert.Equal(t, far, r.Deadline.Add(-HopMargin))
	})
}

// Guards against running an expired claim. A receiver is paused with the claim in its socket
// buffer, the caller gets "unknown" at its deadline and opens the case by other means. The receiver
// then resumes and reads the claim, whose message states 2 s left.
func TestFrozenReceiverWakesAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := newPair(t)
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/warm"), &answerBuffer{}), ran)
		synctest.Wait()
		release := n.hold()
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), &answerBuffer{}), unknown(result.Expired))
		time.Sleep(time.Minute)
		release()
		time.Sleep(time.Minute)
		assert.Equal(t, f.runs("/claim/7"), 0)
	})
}

// Guards against running a request at another service: an agent's instance has been assigned to
// another service while a peer still uses its address.
func TestOtherServiceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, n := newPair(t)
		n.receiver = newReceiver(t, "doc-intake", 7)
		assert.Equal(t, c.HandOver(t.Context(), address, claim("/claim/7"), &answerBuffer{}), notRun(result.PeerUnreachable))
		assert.Equal(t, n.receiver.runs("/claim/7"), 0)
	})
}

// Guards against messages from a process that does not belong to the service. It hands over a
// claim, or queries an ID in order to block it. Nothing may run, and no ID may be blocked.
func TestForgedMessagesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, f, n := newPair(t)
		forger := NewClient("tracing-core", newRing(t, "fedcba9876543210"), n.dial, nil)
		end := forger.HandOver(t.Context(), address, claim("/claim/7"), &answerBuffer{})
		assert.Equal(t, end, notRun(result.OtherService))
		assert.Equal(t, f.runs("/claim/7"), 0)
		ring := newRing(t, "0123456789abcdef")()
		sealed, err := seal(ring, headPurpose, &wire.Head{Path: "/claim/7"})
		assert.NilError(t, err)
		assert.ErrorIs(t, unseal(ring, queryPurpose, sealed, &wire.Question{}), errForged)
		sealed.Message[0] ^= 1
		assert.ErrorIs(t, unseal(ring, headPurpose, sealed, &wire.Head{}), errForged)
	})
}

// Guards against a feed whose parts are held back, or that is cut at its deadline. The deadline of
// a feed applies to the first byte only; each part must reach the caller as soon as it is written.
func TestFeedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, _ := newPair(t)
		f.handle = func(_ context.Context, _ *Request, a Answer) result.Result {
			assert.NilError(t, a.Start(http.StatusOK, nil))
			for range 3 {
				time.Sleep(time.Hour)
				_, err := a.Write([]byte("event\n"))
				assert.NilError(t, err)
			}
			return ran
		}
		r, a := claim("/feed"), &answerBuffer{wrote: make(chan struct{}, 3)}
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

// Guards against a claim that circulates between agents that each consider another one idle.
func TestHopsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, _ := newPair(t)
		r := claim("/claim/7")
		r.Hops = MaxHops
		assert.Equal(t, c.HandOver(t.Context(), address, r, &answerBuffer{}), notRun(result.TooManyHops))
		assert.Equal(t, f.runs("/claim/7"), 0)
	})
}

// Guards against a partly consumed body after a peer refused a request or could not be reached. The
// request must remain replayable, so that it can be placed elsewhere.
func TestUnreachedPeerLeavesTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f, n := newPair(t)
		f.handle = func(context.Context, *Request, Answer) result.Result { return notRun(result.QueueFull) }
		form := strings.Repeat("form", 100*partSize)
		b := NewBody(strings.NewReader(form))
		r := claim("/upload")
		r.Body = b.Reader()
		assert.Equal(t, c.HandOver(t.Context(), address, r, &answerBuffer{}), notRun(result.QueueFull))
		assert.Assert(t, b.CanReplay())

		synctest.Wait()
		c.Retain(nil)
		n.replace(nil)
		r = claim("/upload")
		r.Body = b.Reader()
		assert.Equal(t, c.HandOver(t.Context(), address, r, &answerBuffer{}), notRun(result.PeerUnreachable))
		assert.Assert(t, b.CanReplay())

		n.replace(newReceiver(t, "tracing-core", 3))
		r, a := claim("/upload"), &answerBuffer{}
		r.Body = b.Reader()
		assert.Equal(t, c.HandOver(t.Context(), address, r, a), ran)
		assert.Equal(t, len(a.got()), len("/upload ")+len(form))
		assert.Assert(t, !b.CanReplay())
	})
}

// Guards against cutting a feed at the deadline for its first byte although the byte has arrived.
// This happened when the other agent's server answered immediately: the sender started to listen
// for the start of the answer only after the start had been delivered, and missed it.
func TestAnswerStartsBeforeListener(t *testing.T) {
	s := &resumableAnswer{answer: &answerBuffer{}}
	assert.NilError(t, s.deliver(&wire.Down{Part: &wire.Down_Start{Start: &wire.Start{Status: http.StatusOK}}}))
	select {
	case <-s.startDelivered():
	default:
		t.Fatal("no notification that the answer has started")
	}
}
