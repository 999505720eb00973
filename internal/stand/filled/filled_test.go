package filled

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type inner struct {
	Addr netip.AddrPort
	When time.Time
	Raw  json.RawMessage
}

type outer struct {
	On     bool
	Small  int8
	Part   float64
	Text   string
	List   []inner
	ByName map[string]*inner
	Pair   [2]uint16
	Any    any
	hidden int
}

// Guards against a golden file that lacks a name because Fill left the field empty and the encoder omitted it.
func TestFillLeavesNothingUnset(t *testing.T) {
	var a, b outer
	assert.Assert(t, len(Unset(a)) > 0)
	Fill(&a)
	Fill(&b)
	assert.Equal(t, len(Unset(a)), 0, "%v", Unset(a))
	assert.Equal(t, a.hidden, 0)
	one, err := json.Marshal(a)
	assert.NilError(t, err)
	two, err := json.Marshal(b)
	assert.NilError(t, err)
	assert.Equal(t, string(one), string(two))
}

func TestUnsetNamesEachField(t *testing.T) {
	var v outer
	Fill(&v)
	v.Small = 0
	v.List[0].Raw = nil
	for key := range v.ByName {
		v.ByName[key] = &inner{Addr: v.List[0].Addr, When: v.List[0].When}
	}
	v.Pair[1] = 0
	got := Unset(v)
	assert.Assert(t, len(got) >= 4, "%v", got)
	assert.Equal(t, got[0], ".Small")
	assert.Equal(t, got[1], ".List[0].Raw")
	assert.Equal(t, got[len(got)-1], ".Pair[1]")
}
