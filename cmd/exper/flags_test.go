package main

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/exper/policy"
	"mangowinch/internal/stand/described"
)

// Guards against renamed commands and flags, which scripts use.
func TestNamesOfFlags(t *testing.T) {
	text, err := described.CommandLine(&arguments{}, defaults(policy.DefaultTuning))
	assert.NilError(t, err)
	golden.Assert(t, text, "flags.golden")
}
