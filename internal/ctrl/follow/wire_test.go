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

// sent lists the structs that processes send each other, by golden file.
var sent = map[string]any{
	"change.golden": belief.Change{}, // in update messages, and the response to a fetch
	"since.golden":  sinceRequest{},  // the request of a fetch
}

// plain returns the uncompressed JSON of a message, indented.
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

// Guards against renamed fields: old and new processes run side by side during an update and send each other these
// structs under the names of their Go fields, and the receiver silently ignores a name that it doesn't know.
func TestWireNames(t *testing.T) {
	for name, m := range sent {
		t.Run(name, func(t *testing.T) {
			v := reflect.New(reflect.TypeOf(m))
			filled.Fill(v.Interface())
			golden.Assert(t, plain(t, v.Interface()), name)
		})
	}
}

// Guards against losing a field of an older process's message when it is decoded.
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

// Guards against a renamed RPC method: an older process would refuse the call.
func TestWireMethod(t *testing.T) { golden.Assert(t, method+"\n", "method.golden") }
