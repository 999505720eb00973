package carry

import (
	"bytes"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/conf/strict"
	"mangowinch/internal/load/parts"
)

func TestLoad(t *testing.T) {
	s, err := Load("testdata/agent.ini")
	assert.NilError(t, err)
	assert.Equal(t, s.Agent.Service, "tracing-core")
	assert.Equal(t, s.Bounds, Bounds{Change: 3 * time.Second, Life: time.Minute, Stop: 6 * time.Second})
	assert.Equal(t, len(s.Seeds), 2)
	assert.Assert(t, s.Entry == nil)
	assert.Equal(t, s.LinkBind, s.Link)
}

// Behind address translation, a process binds another address than the one to which other processes send.
func TestLinkMayBeBoundToAnotherAddress(t *testing.T) {
	text, err := os.ReadFile("testdata/agent.ini")
	assert.NilError(t, err)
	s, err := parse("agent.ini", bytes.Replace(text, []byte("[link]\n"), []byte("[link]\nbind = 127.0.0.9:7000\n"), 1))
	assert.NilError(t, err)
	assert.Equal(t, s.LinkBind, netip.MustParseAddrPort("127.0.0.9:7000"))
	assert.Assert(t, s.Link != s.LinkBind)
}

// Guards against a rate that is parsed in another unit than the operator intended.
func TestRateOfTheLinkHasAUnit(t *testing.T) {
	text, err := os.ReadFile("testdata/agent.ini")
	assert.NilError(t, err)
	for rate, want := range map[string]float64{"200Mbit": 25e6, "10.0Mbit": 1.25e6, "2.5Gbit": 312.5e6, "64kbit": 8e3} {
		s, err := parse("agent.ini", bytes.Replace(text, []byte("[link]\n"), []byte("[link]\nrate = "+rate+"\n"), 1))
		assert.NilError(t, err)
		assert.Equal(t, s.Rate, want, rate)
	}
	for _, rate := range []string{"200", "Mbit", "-1Mbit", "0Mbit", "NaNMbit", "InfGbit"} {
		_, err := parse("agent.ini", bytes.Replace(text, []byte("[link]\n"), []byte("[link]\nrate = "+rate+"\n"), 1))
		assert.ErrorContains(t, err, "is not a rate over zero", rate)
	}
}

// Guards against a misspelled mechanism that is silently ignored, so that a comparison would run with the mechanism on.
func TestMechanismsAreSwitchedOffByName(t *testing.T) {
	text, err := os.ReadFile("testdata/agent.ini")
	assert.NilError(t, err)
	s, err := parse("agent.ini", append(bytes.Clone(text), "\n[without]\nparts = offers, breaker\n"...))
	assert.NilError(t, err)
	assert.Equal(t, s.Without, parts.Off{Offers: true, Breaker: true})
	_, err = parse("agent.ini", append(bytes.Clone(text), "\n[without]\nparts = offer\n"...))
	assert.ErrorContains(t, err, "offer is none of")
}

// Faulty settings must stop a process before it serves, with all faults in one report.
func TestLoadListsEveryFault(t *testing.T) {
	_, err := Load("testdata/bad.ini")
	var faults strict.Faults
	assert.Assert(t, errors.As(err, &faults))
	golden.Assert(t, faults.Error()+"\n", "bad.golden")
}
