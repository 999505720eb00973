package prefs

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/conf/strict"
)

func TestLoad(t *testing.T) {
	s, err := Load("testdata/entry.ini")
	assert.NilError(t, err)
	assert.Equal(t, s.Process.Name, "e1")
	assert.Equal(t, s.Platform.Address.String(), "http://127.0.0.2:8500")
	assert.Equal(t, len(s.Peers), 2)
	assert.Equal(t, s.Entry.Link.String(), "127.0.1.1:7000")
	assert.Assert(t, s.Agent == nil)
	assert.Equal(t, s.Keys["k1"][KeySize-1], byte(7))
}

func TestLoadListsEveryFault(t *testing.T) {
	_, err := Load("testdata/bad.ini")
	var faults strict.Faults
	assert.Assert(t, errors.As(err, &faults))
	golden.Assert(t, faults.Error()+"\n", "bad.golden")
}

func TestLoadRequiresARole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.ini")
	assert.NilError(t, os.WriteFile(path, []byte("[process]\nname = e1\n"), 0o600))
	_, err := Load(path)
	assert.ErrorContains(t, err, "neither [entry] nor [agent]")
}

// Guards against keys in the log, to which a process writes its settings at the start: readers of the log could
// forge connection IDs.
func TestKeysAreNotPrinted(t *testing.T) {
	s, err := Load("testdata/entry.ini")
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%v %+v %#v", s.Keys, s.Keys["k1"], s.Keys["k1"]), "map[k1:(key)] (key) (key)")
}
