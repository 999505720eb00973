// Package pages checks the documentation for operators against the code, so that every reason, counter, log line
// and key is documented, and nothing is documented that the code does not have. It has tests only.
package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../../.."

// firstCell matches a table row whose first cell is a code span.
var firstCell = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, path))
	assert.NilError(t, err)
	return string(text)
}

// firstCells returns the first cells of all table rows under a heading.
func firstCells(t *testing.T, path, heading string) (names []string) {
	t.Helper()
	_, section, ok := strings.Cut(readFile(t, path), "\n## "+heading+"\n")
	assert.Assert(t, ok, "%s has no heading %q", path, heading)
	section, _, _ = strings.Cut(section, "\n## ")
	for _, m := range firstCell.FindAllStringSubmatch(section, -1) {
		names = append(names, m[1])
	}
	return names
}

// constants returns the non-empty values of the string constants of a type in a package.
func constants(t *testing.T, directory, typeName string) (texts []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, directory, "*.go"))
	assert.NilError(t, err)
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		ast.Inspect(parsed, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			if name, ok := v.Type.(*ast.Ident); !ok || name.Name != typeName {
				return false
			}
			text, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			if text != "" {
				texts = append(texts, text)
			}
			return false
		})
	}
	assert.Assert(t, len(texts) > 0, "%s has no constants of type %s", directory, typeName)
	return texts
}

// Guards against a reason that was added to the code but not to the page, and against one that was removed from the
// code and is still documented.
func TestReasonsPage(t *testing.T) {
	for heading, source := range map[string][2]string{
		"Requests": {"internal/work/result", "Reason"},
		"Retries":  {"internal/load/retry", "Reason"},
		"Placing":  {"internal/load/place", "Reason"},
		"Leaving":  {"internal/node/agent", "cause"},
	} {
		want, got := constants(t, source[0], source[1]), firstCells(t, "docs/operate/reasons.md", heading)
		if heading == "Retries" {
			want = append(want, "consumed") // assigned by package spread
		}
		slices.Sort(want)
		slices.Sort(got)
		assert.DeepEqual(t, got, want)
	}
}

var dropReason = regexp.MustCompile(`dropped\("([a-z]+)"\)`)

// Guards against drop reasons that the page lacks: the reason is the only information about a dropped datagram.
func TestDropsPage(t *testing.T) {
	for heading, source := range map[string]string{
		"Datagrams dropped by an entry": "internal/node/entry/counts.go",
		"Datagrams dropped by an agent": "internal/node/agent/counts.go",
	} {
		var want []string
		for _, m := range dropReason.FindAllStringSubmatch(readFile(t, source), -1) {
			want = append(want, m[1])
		}
		if strings.HasPrefix(source, "internal/node/agent/") {
			want = append(want, constants(t, "internal/flow/table", "Reason")...)
		} else {
			want = append(want, "service") // counted for the whole entry, not per service
		}
		got := firstCells(t, "docs/operate/counters.md", heading)
		slices.Sort(want)
		slices.Sort(got)
		assert.DeepEqual(t, got, want)
	}
}

var (
	counterName   = regexp.MustCompile("`mangowinch_([a-z_%]+)[{`]")
	joinedCounter = regexp.MustCompile(`"mangowinch_([a-z]+_)" \+ name`)
	counterCall   = regexp.MustCompile(`\b(?:event|count)\("([a-z]+)"`)
)

// counters returns the names of all counters in the code. A name that contains %s is completed with the first
// argument of the calls to the function event or count of the same package.
func counters(t *testing.T) (names []string) {
	t.Helper()
	for directory, code := range sources(t) {
		code = joinedCounter.ReplaceAllString(code, "`mangowinch_${1}%s_total`")
		for _, m := range counterName.FindAllStringSubmatch(code, -1) {
			if !strings.Contains(m[1], "%s") {
				names = append(names, "mangowinch_"+m[1])
				continue
			}
			words := counterCall.FindAllStringSubmatch(code, -1)
			assert.Assert(t, len(words) > 0, "%s: no words for %s", directory, m[1])
			for _, w := range words {
				names = append(names, "mangowinch_"+strings.Replace(m[1], "%s", w[1], 1))
			}
		}
	}
	return names
}

