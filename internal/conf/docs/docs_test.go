package docs

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/conf/strict"
)

func read(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return text
}

func TestParse(t *testing.T) {
	s, err := Parse("good.ini", read(t, "good.ini"))
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "tracing-core")
	assert.DeepEqual(t, s.Former, []string{"k1", "k0"})
	assert.Equal(t, s.Servers[0].Name, "s1") // sorted by ID, not in document order
	assert.Equal(t, s.Servers[0].State, Serving)
	assert.Equal(t, s.Servers[0].Weight, 1)
	assert.Equal(t, s.Servers[1].State, Leaving)
	v, ok := s.Server(2)
	assert.Assert(t, ok && v.Name == "s2" && v.Weight == 3)
	_, ok = s.Server(3)
	assert.Assert(t, !ok)
}

// Guards against servers of an evacuated failure domain that still receive new work, and against a misspelled domain that is
// ignored.
func TestServersOfAnEvacuatedDomainLeave(t *testing.T) {
	good := string(read(t, "good.ini"))
	s, err := Parse("good.ini", []byte(strings.Replace(good, "former =", "evacuate = zg-a\nformer =", 1)))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Evacuated, []string{"zg-a"})
	assert.Equal(t, s.Servers[0].State, Leaving)
	_, err = Parse("good.ini", []byte(strings.Replace(good, "former =", "evacuate = zg-z\nformer =", 1)))
	assert.ErrorContains(t, err, "no server is in zg-z")
}

// Guards against reports of the first fault only, which would take the author one attempt per fault, and against
// a misspelled key that is silently ignored, which would put a default in force in all processes.
func TestParseListsEveryFault(t *testing.T) {
	for _, name := range []string{"bad", "syntax", "empty"} {
		s, err := Parse(name+".ini", read(t, name+".ini"))
		assert.Assert(t, s == nil)
		var faults strict.Faults
		assert.Assert(t, errors.As(err, &faults), name)
		golden.Assert(t, faults.Error()+"\n", name+".golden")
	}
}

func TestParseRejectsLargeText(t *testing.T) {
	_, err := Parse("large.ini", []byte(strings.Repeat("; comment\n", 200_000)))
	assert.ErrorContains(t, err, "larger than a megabyte")
}

// Guards against error texts of unbounded length: a file of another kind, published by mistake, has very many faults, and
// their list is written to the log and /status of every process.
func TestParseBoundsTheListOfFaults(t *testing.T) {
	_, err := Parse("wrong.ini", []byte("[service]\n"+strings.Repeat("x = 1\n[y]\n", 50_000)))
	assert.Assert(t, len(err.Error()) < 10_000)
	assert.ErrorContains(t, err, "more")
}

// FuzzParse checks that no text causes a panic and that accepted documents have the properties that other packages rely on:
// IDs identify one server, agents' addresses are valid, and each class is reachable.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"good.ini", "bad.ini", "syntax.ini"} {
		text, err := os.ReadFile(filepath.Join("testdata", name))
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz.ini", text)
		if err != nil {
			var faults strict.Faults
			assert.Assert(t, errors.As(err, &faults) && len(faults) > 0)
			return
		}
		for i := range s.Servers {
			v, ok := s.Server(s.Servers[i].ID)
			assert.Assert(t, ok && v == &s.Servers[i])
			assert.Assert(t, v.Weight > 0 && v.Slots > 0 && v.Agent.IsValid())
		}
		for i := range s.Classes {
			c, ok := s.ClassFor(s.Classes[i].Path)
			assert.Assert(t, ok && c == &s.Classes[i])
			assert.Assert(t, c.Deadline > 0)
		}
	})
}

// Guards against requests that run twice because their path is not canonical: by its prefix, /lookup/../claim
// is an idempotent lookup and would be repeated after a lost response, but the backend server
// resolves the path to /claim. Such a path has no class.
func TestClassFor(t *testing.T) {
	s, err := Parse("good.ini", read(t, "good.ini"))
	assert.NilError(t, err)
	for path, want := range map[string]string{
		"/lookup": "lookup", "/lookup/7": "lookup", "/lookup/": "lookup", "/feed/1": "feed",
		"/lookups": "", "/feed": "", "/": "", "": "", "lookup": "",
		"/feed/../lookup": "", "//lookup": "", "/feed/./1": "", "/feed//1": "", `/feed/..\lookup`: "",
	} {
		got := ""
		if c, ok := s.ClassFor(path); ok {
			got = c.Name
		}
		assert.Equal(t, got, want, path)
	}
}
