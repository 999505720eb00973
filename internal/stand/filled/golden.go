package filled

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// AssertJSON fills each value and compares the JSON of the map with a golden file. The values are pointers.
func AssertJSON(t *testing.T, file string, values map[string]any) {
	t.Helper()
	for _, v := range values {
		Fill(v)
	}
	text, err := json.MarshalIndent(values, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(text)+"\n", file)
}

// AssertRoundTrip does the same as AssertJSON for types that are also decoded. Decoding the golden file must leave no field
// unset, and encoding the result must give the same JSON.
func AssertRoundTrip(t *testing.T, file string, values map[string]any) {
	t.Helper()
	AssertJSON(t, file, values)
	var texts map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(golden.Get(t, file), &texts))
	assert.Equal(t, len(texts), len(values))
	for name, v := range values {
		again := reflect.New(reflect.TypeOf(v).Elem())
		assert.NilError(t, json.Unmarshal(texts[name], again.Interface()), "%s", name)
		missing := Unset(again.Interface())
		assert.Equal(t, len(missing), 0, "%s lacks %v", name, missing)
		text, err := json.Marshal(again.Interface())
		assert.NilError(t, err)
		var want bytes.Buffer
		assert.NilError(t, json.Compact(&want, texts[name]))
		assert.Equal(t, string(text), want.String(), "%s", name)
	}
}