// sources returns the text of all Go files except tests, by directory.
func sources(t *testing.T) map[string]string {
	t.Helper()
	code := map[string]string{}
	for _, top := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			code[filepath.Dir(path)] += string(text)
			return err
		})
		assert.NilError(t, err)
	}
	return code
}

var eventCall = regexp.MustCompile(`(?:State\(|Flow\([\w.]+, )"([a-z-]+)"`)

// Guards against events in the log that the operations page does not explain.
func TestLogLinesPage(t *testing.T) {
	var want []string
	for directory, code := range sources(t) {
		if strings.Contains(directory, "/oper/story") {
			continue
		}
		for _, m := range eventCall.FindAllStringSubmatch(code, -1) {
			want = append(want, m[1])
		}
	}
	want = append(want, "log-dropped")
	_, section, ok := strings.Cut(readFile(t, "docs/OPERATIONS.md"), "\n## Log lines\n")
	assert.Assert(t, ok)
	section, _, _ = strings.Cut(section, "\n## ")
	var got []string
	for _, l := range strings.Split(section, "\n") {
		if cells := strings.Split(l, "|"); len(cells) > 2 {
			for _, m := range regexp.MustCompile("`([a-z-]+)`").FindAllStringSubmatch(cells[1], -1) {
				got = append(got, m[1])
			}
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	assert.DeepEqual(t, got, slices.Compact(want))
}

// Guards against counters that the page does not explain, and against documented counters that no longer exist.
func TestCountersPage(t *testing.T) {
	want, got := counters(t), firstCells(t, "docs/operate/counters.md", "All counters")
	slices.Sort(want)
	slices.Sort(got)
	assert.DeepEqual(t, got, slices.Compact(want))
}

var (
	sectionCall = regexp.MustCompile(`\.(?:One|Maybe|Each)\("[a-z]+"\)`) // opens a section; its argument is not a key
	keyCall     = regexp.MustCompile(`(?:\.[A-Z]\w+\(|read[A-Z]\w*\(\w+, )"([a-z]+)"`)
	keyColumn   = regexp.MustCompile(`(?m)^\| [^|]*\| ([^|]+) \|`)
	codeSpan    = regexp.MustCompile("`([a-z]+)`")
)

// Guards against keys that the program reads and the page lacks, and against documented keys that the program rejects.
func TestSettingsPage(t *testing.T) {
	for heading, file := range map[string]string{
		"Settings":          "internal/conf/prefs/load.go",
		"Service documents": "internal/conf/docs/parse.go",
	} {
		_, section, ok := strings.Cut(readFile(t, "docs/operate/run.md"), "\n## "+heading+"\n")
		assert.Assert(t, ok, heading)
		section, _, _ = strings.Cut(section, "\n## ")
		var got, want []string
		for _, cell := range keyColumn.FindAllStringSubmatch(section, -1) {
			for _, m := range codeSpan.FindAllStringSubmatch(cell[1], -1) {
				got = append(got, m[1])
			}
		}
		for _, m := range keyCall.FindAllStringSubmatch(sectionCall.ReplaceAllString(readFile(t, file), ""), -1) {
			want = append(want, m[1])
		}
		slices.Sort(got)
		slices.Sort(want)
		assert.DeepEqual(t, slices.Compact(got), slices.Compact(want))
	}
}

var link = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// Guards against links between pages whose target does not exist.
func TestLinks(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "*.md"))
	assert.NilError(t, err)
	err = filepath.WalkDir(filepath.Join(root, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return err
	})
	assert.NilError(t, err)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			assert.NilError(t, err, "%s", page)
		}
	}
}
