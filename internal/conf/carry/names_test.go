package carry

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/filled"
)

// Guards against changed sections, keys and names of mechanisms: existing settings files must stay valid.
// An unknown key is a fault, and a key that is no longer read leaves its field unset.
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
