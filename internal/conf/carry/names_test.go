package carry

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/filled"
)

// Guards against sections, keys and names of mechanisms that change: settings that operators have written must stay valid.
// A key that isn't known is a fault, and one that is no longer read leaves its field unset.
func TestNames(t *testing.T) {
	entry, err := Load("testdata/whole-entry.ini")
	assert.NilError(t, err)
	entry.Agent = &Agent{}
	filled.Fill(entry.Agent)
	assert.DeepEqual(t, filled.Unset(entry), []string(nil))

	agent, err := Load("testdata/whole-agent.ini")
	assert.NilError(t, err)
	agent.Entry = &Entry{}
	filled.Fill(agent.Entry)
	assert.DeepEqual(t, filled.Unset(agent), []string(nil))
	assert.Assert(t, agent.LinkBind != agent.Link)
}
