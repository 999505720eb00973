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

// Checks that work at a reassigned instance counts for its new service from the time of the move, and
// that other executions keep their labels.
func TestMoveRelabelsLaterExecutions(t *testing.T) {
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

// Checks that the stage of each request at the time of the fault is derived correctly from the
// records of its caller and of its server.
func TestCaughtSteps(t *testing.T) {
	faultTime := time.Unix(1000, 0)
	before, after := faultTime.Add(-time.Second), faultTime.Add(time.Second)
	open := check.Attempt{Begun: before, Ended: after}
	long := check.Attempt{Begun: before, Ended: after, Long: true}
	var c StageCounts
	c.add(check.Attempt{Begun: before, Ended: before}, check.Execution{At: before}, true, faultTime) // already ended
	c.add(check.Attempt{Begun: after, Ended: after}, check.Execution{At: after}, true, faultTime)    // not yet begun
	c.add(open, check.Execution{}, false, faultTime)
	c.add(open, check.Execution{At: after, Server: "s2", Origin: "s1"}, true, faultTime)
	c.add(open, check.Execution{At: before, Server: "s1", Origin: "s1"}, true, faultTime)
	c.add(long, check.Execution{At: before, Server: "s1", Origin: "s1"}, true, faultTime)
	assert.Equal(t, c, StageCounts{Waiting: 2, Running: 1, Midway: 1, HandedOver: 1})
}

func TestScenarioNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range Scenarios() {
		assert.Assert(t, !seen[s.Name], s.Name)
		seen[s.Name] = true
	}
}
