package msgs

import (
	"encoding/binary"
	"net/netip"

	"mangowinch/internal/flow/segs"
)

// Question asks about one flow. Ack is the caller's last acknowledgement.
type Question struct {
	Flow segs.Flow
	Ack  uint32
}

const questionSize = segs.FlowSize + 4

func (q Question) appendTo(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(q.Flow.AppendTo(b), q.Ack)
}

func questionFrom(b []byte) Question {
	return Question{Flow: segs.FlowFrom(b), Ack: binary.LittleEndian.Uint32(b[segs.FlowSize:])}
}

// Lookup asks a lead (package homes) which agent's server holds a flow.
type Lookup struct {
	Header
	Question Question
}

// AppendTo appends the encoded message.
func (m *Lookup) AppendTo(b []byte) []byte { return m.Question.appendTo(m.appendTo(b, KindLookup)) }

// ReadLookup decodes a message from the bytes after its header.
func ReadLookup(h Header, b []byte) (m Lookup, err error) {
	if len(b) < questionSize {
		return Lookup{}, ErrShort
	}
	return Lookup{Header: h, Question: questionFrom(b)}, nil
}

// LookupResult answers a Lookup. Owner holds the flow. If Owner is not valid, any agent in Unsure may hold
// it; if Unsure is empty too, no agent holds it.
type LookupResult struct {
	Header
	Flow      segs.Flow
	Owner     netip.Addr
	AllUnsure bool // any agent may hold it; too many to list in Unsure
	Partial   bool // some agents have not answered yet
	Unsure    []netip.Addr
}

// MaxUnsure is the number of agents that fit into a LookupResult of 1,200 bytes.
const MaxUnsure = (1200 - headerSize - lookupResultSize) / addrSize

const (
	addrSize         = 4
	lookupResultSize = segs.FlowSize + addrSize + 1
)

// AppendTo appends the encoded message.
func (m *LookupResult) AppendTo(b []byte) []byte {
	b = m.Flow.AppendTo(m.appendTo(b, KindLookupResult))
	b = append(appendAddr(b, m.Owner), flag(m.AllUnsure)|flag(m.Partial)<<1)
	for _, a := range m.Unsure {
		b = appendAddr(b, a)
	}
	return b
}

// ReadLookupResult decodes a message from the bytes after its header.
func ReadLookupResult(h Header, b []byte) (m LookupResult, err error) {
	if len(b) < lookupResultSize || (len(b)-lookupResultSize)%addrSize != 0 {
		return LookupResult{}, ErrShort
	}
	flags := b[lookupResultSize-1]
	m = LookupResult{Header: h, Flow: segs.FlowFrom(b), AllUnsure: flags&1 != 0, Partial: flags&2 != 0}
	if owner := addrFrom(b[segs.FlowSize:]); !owner.IsUnspecified() {
		m.Owner = owner
	}
	for b = b[lookupResultSize:]; len(b) > 0; b = b[addrSize:] {
		m.Unsure = append(m.Unsure, addrFrom(b))
	}
	return m, nil
}

// Query asks whether the receiver's server holds some flows. Round identifies the query.
type Query struct {
	Header
	Round     uint32
	Questions []Question
}

// MaxQuestions is the number of questions that fit into a datagram of 1,200 bytes.
const MaxQuestions = (1200 - headerSize - roundSize) / questionSize

const roundSize = 4

// AppendTo appends the encoded message.
func (m *Query) AppendTo(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(m.appendTo(b, KindQuery), m.Round)
	for _, q := range m.Questions {
		b = q.appendTo(b)
	}
	return b
}

// ReadQuery decodes a message from the bytes after its header.
func ReadQuery(h Header, b []byte) (m Query, err error) {
	if len(b) < roundSize || (len(b)-roundSize)%questionSize != 0 {
		return Query{}, ErrShort
	}
	m = Query{Header: h, Round: binary.LittleEndian.Uint32(b)}
	for b = b[roundSize:]; len(b) > 0; b = b[questionSize:] {
		m.Questions = append(m.Questions, questionFrom(b))
	}
	return m, nil
}

// Verdict is an agent's answer to a Question.
type Verdict uint8

// The verdicts. Unsure means that the agent does not know all of its server's flows.
const (
	Held Verdict = iota + 1
	NotHeld
	Unsure
)

// QueryAnswer answers a Query with a verdict for each question, in their order.
type QueryAnswer struct {
	Header
	Round    uint32
	Verdicts []Verdict
}

// AppendTo appends the encoded message.
func (m *QueryAnswer) AppendTo(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(m.appendTo(b, KindQueryAnswer), m.Round)
	for _, v := range m.Verdicts {
		b = append(b, byte(v))
	}
	return b
}

// ReadQueryAnswer decodes a message from the bytes after its header.
func ReadQueryAnswer(h Header, b []byte) (m QueryAnswer, err error) {
	if len(b) < roundSize {
		return QueryAnswer{}, ErrShort
	}
	m = QueryAnswer{Header: h, Round: binary.LittleEndian.Uint32(b)}
	for _, v := range b[roundSize:] {
		m.Verdicts = append(m.Verdicts, Verdict(v))
	}
	return m, nil
}

// ProbeResult answers a Forward that was a probe: it reports whether the probed server holds the flow.
type ProbeResult struct {
	Header
	Flow segs.Flow
	Held bool
}

// AppendTo appends the encoded message.
func (m *ProbeResult) AppendTo(b []byte) []byte {
	return append(m.Flow.AppendTo(m.appendTo(b, KindProbeResult)), flag(m.Held))
}

// ReadProbeResult decodes a message from the bytes after its header.
func ReadProbeResult(h Header, b []byte) (m ProbeResult, err error) {
	if len(b) < segs.FlowSize+1 {
		return ProbeResult{}, ErrShort
	}
	return ProbeResult{Header: h, Flow: segs.FlowFrom(b), Held: b[segs.FlowSize] != 0}, nil
}
