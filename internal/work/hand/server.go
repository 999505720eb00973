package hand

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"mangowinch/internal/load/place"
	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/token"
	"mangowinch/internal/work/wire"
)

// Server takes requests from other agents. Its fields are set before Register.
type Server struct {
	Service     string
	Incarnation uint64
	Start       time.Time          // of the process, with its monotonic reading
	Ring        func() *token.Ring // of the document in force
	Runner      Runner
	Outcomes    *memo.Store       // of IDs; another one than that of request keys
	Load        func() place.Hint // of the own server, told with each end; nil: nothing is told
}

func (s *Server) load() *wire.Load {
	if s.Load == nil {
		return nil
	}
	return encodeLoad(s.Load())
}

// Register puts the server on the process's mux.
func Register(mux drpc.Mux, s *Server) error {
	return errors.Wrap(wire.DRPCRegisterHand(mux, s), "register hand service")
}

// Greet implements the drpc service.
func (s *Server) Greet(context.Context, *wire.Greeting) (*wire.Greeted, error) {
	return &wire.Greeted{
		Service:     s.Service,
		Incarnation: s.Incarnation,
		Clock:       uint64(time.Since(s.Start).Microseconds()),
		Load:        s.load(),
	}, nil
}

// deadline reads a deadline as it arrives. What the message lay in buffers, here or
// on its way, is taken off: a process that was frozen must not start work that
// nobody waits for, and only the sender's note of this clock tells how long that was.
func (s *Server) deadline(now time.Time, t *wire.Time) time.Time {
	clock := now.Sub(s.Start)
	delay := max(clock-micros(t.GetSent()), 0)
	return now.Add(micros(t.GetLeft()) - delay)
}

func micros(n uint64) time.Duration {
	const day = uint64(24 * time.Hour / time.Microsecond)
	return time.Duration(min(n, 10000*day)) * time.Microsecond
}

// Run implements the drpc service: one request.
func (s *Server) Run(stream wire.DRPCHand_RunStream) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	answer := &downAnswer{stream: stream, server: s}
	head := &wire.Head{}
	if err := unseal(s.Ring(), headSeal, up.GetHead(), head); err != nil {
		// While keys are rotated two agents may not have one in common for a moment. The
		// sender needs a proof that nothing ran; with an error it would have to ask.
		_ = s.refuse(err)
		return answer.end(notRun(result.OtherService), false)
	}
	r, err := decodeHead(head)
	if err != nil {
		return s.refuse(err)
	}
	now := time.Now()
	r.Deadline = s.deadline(now, head.Time)
	end := s.accept(now, r, head.Incarnation)
	if end != nil {
		return answer.end(*end, false)
	}
	if r.Idempotent {
		return answer.end(s.run(stream, r, answer), true)
	}

	switch d := s.Outcomes.Begin(now, memo.Call{ID: r.ID, Head: r.digest(), Until: s.until(r)}); d.Verdict {
	case memo.Run:
		return answer.end(s.runOnce(stream, r, answer), true)
	case memo.Refused:
		return answer.end(d.Result, false)
	default:
		event("repeated", s.Service)
		return answer.replay(stream.Context(), d.Record)
	}
}

// refuse counts a message that can't be taken and gives its error.
func (s *Server) refuse(err error) error {
	if errors.Is(err, errForged) {
		event("forged", s.Service)
	} else {
		event("damaged", s.Service)
	}
	return err
}

// until is when an ID may be forgotten. The outcome of a feed is settled long after
// its deadline, but nobody asks once its first byte is there.
func (s *Server) until(r *Request) time.Time {
	if r.Feed {
		return r.Deadline.Add(FeedRetention)
	}
	return r.Deadline
}

// accept gives the end of a request that may not be run here, or nil.
func (s *Server) accept(now time.Time, r *Request, incarnation uint64) *result.Result {
	var end result.Result
	switch {
	case r.Service != s.Service:
		// A server's address that was given to another service: never run here.
		end = notRun(result.OtherService)
	case incarnation != s.Incarnation:
		// Meant for the process before this one. Nothing was run here, and the sender
		// has sent this head once only.
		end = notRun(result.PeerUnreachable)
	case r.Hops > MaxHops:
		end = notRun(result.TooManyHops)
	case r.Expired(now):
		end = notRun(result.Expired)
	default:
		return nil
	}
	return &end
}

// runOnce runs a request whose outcome is remembered. The outcome is recorded before
// it is sent: once the sender has it, or the link breaks, a question finds it. If the
// runner panics the outcome is unknown.
func (s *Server) runOnce(stream wire.DRPCHand_RunStream, r *Request, answer *downAnswer) (end result.Result) {
	outcome := memo.Outcome{}
	defer func() { s.Outcomes.Finish(time.Now(), r.ID, outcome) }()
	answer.keeper = memo.NewRecorder(s.Outcomes.AnswerLimit())
	end = s.run(stream, r, answer)
	outcome.Result = end
	if end.Outcome == result.Ran {
		outcome.Answer = answer.keeper.Answer()
	}
	return end
}

func (s *Server) run(stream wire.DRPCHand_RunStream, r *Request, answer *downAnswer) result.Result {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(stream.Context()))
	defer cancel(nil)
	if !r.Feed {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, r.Deadline)
		defer stop()
	}
	answer.ctx = ctx
	up := newUpload(stream, answer)
	r.Body = up
	go func() {
		cause := up.receive()
		// The sender asks here for the outcome of what may run only once, so a broken
		// link alone does not end it; its deadline does.
		if errors.Is(cause, errLinkLost) && !r.Idempotent && !r.Feed {
			event("detached", s.Service)
			return
		}
		if cause != nil {
			cancel(cause)
		}
	}()
	end := s.Runner.Run(ctx, r, answer)
	count("ends", s.Service, "far", end)
	return end
}

// Ask implements the drpc service: what became of an ID.
func (s *Server) Ask(sealed *wire.Sealed, stream wire.DRPCHand_AskStream) error {
	answer := &downAnswer{stream: stream, server: s, ctx: stream.Context()}
	q := &wire.Question{}
	if err := unseal(s.Ring(), questionSeal, sealed, q); err != nil {
		_ = s.refuse(err)
		return answer.end(unknown(result.OtherService), false)
	}
	event("asked", s.Service)
	if q.Incarnation != s.Incarnation {
		return answer.end(unknown(result.PeerUnreachable), false)
	}
	if len(q.Id) != idSize || q.Time == nil {
		return s.refuse(errors.New("question without ID or deadline"))
	}
	now := time.Now()
	d := s.Outcomes.Query(now, string(q.Id), s.deadline(now, q.Time))
	if d.Verdict == memo.Refused {
		return answer.end(d.Result, false)
	}
	return answer.replay(stream.Context(), d.Record)
}
