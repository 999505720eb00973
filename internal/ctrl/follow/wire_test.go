package follow

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/stand/filled"
)

// sent are the messages that processes encode for each other.
var sent = map[string]any{
	"change.golden": belief.Change{}, // in news, and the answer to a fetch
	"since.golden":  sinceRequest{},  // the question of a fetch
}

// plain returns the JSON of a message as it is sent, on lines of its own.
func plain(t *testing.T, m any) string {
	t.Helper()
	b, err := countingEncoding{}.Marshal(m)
	assert.NilError(t, err)
	text, err := decoder.DecodeAll(b, nil)
	assert.NilError(t, err)
	var lines bytes.Buffer
	assert.NilError(t, json.Indent(&lines, text, "", "  "))
	return lines.String() + "\n"
}

// Guards against a field that is renamed: old and new processes run side by side during an update and send each other
// these structs under the names of their Go fields, and a name that the reader doesn't know is passed over in silence.
func TestWireNames(t *testing.T) {
	for name, m := range sent {
		t.Run(name, func(t *testing.T) {
			v := reflect.New(reflect.TypeOf(m))
			filled.Fill(v.Interface())
			golden.Assert(t, plain(t, v.Interface()), name)
		})
	}
}

// Guards against a field of an older process's message that is lost when it is read.
func TestWireNamesAreRead(t *testing.T) {
	for name, m := range sent {
		t.Run(name, func(t *testing.T) {
			text := golden.Get(t, name)
			v := reflect.New(reflect.TypeOf(m))
			assert.NilError(t, encoding{}.Unmarshal(encoder.EncodeAll(text, nil), v.Interface()))
			missing := filled.Unset(v.Elem().Interface())
			assert.Equal(t, len(missing), 0, "%v", missing)
			assert.Equal(t, plain(t, v.Interface()), string(text))
		})
	}
}

// Guards against a call that an older process doesn't answer.
func TestWireMethod(t *testing.T) { golden.Assert(t, method+"\n", "method.golden") }
