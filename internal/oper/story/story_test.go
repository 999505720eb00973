package story

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/flow/segs"
)

// printTimeline returns the printed timeline of a flow from the lines in testdata.
func printTimeline(t *testing.T, text string) string {
	t.Helper()
	f, err := segs.ParseFlow(text)
	assert.NilError(t, err)
	file, err := os.Open("testdata/lines.log")
	assert.NilError(t, err)
	defer file.Close()
	s, err := Read(f, file)
	assert.NilError(t, err)
	var out bytes.Buffer
	s.Print(&out)
	return out.String()
}

// A flow is refused because too many flows wait at its agent.
func TestRefusedFlow(t *testing.T) {
	golden.Assert(t, printTimeline(t, "100.64.0.12:1083>198.18.0.1:8443"), "refused.golden")
}

// A request is not answered before its deadline: an agent is down, so the owner of the flow cannot be found.
func TestSilentFlow(t *testing.T) {
	golden.Assert(t, printTimeline(t, "100.64.0.13:1027>198.18.0.1:8443"), "silent.golden")
}

// An open flow is reset because its server has crashed.
func TestBrokenFlow(t *testing.T) {
	golden.Assert(t, printTimeline(t, "100.64.0.12:1029>198.18.0.1:8443"), "broken.golden")
}

func TestUnknownFlow(t *testing.T) {
	golden.Assert(t, printTimeline(t, "100.66.0.99:1>198.18.0.1:8443"), "unknown.golden")
}
