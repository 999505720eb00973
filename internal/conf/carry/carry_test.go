package carry

import (
	"bytes"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/strict"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/usage"
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

// Guards against a deployment whose flows are ordered by caller although its settings say nothing of callers.
func TestCallersAreOptional(t *testing.T) {
	text, err := os.ReadFile("testdata/whole-entry.ini")
	assert.NilError(t, err)
	head, _, _ := bytes.Cut(text, []byte("[callers]"))
	for tail, want := range map[string]*usage.Callers{
		"":                              nil,
		"[callers]\n":                   {SiteBits: 24},
		"[callers]\nprefix = 32\n":      {SiteBits: 32},
		"[caller a]\nnetworks = ::/0\n": {SiteBits: 24, Named: []docs.Caller{{Name: "a", Networks: []netip.Prefix{netip.MustParsePrefix("::/0")}, Weight: 1}}},
	} {
		s, err := parse("entry.ini", append(bytes.Clone(head), tail...))
		assert.NilError(t, err)
		assert.DeepEqual(t, s.Entry.Callers, want, cmpopts.EquateComparable(netip.Prefix{}))
	}
}

// Guards against settings of an agent that name callers and are accepted without effect.
func TestAgentHasNoCallers(t *testing.T) {
	text, err := os.ReadFile("testdata/agent.ini")
	assert.NilError(t, err)
	_, err = parse("agent.ini", append(bytes.Clone(text), "\n[callers]\n"...))
	assert.ErrorContains(t, err, "[callers] and [caller] are settings of an entry")
}

// Guards against a faulty section about callers of which only the first fault is listed.
func TestLoadListsEveryFaultOfCallers(t *testing.T) {
	_, err := Load("testdata/bad-callers.ini")
	var faults strict.Faults
	assert.Assert(t, errors.As(err, &faults))
	golden.Assert(t, faults.Error()+"\n", "bad-callers.golden")
}
