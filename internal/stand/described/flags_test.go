package described_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/described"
)

// Guards against lists that omit nested commands, arguments, or flags that are named after their fields.
func TestCommandLineListsEverything(t *testing.T) {
	type inner struct {
		File string `arg:""`
		Kind string `enum:"a,b" default:"a" env:"KIND"`
	}
	text, err := described.CommandLine(&struct {
		SlowStart bool
		Run       struct {
			Once inner `cmd:""`
		} `cmd:""`
	}{})
	assert.NilError(t, err)
	assert.Equal(t, text, `command 
  --help choice "" variables []
  --slow-start choice "" variables []
command run
command run once
  argument file
  --kind choice "a,b" variables ["KIND"]
`)
}
