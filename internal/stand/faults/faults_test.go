package faults

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/stand/check"
)

func TestDocumentWithoutServer(t *testing.T) {
	text, err := os.ReadFile("../../../examples/zagreb/documents/tracing-core.ini")
	assert.NilError(t, err)
	for _, name := range []string{"s1", "s7"} {
		s, err := docs.Parse("tracing-core.ini", []byte(withoutServer(string(text), name)))
		assert.NilError(t, err)
		assert.Equal(t, len(s.Servers), 6)
		assert.Equal(t, len(s.Classes), 4)
	}
}

// An instance that was given to another service runs that service's work from then on.
func TestMoveRelabelsWhatRanAfterIt(t *testing.T) {
	at := time.Unix(1000, 0)
	m := &move{
		from: check.Execution{Service: "tracing-core", Server: "s7"},
		to:   check.Execution{Service: "doc-intake", Server: "s4"},
		at:   at,
	}
	executions := []check.Execution{
		{Service: "tracing-core", Server: "s7", At: at.Add(-time.Second)},
		{Service: "tracing-core", Server: "s7", At: at.Add(time.Second)},
		{Service: "tracing-core", Server: "s6", At: at.Add(time.Second)},
	}
	m.relabel(executions)
	assert.Equal(t, executions[0].Service, "tracing-core")
	assert.Equal(t, executions[1].Service, "doc-intake")
	assert.Equal(t, executions[1].Server, "s4")
	assert.Equal(t, executions[2].Service, "tracing-core")
}

// The step at which a fault catches a request is read from two logs.
func TestCaughtSteps(t *testing.T) {
	struck := time.Unix(1000, 0)
	before, after := struck.Add(-time.Second), struck.Add(time.Second)
	open := check.Attempt{Begun: before, Ended: after}
	long := check.Attempt{Begun: before, Ended: after, Long: true}
	var c Caught
	c.add(check.Attempt{Begun: before, Ended: before}, check.Execution{At: before}, true, struck) // over
	c.add(check.Attempt{Begun: after, Ended: after}, check.Execution{At: after}, true, struck)    // not begun
	c.add(open, check.Execution{}, false, struck)
	c.add(open, check.Execution{At: after, Server: "s2", Origin: "s1"}, true, struck)
	c.add(open, check.Execution{At: before, Server: "s1", Origin: "s1"}, true, struck)
	c.add(long, check.Execution{At: before, Server: "s1", Origin: "s1"}, true, struck)
	assert.Equal(t, c, Caught{Waiting: 2, Running: 1, Midway: 1, HandedOver: 1})
}

func TestScenarioNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range Scenarios() {
		assert.Assert(t, !seen[s.Name], s.Name)
		seen[s.Name] = true
	}
}
