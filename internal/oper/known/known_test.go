package known

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// run returns events in the format of go test -json, from lines such as "fail p TestA",
// "output p panic: x", or "run p TestA" for the start of a test.
func run(lines ...string) *strings.Reader {
	var b strings.Builder
	for _, line := range lines {
		f := strings.SplitN(line, " ", 3)
		action, name, rest := f[0], f[1], ""
		if len(f) == 3 {
			rest = f[2]
		}
		switch action {
		case "build-fail":
			fmt.Fprintf(&b, `{"Action":%q,"ImportPath":%q}`, action, name)
		case "output":
			fmt.Fprintf(&b, `{"Action":"output","Package":%q,"Output":%q}`, name, rest+"\n")
		default:
			fmt.Fprintf(&b, `{"Action":%q,"Package":%q,"Test":%q}`, action, name, rest)
		}
		b.WriteByte('\n')
	}
	return strings.NewReader(b.String())
}

const listed = "TestA p | go test -run TestA ./p, seed 7 | a feed lost 3 bytes | 12\n"

// Guards against other faults that pass together with a known failure: another failed test, a package
// that crashes or does not build, a listed test that is no longer run.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name   string
		list   string
		status int
		events *strings.Reader
		want   []string // faults
	}{
		{"all pass", "", 0, run("run p TestA", "pass p TestA", "pass p", "skip q"), nil},
		{"unlisted failure", "", 1, run("pass p TestB", "fail p TestA", "fail p"), []string{"p TestA failed", "p failed"}},
		{"listed failure", listed, 1, run("pass p TestB", "fail p TestA", "fail p"), nil},
		{"listed and another", listed, 1, run("pass p TestB", "fail p TestA", "fail p TestC", "fail p"), []string{"p TestC failed"}},
		{"same name elsewhere", listed, 1, run("pass p TestA", "pass p", "fail q TestA", "fail q"), []string{"q TestA failed", "q failed"}},
		{"subtests of a listed one", listed, 1, run("pass p TestB", "fail p TestA/x", "fail p TestA", "fail p"), nil},
		{"parent of a listed one", "TestA/x p|c|s|1", 1, run("pass p TestB", "fail p TestA/x", "fail p TestA", "fail p"), nil},
		{"parent of a listed one and another", "TestA/x p|c|s|1", 1, run("pass p TestB", "fail p TestA/x", "fail p TestA/y", "fail p TestA", "fail p"),
			[]string{"p TestA failed", "p TestA/y failed"}},
		{"healed", listed, 0, run("pass p TestA", "pass p"), nil},
		{"listed and not run", listed, 0, run("pass p TestB", "pass p"), []string{"p TestA is known to fail and was not run"}},
		{"panic in a listed one", listed, 1, run("pass p TestB", "output p panic: boom", "fail p TestA", "fail p"), []string{"p crashed, so tests after that did not run"}},
		{"killed", listed, 1, run("pass p TestB", "run p TestA", "fail p"), []string{"p TestA did not end", "p failed"}},
		{"does not build", "", 1, run("pass p TestB", "pass p", "build-fail q", "fail q"), []string{"q does not build", "q failed"}},
		{"package without a failed test", "", 1, run("pass p TestB", "fail p"), []string{"p failed"}},
		{"skipped", "", 0, run("pass p TestB", "skip p TestA", "pass p"), []string{"p TestA was skipped"}},
		{"exit code alone", "", 2, run("pass p TestB", "pass p"), []string{"go test exited with status 2 but no test failed"}},
		{"nothing ran", "", 0, run(), []string{"no test passed"}},
	} {
		list, err := Parse(c.list)
		assert.NilError(t, err, c.name)
		v, err := Judge(c.events, c.status, list)
		assert.NilError(t, err, c.name)
		assert.DeepEqual(t, v.Faults, c.want)
		assert.Equal(t, v.Pass(), len(c.want) == 0, c.name)
	}
}

func TestPrint(t *testing.T) {
	list, err := Parse(listed + "TestB p | c | s | 13")
	assert.NilError(t, err)
	v, err := Judge(run("pass p TestB", "fail p TestA", "fail p"), 1, list)
	assert.NilError(t, err)
	var b bytes.Buffer
	v.Print(&b)
	assert.Equal(t, b.String(), `known to fail: TestA p | go test -run TestA ./p, seed 7 | a feed lost 3 bytes | 12
passed though known to fail, so remove its line: TestB p
1 passed, 1 failed
`)
}

func TestShowHidesPassedTests(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, Show(strings.NewReader(`{"Action":"output","Package":"p","Test":"TestA","Output":"quiet\n"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestB","Output":"loud\n"}
{"Action":"fail","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Output":"FAIL p\n"}
`), &b))
	assert.Equal(t, b.String(), "loud\nFAIL p\n")
}

func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"TestA p | c | s":          "not four parts",
		"TestA p | c | | 1":        "part 3 is empty",
		"TestA | c | s | 1":        "not a test and its package",
		"BenchmarkA p | c | s | 1": "not a test and its package",
		listed + listed:            "twice",
		listed + "TestB p|c|s|1\nTestC p|c|s|1\nTestD p|c|s|1": "at most 3",
	} {
		_, err := Parse(text)
		assert.ErrorContains(t, err, want)
	}
	list, err := Parse("\n")
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
}
