package hand

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangowinch/internal/load/place"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/token"
	"mangowinch/internal/work/wire"
)

var outcomes = map[result.Outcome]wire.Outcome{
	result.Unknown: wire.Outcome_UNKNOWN,
	result.Ran:     wire.Outcome_RAN,
	result.NotRun:  wire.Outcome_NOT_RUN,
}

func encodeEnd(r result.Result, decided bool, load *wire.Load) *wire.Down {
	return &wire.Down{Part: &wire.Down_End{End: &wire.End{
		Decided: decided,
		Load:    load,
		Outcome: outcomes[r.Outcome],
		Reason:  string(r.Reason),
		After:   uint64(max(r.RetryAfter, 0).Milliseconds()),
	}}}
}

// decodeEnd decodes the end of a request. It treats an outcome that it doesn't know as unknown. For
// a request with a key, "not run" is accepted only if the receiver's runner decided it: that this
// attempt did not run proves nothing about earlier attempts under the key.
func decodeEnd(e *wire.End, keyed bool) result.Result {
	r := result.Result{Reason: result.Reason(e.Reason), RetryAfter: time.Duration(min(e.After, 1<<40)) * time.Millisecond}
	switch e.Outcome {
	case wire.Outcome_RAN:
		r.Outcome = result.Ran
	case wire.Outcome_NOT_RUN:
		r.Outcome = result.NotRun
	}
	if keyed && r.Outcome == result.NotRun && !e.Decided {
		r.Outcome = result.Unknown
	}
	return r
}

func encodeLoad(h place.Hint) *wire.Load {
	return &wire.Load{
		Running: uint32(max(h.Running, 0)),
		Waiting: uint32(max(h.Waiting, 0)),
		Busy:    uint32(1000 * max(h.Utilization, 0)),
		Service: uint64(max(h.Service, 0).Microseconds()),
		Leaving: h.Leaving,
	}
}

func decodeLoad(l *wire.Load) place.Hint {
	return place.Hint{
		Running:     int(l.Running),
		Waiting:     int(l.Waiting),
		Utilization: min(float64(l.Busy)/1000, 1),
		Service:     fromMicros(l.Service),
		Leaving:     l.Leaving,
	}
}

func encodeFields(h http.Header) []*wire.Field {
	var fields []*wire.Field
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, &wire.Field{Name: name, Value: v})
		}
	}
	return fields
}

func decodeFields(fields []*wire.Field) (http.Header, error) {
	if len(fields) > maxFields {
		return nil, errors.Newf("%d headers, at most %d are allowed", len(fields), maxFields)
	}
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	return h, nil
}

// The purposes of seals.
const (
	headPurpose  token.Purpose = 1
	queryPurpose token.Purpose = 2
)

var errForged = errors.New("message is not authenticated by a process of the service")

// seal authenticates a message. Otherwise anyone who can reach an agent's address could run
// requests under the name of any caller and bypass all limits of the service document.
func seal(ring *token.Ring, p token.Purpose, m proto.Message) (*wire.Sealed, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return &wire.Sealed{Message: b, Tag: ring.Tag(p, b)}, nil
}

func unseal(ring *token.Ring, p token.Purpose, s *wire.Sealed, m proto.Message) error {
	if !ring.Check(p, s.GetMessage(), s.GetTag()) {
		return errForged
	}
	return proto.Unmarshal(s.GetMessage(), m)
}

func encodeHead(r *Request, incarnation uint64, t *wire.Time) *wire.Head {
	return &wire.Head{
		Id: []byte(r.ID), Service: r.Service, Incarnation: incarnation, Time: t,
		Class: r.Class, Method: r.Method, Path: r.Path, Headers: encodeFields(r.Header), Length: r.Length,
		Caller: r.Caller, Hops: uint32(r.Hops + 1), Idempotent: r.Idempotent, Feed: r.Feed, Key: r.Key, Placed: r.Placed,
	}
}

func decodeHead(h *wire.Head) (r *Request, err error) {
	defer func() { err = errors.Wrap(err, "decode head of request") }()
	if len(h.GetId()) != idSize || h.GetTime() == nil {
		return nil, errors.New("ID of wrong length or no deadline")
	}
	header, err := decodeFields(h.Headers)
	if err != nil {
		return nil, err
	}
	return &Request{
		ID: string(h.Id), Service: h.Service, Class: h.Class, Method: h.Method, Path: h.Path, Header: header, Length: h.Length,
		Caller: h.Caller, Hops: int(h.Hops), Idempotent: h.Idempotent, Feed: h.Feed, Key: h.Key, Placed: h.Placed,
	}, nil
}
