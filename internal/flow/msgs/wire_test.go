package msgs

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/stand/filled"
)

// message is a message of any kind.
type message interface{ AppendTo(b []byte) []byte }

// reader decodes a message from the bytes after its header.
type reader func(h Header, b []byte) (message, error)

// reads returns a reader that calls the Read function of one kind.
func reads[M any, P interface {
	*M
	message
}](read func(Header, []byte) (M, error)) reader {
	return func(h Header, b []byte) (message, error) {
		m, err := read(h, b)
		return P(&m), err
	}
}

// readUpdate decodes an Update as package opaque does: all bytes after the header are the change.
func readUpdate(h Header, b []byte) (Update, error) { return Update{Header: h, Change: b}, nil }

// readers holds the readers of all kinds.
var readers = map[Kind]reader{
	KindForward: reads(ReadForward), KindOpened: reads(ReadOpened), KindRefused: reads(ReadRefused), KindOwner: reads(ReadOwner),
	KindRegister: reads(ReadRegister), KindQuery: reads(ReadQuery), KindQueryAnswer: reads(ReadQueryAnswer), KindBeacon: reads(ReadBeacon),
	KindUpdate: reads(readUpdate), KindOffer: reads(ReadOffer), KindPing: reads(ReadPing), KindPingAck: reads(ReadPingAck),
	KindLookup: reads(ReadLookup), KindLookupResult: reads(ReadLookupResult), KindProbeResult: reads(ReadProbeResult), KindFailed: reads(ReadFailed),
}

// full returns a message of a kind with every field set.
func full(t *testing.T, k Kind) message {
	t.Helper()
	m, _ := readers[k](Header{}, make([]byte, 200)) // only the type of m is used
	assert.Assert(t, m != nil, "kind %d has no reader", k)
	filled.Fill(m)
	reflect.ValueOf(m).Elem().Field(0).Addr().Interface().(*Header).Kind = k
	return m
}

// flagged returns, for each flag of a kind, a message with only this flag set: in a message with all flags
// set, exchanged flags would not show.
func flagged(t *testing.T, k Kind) (list []message) {
	t.Helper()
	for on := range reflect.TypeOf(full(t, k)).Elem().NumField() {
		m := full(t, k)
		v := reflect.ValueOf(m).Elem()
		if v.Field(on).Kind() != reflect.Bool {
			continue
		}
		for i := range v.NumField() {
			if f := v.Field(i); f.Kind() == reflect.Bool {
				f.SetBool(i == on)
			}
		}
		list = append(list, m)
	}
	return list
}

// Guards against a change of the encoding of messages: old and new processes run side by side during an update.
func TestWireBytes(t *testing.T) {
	var text strings.Builder
	for k := Kind(1); int(k) < NumKinds; k++ {
		fmt.Fprintf(&text, "%d %s %x\n", k, k, full(t, k).AppendTo(nil))
	}
	golden.Assert(t, text.String(), "wire.golden")
}

// Guards against flags that are exchanged in the encoding.
func TestWireFlags(t *testing.T) {
	var text strings.Builder
	for k := Kind(1); int(k) < NumKinds; k++ {
		for i, m := range flagged(t, k) {
			b := m.AppendTo(nil)
			fmt.Fprintf(&text, "%s flag %d %x\n", k, i+1, b)
			back, err := readers[k](Header{}, b[headerSize:])
			assert.NilError(t, err)
			assert.DeepEqual(t, back.AppendTo(nil)[headerSize:], b[headerSize:])
		}
	}
	golden.Assert(t, text.String(), "flags.golden")
}

// Guards against a decoder that loses a field of a message from an older process.
func TestWireBytesAreRead(t *testing.T) {
	lines := strings.Fields(string(golden.Get(t, "wire.golden")))
	assert.Equal(t, len(lines), 3*(NumKinds-1))
	for i := 0; i < len(lines); i += 3 {
		b, err := hex.DecodeString(lines[i+2])
		assert.NilError(t, err)
		h, rest, err := ReadHeader(b)
		assert.NilError(t, err)
		m, err := readers[h.Kind](h, rest)
		assert.NilError(t, err)
		missing := filled.Unset(m)
		assert.Equal(t, len(missing), 0, "%s lacks %v", h.Kind, missing)
		assert.Equal(t, fmt.Sprintf("%+v", m), fmt.Sprintf("%+v", full(t, h.Kind)), "%s", h.Kind)
		assert.Equal(t, hex.EncodeToString(m.AppendTo(nil)), lines[i+2], "%s", h.Kind)
	}
}

// Guards against a change of the numbers of reasons, roles and verdicts, which an older process would take for
// other ones.
func TestWireNumbers(t *testing.T) {
	var text strings.Builder
	for w := range Reason(len(reasonNames) + 1) {
		fmt.Fprintf(&text, "why %d %s\n", w, w)
	}
	fmt.Fprintln(&text, "roles: entry, agent", Entry, Agent)
	fmt.Fprintln(&text, "verdicts: held, not held, unsure", Held, NotHeld, Unsure)
	golden.Assert(t, text.String(), "numbers.golden")
}
