package prefs

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/conf/certs"
	"mangowinch/internal/stand/filled"
)

// copyWithKeys copies a settings file of testdata into a folder together with the key and the certificate that it names.
func copyWithKeys(t *testing.T, name string) (path string) {
	t.Helper()
	folder := t.TempDir()
	certificate, private, err := certs.SelfSigned([]net.IP{{127, 0, 0, 1}}, nil, time.Now(), time.Hour)
	assert.NilError(t, err)
	files := map[string][]byte{"a.pem": certificate, "a.key": private}
	for _, copied := range []string{name, "k1.key"} {
		files[copied], err = os.ReadFile(filepath.Join("testdata", copied))
		assert.NilError(t, err)
	}
	for file, text := range files {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, file), text, 0o600))
	}
	return filepath.Join(folder, name)
}

// Guards against changed sections and keys: existing settings files must stay valid. An unknown key
// is a fault, and a key that is no longer read leaves its field unset.
func TestNames(t *testing.T) {
	entry, err := Load(copyWithKeys(t, "whole-entry.ini"))
	assert.NilError(t, err)
	entry.Agent = &Agent{}
	filled.Fill(entry.Agent)
	assert.DeepEqual(t, unsetFields(entry), []string(nil))

	agent, err := Load(copyWithKeys(t, "whole-agent.ini"))
	assert.NilError(t, err)
	agent.Entry = &Entry{}
	filled.Fill(agent.Entry)
	assert.DeepEqual(t, unsetFields(agent), []string(nil))
}

// unsetFields lists the fields that Load has not set. Single bytes of a key may be zero.
func unsetFields(s *Settings) []string {
	for name, k := range s.Keys {
		if k != (Key{}) {
			filled.Fill(&k)
			s.Keys[name] = k
		}
	}
	return filled.Unset(s)
}
