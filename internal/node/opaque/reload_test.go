package opaque

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/conf/carry"
	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/usage"
)

// exampleSettings returns settings of an entry, each time newly allocated.
func exampleSettings() *carry.Settings {
	return &carry.Settings{
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7000")},
		Entry: &carry.Entry{Callers: &usage.Callers{Named: []docs.Caller{{Name: "partner"}}, SiteBits: 32}},
	}
}

// Guards against a line about changed settings each time that unchanged ones are read again.
func TestSettingsReadAgainAreUnchanged(t *testing.T) {
	assert.Equal(t, len(changedSections(exampleSettings(), exampleSettings())), 0)
}

func TestChangedSectionsAreNamed(t *testing.T) {
	s := exampleSettings()
	s.Entry.Callers.SiteBits = 24
	s.Seeds = nil
	s.Rate = 1
	s.Agent = &carry.Agent{Service: "doc-intake"}
	assert.DeepEqual(t, changedSections(exampleSettings(), s), []string{"link", "peers", "entry", "agent"})
}
