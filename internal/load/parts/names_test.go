package parts

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/stand/filled"
)

// Guards against a change of a mechanism's name, by which settings switch it off, or of a field's name, under
// which each process logs whether the mechanism is off.
func TestNames(t *testing.T) {
	golden.Assert(t, strings.Join(Names(), "\n")+"\n", "settings.golden")
	filled.AssertRoundTrip(t, "logged.golden", map[string]any{"parts": &Off{}})
}

// Guards against a mechanism that no name switches off, such as one whose name switches off another one.
func TestNamesSwitchAllOff(t *testing.T) {
	off, unknown := Parse(strings.Fields(string(golden.Get(t, "settings.golden"))))
	assert.Equal(t, len(unknown), 0)
	assert.Equal(t, len(filled.Unset(off)), 0, "%v", filled.Unset(off))
}
