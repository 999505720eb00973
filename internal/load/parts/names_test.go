package parts

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/stand/filled"
)

// Guards against names of mechanisms that change: settings switch them off by name, and each process logs what is off under
// the names of the Go fields.
func TestNames(t *testing.T) {
	golden.Assert(t, strings.Join(Names(), "\n")+"\n", "settings.golden")
	filled.AssertRoundTrip(t, "logged.golden", map[string]any{"parts": &Off{}})
}

// Guards against a mechanism that has no name, or that another one's name switches off.
func TestNamesSwitchAllOff(t *testing.T) {
	off, unknown := Parse(strings.Fields(string(golden.Get(t, "settings.golden"))))
	assert.Equal(t, len(unknown), 0)
	assert.Equal(t, len(filled.Unset(off)), 0, "%v", filled.Unset(off))
}
