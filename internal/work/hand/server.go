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

// Server receives requests from other agents. Its fields must be set before Register.
type Server struct {
	Service     string
	Incarnation uint64
	Start       time.Time          // start of the process, with its monotonic reading
	Ring        func() *token.Ring // of the document in force
	Runner      Runner
	Outcomes    *memo.Store       // by ID; not the store that is used for request keys
	Load        func() place.Hint // load of this agent's server, sent with each end; may be nil
}

func (s *Server) load() *wire.Load {
	if s.Load == nil {
		return nil
	}
	return encodeLoad(s.Load())
}

// Register registers the server on the process's mux.
func Register(mux drpc.Mux, s *Server) error {
	return errors.Wrap(wire.DRPCRegisterHand(mux, s), "register hand service")
}

// Greet implements the drpc service. It returns the identity, the clock and the load of this
// process.
func (s *Server) Greet(context.Context, *wire.Greeting) (*wire.Greeted, error) {
	return &wire.Greeted{
		Service:     s.Service,
		Incarnation: s.Incarnation,
		Clock:       uint64(time.Since(s.Start).Microseconds()),
		Load:        s.load(),
	}, nil
}

// deadline decodes a received deadline. It subtracts the time that the message spent in buffers
// here or in transit, which follows only from the sender's estimate of this process's clock. A
// process that was paused must not start work that nobody waits for any longer.
func (s *Server) deadline(now time.Time, t *wire.Time) time.Time {
	clock := now.Sub(s.Start)
	delay := max(clock-fromMicros(t.GetSent()), 0)
	return now.Add(fromMicros(t.GetLeft()) - delay)
}

func fromMicros(n uint64) time.Duration {
	const day = uint64(24 * time.Hour / time.Microsecond)
	return time.Duration(min(n, 10000*day)) * time.Microsecond
}

// Run implements the drpc service. It handles one request.
func (s *Server) Run(stream wire.DRPCHand_RunStream) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	answer := &answerSender{stream: stream, server: s}
	head := &wire.Head{}
	if err := unseal(s.Ring(), headPurpose, up.GetHead(), head); err != nil {
		// During a key rotation two agents may briefly have no key in common. The sender gets a
		// proof that nothing ran; after an error it would have to query the outcome.
		_ = s.countRefused(err)
		return answer.sendEnd(notRun(result.OtherService), false)
	}
	r, err := decodeHead(head)
	if err != nil {
		return s.countRefused(err)
	}
	now := time.Now()
	r.Deadline = s.deadline(now, head.Time)
	end := s.reject(now, r, head.Incarnation)
	if end != nil {
		return answer.sendEnd(*end, false)
	}
	if r.Idempotent {
		return answer.sendEnd(s.run(stream, r, answer), true)
	}

	switch d := s.Outcomes.Begin(now, memo.Call{ID: r.ID, Head: r.headDigest(), Until: s.retainUntil(r)}); d.Verdict {
	case memo.Run:
		return answer.sendEnd(s.runOnce(stream, r, answer), true)
	case memo.Refused:
		return answer.sendEnd(d.Result, false)
	default:
		event("repeated", s.Service)
		return answer.replay(stream.Context(), d.Record)
	}
}

// countRefused counts a message that can't be accepted and returns its error.
func (s *Server) countRefused(err error) error {
	if errors.Is(err, errForged) {
		event("forged", s.Service)
	} else {
		event("damaged", s.Service)
	}
	return err
}

// retainUntil returns when the record of an ID may be evicted. A feed ends long after its deadline,
// but its outcome is not queried once its first byte has arrived.
func (s *Server) retainUntil(r *Request) time.Time {
	if r.Feed {
		return r.Deadline.Add(FeedRetention)
	}
	return r.Deadline
}

// reject returns the result of a request that must not run here, or nil.
func (s *Server) reject(now time.Time, r *Request, incarnation uint64) *result.Result {
	var end result.Result
	switch {
	case r.Service != s.Service:
		// The address of a server has been assigned to another service. The request must not run
		// here.
		end = notRun(result.OtherService)
	case incarnation != s.Incarnation:
		// The request was sent to the previous process at this address. It has not run here, and
		// its sender has sent this head only once.
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

// runOnce runs a request and records its outcome. The outcome is recorded before it is sent, so
// that a query finds it as soon as the sender has received it or the link has broken. If the runner
// panics, the outcome is unknown.
func (s *Server) runOnce(stream wire.DRPCHand_RunStream, r *Request, answer *answerSender) (end result.Result) {
	outcome := memo.Outcome{}
	defer func() { s.Outcomes.Finish(time.Now(), r.ID, outcome) }()
	answer.recorder = memo.NewRecorder(s.Outcomes.AnswerLimit())
	end = s.run(stream, r, answer)
	outcome.Result = end
	if end.Outcome == result.Ran {
		outcome.Answer = answer.recorder.Answer()
	}
	return end
}

func (s *Server) run(stream wire.DRPCHand_RunStream, r *Request, answer *answerSender) result.Result {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(stream.Context()))
	defer cancel(nil)
	if !r.Feed {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, r.Deadline)
		defer stop()
	}
	answer.ctx = ctx
	up := newUploadReader(stream, answer)
	r.Body = up
	go func() {
		cause := up.receive()
		// The sender queries this process for the outcome of a request that may run only once. A
		// broken link alone therefore does not cancel such a request, but its deadline does.
		if errors.Is(cause, errLinkBroken) && !r.Idempotent && !r.Feed {
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

// Ask implements the drpc service. It returns the outcome recorded for an ID.
func (s *Server) Ask(sealed *wire.Sealed, stream wire.DRPCHand_AskStream) error {
	answer := &answerSender{stream: stream, server: s, ctx: stream.Context()}
	q := &wire.Question{}
	if err := unseal(s.Ring(), queryPurpose, sealed, q); err != nil {
		_ = s.countRefused(err)
		return answer.sendEnd(unknown(result.OtherService), false)
	}
	event("asked", s.Service)
	if q.Incarnation != s.Incarnation {
		return answer.sendEnd(unknown(result.PeerUnreachable), false)
	}
	if len(q.Id) != idSize || q.Time == nil {
		return s.countRefused(errors.New("query with an ID of wrong length or without a deadline"))
	}
	now := time.Now()
	d := s.Outcomes.Query(now, string(q.Id), s.deadline(now, q.Time))
	if d.Verdict == memo.Refused {
		return answer.sendEnd(d.Result, false)
	}
	return answer.replay(stream.Context(), d.Record)
}
