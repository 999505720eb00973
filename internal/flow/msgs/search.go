package msgs

import (
	"encoding/binary"
	"net/netip"

	"mangowinch/internal/flow/segs"
)

// Question asks about one flow; Ack is what the caller acknowledged last.
type Question struct {
	Flow segs.Flow
	Ack  uint32
}

const questionSize = segs.Size + 4

func (q Question) appendTo(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(q.Flow.AppendTo(b), q.Ack)
}

func questionFrom(b []byte) Question {
	return Question{Flow: segs.FlowFrom(b), Ack: binary.LittleEndian.Uint32(b[segs.Size:])}
}

// Seek asks a lead (package homes) which agent holds a flow.
type Seek struct {
	Head
	Question Question
}

// AppendTo appends the encoded message.
func (m *Seek) AppendTo(b []byte) []byte { return m.Question.appendTo(m.appendTo(b, KindSeek)) }

// ReadSeek reads the rest of a message.
func ReadSeek(h Head, b []byte) (m Seek, err error) {
	if len(b) < questionSize {
		return Seek{}, ErrShort
	}
	return Seek{Head: h, Question: questionFrom(b)}, nil
}

// Sought answers Seek. Owner holds the flow; if it isn't valid, those in Unsure may, and if there are none either, nobody does.
type Sought struct {
	Head
	Flow    segs.Flow
	Owner   netip.Addr
	All     bool // any agent may hold it: too many to name them in Unsure
	Partial bool // some agents haven't answered yet
	Unsure  []netip.Addr
}

// MaxUnsure is how many agents fit into Sought, in a datagram of 1,200 bytes.
const MaxUnsure = (1200 - headSize - soughtSize) / addrSize

const (
	addrSize   = 4
	soughtSize = segs.Size + addrSize + 1
)

// AppendTo appends the encoded message.
func (m *Sought) AppendTo(b []byte) []byte {
	b = m.Flow.AppendTo(m.appendTo(b, KindSought))
	b = append(appendAddr(b, m.Owner), flag(m.All)|flag(m.Partial)<<1)
	for _, a := range m.Unsure {
		b = appendAddr(b, a)
	}
	return b
}

// ReadSought reads the rest of a message.
func ReadSought(h Head, b []byte) (m Sought, err error) {
	if len(b) < soughtSize || (len(b)-soughtSize)%addrSize != 0 {
		return Sought{}, ErrShort
	}
	flags := b[soughtSize-1]
	m = Sought{Head: h, Flow: segs.FlowFrom(b), All: flags&1 != 0, Partial: flags&2 != 0}
	if owner := addrFrom(b[segs.Size:]); !owner.IsUnspecified() {
		m.Owner = owner
	}
	for b = b[soughtSize:]; len(b) > 0; b = b[addrSize:] {
		m.Unsure = append(m.Unsure, addrFrom(b))
	}
	return m, nil
}

// Find asks whether the receiver's server holds some flows. Round names the question.
type Find struct {
	Head
	Round     uint32
	Questions []Question
}

// MaxQuestions is how many questions fit into one datagram of 1,200 bytes.
const MaxQuestions = (1200 - headSize - roundSize) / questionSize

const roundSize = 4

// AppendTo appends the encoded message.
func (m *Find) AppendTo(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(m.appendTo(b, KindFind), m.Round)
	for _, q := range m.Questions {
		b = q.appendTo(b)
	}
	return b
}

// ReadFind reads the rest of a message.
func ReadFind(h Head, b []byte) (m Find, err error) {
	if len(b) < roundSize || (len(b)-roundSize)%questionSize != 0 {
		return Find{}, ErrShort
	}
	m = Find{Head: h, Round: binary.LittleEndian.Uint32(b)}
	for b = b[roundSize:]; len(b) > 0; b = b[questionSize:] {
		m.Questions = append(m.Questions, questionFrom(b))
	}
	return m, nil
}

// Verdict is what an agent knows of a flow that it was asked for.
type Verdict uint8

// The verdicts. Unsure means that the agent hasn't seen all of its server's flows.
const (
	Held Verdict = iota + 1
	NotHeld
	Unsure
)

// Found answers Find: a verdict for each question, in their order.
type Found struct {
	Head
	Round    uint32
	Verdicts []Verdict
}

// AppendTo appends the encoded message.
func (m *Found) AppendTo(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(m.appendTo(b, KindFound), m.Round)
	for _, v := range m.Verdicts {
		b = append(b, byte(v))
	}
	return b
}

// ReadFound reads the rest of a message.
func ReadFound(h Head, b []byte) (m Found, err error) {
	if len(b) < roundSize {
		return Found{}, ErrShort
	}
	m = Found{Head: h, Round: binary.LittleEndian.Uint32(b)}
	for _, v := range b[roundSize:] {
		m.Verdicts = append(m.Verdicts, Verdict(v))
	}
	return m, nil
}

// Tried answers a Carry that was a probe: whether the receiver's server holds the flow.
type Tried struct {
	Head
	Flow segs.Flow
	Held bool
}

// AppendTo appends the encoded message.
func (m *Tried) AppendTo(b []byte) []byte {
	return append(m.Flow.AppendTo(m.appendTo(b, KindTried)), flag(m.Held))
}

// ReadTried reads the rest of a message.
func ReadTried(h Head, b []byte) (m Tried, err error) {
	if len(b) < segs.Size+1 {
		return Tried{}, ErrShort
	}
	return Tried{Head: h, Flow: segs.FlowFrom(b), Held: b[segs.Size] != 0}, nil
}
