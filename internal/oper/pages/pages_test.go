// Package pages checks the pages for people against the code: an operator who looks
// up a reason or a counter at night must find it, and find it true.
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

// row is the first cell of a table's row, in code marks.
var row = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, path))
	assert.NilError(t, err)
	return string(text)
}

// rows returns the first cells of the tables under a heading.
func rows(t *testing.T, path, heading string) (names []string) {
	t.Helper()
	_, section, ok := strings.Cut(read(t, path), "\n## "+heading+"\n")
	assert.Assert(t, ok, "%s has no heading %q", path, heading)
	section, _, _ = strings.Cut(section, "\n## ")
	for _, m := range row.FindAllStringSubmatch(section, -1) {
		names = append(names, m[1])
	}
	return names
}

// constants returns the texts of a type's constants in a package, but for the empty one.
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

// A caller is refused with a reason that the page does not have, because somebody
// added it to the code only; or the page sends the operator after one that is long gone.
func TestReasonsPage(t *testing.T) {
	for heading, source := range map[string][2]string{
		"Requests": {"internal/work/result", "Reason"},
		"Retries":  {"internal/load/retry", "Reason"},
		"Placing":  {"internal/load/place", "Reason"},
		"Leaving":  {"internal/node/agent", "cause"},
	} {
		want, got := constants(t, source[0], source[1]), rows(t, "docs/operate/reasons.md", heading)
		if heading == "Retries" {
			want = append(want, "consumed") // decided by package spread
		}
		slices.Sort(want)
		slices.Sort(got)
		assert.DeepEqual(t, got, want)
	}
}

var dropped = regexp.MustCompile(`dropped\("([a-z]+)"\)`)

// A datagram is dropped at night by the thousand, and its reason is all there is.
func TestDropsPage(t *testing.T) {
	for heading, source := range map[string]string{
		"Datagrams dropped by an entry": "internal/node/entry/counts.go",
		"Datagrams dropped by an agent": "internal/node/agent/counts.go",
	} {
		var want []string
		for _, m := range dropped.FindAllStringSubmatch(read(t, source), -1) {
			want = append(want, m[1])
		}
		if strings.HasPrefix(source, "internal/node/agent/") {
			want = append(want, constants(t, "internal/flow/table", "Reason")...)
		} else {
			want = append(want, "service") // of the whole entry, not of a service
		}
		got := rows(t, "docs/operate/counters.md", heading)
		slices.Sort(want)
		slices.Sort(got)
		assert.DeepEqual(t, got, want)
	}
}

var (
	counter = regexp.MustCompile("`mangowinch_([a-z_%]+)[{`]")
	joined  = regexp.MustCompile(`"mangowinch_([a-z]+_)" \+ name`)
	event   = regexp.MustCompile(`\b(?:event|count)\("([a-z]+)"`)
)

// counters returns the names of all counters in the code. A name with %s is made by a
// function event or count of its package, from the word it is called with.
func counters(t *testing.T) (names []string) {
	t.Helper()
	for directory, code := range sources(t) {
		code = joined.ReplaceAllString(code, "`mangowinch_${1}%s_total`")
		for _, m := range counter.FindAllStringSubmatch(code, -1) {
			if !strings.Contains(m[1], "%s") {
				names = append(names, "mangowinch_"+m[1])
				continue
			}
			words := event.FindAllStringSubmatch(code, -1)
			assert.Assert(t, len(words) > 0, "%s: no words for %s", directory, m[1])
			for _, w := range words {
				names = append(names, "mangowinch_"+strings.Replace(m[1], "%s", w[1], 1))
			}
		}
	}
	return names
}

// sources returns the text of all Go files but tests, by directory.
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

var line = regexp.MustCompile(`(?:State\(|Flow\([\w.]+, )"([a-z-]+)"`)

// A line in a log at night has to be on the page, with what to do.
func TestLogLinesPage(t *testing.T) {
	var want []string
	for directory, code := range sources(t) {
		if strings.Contains(directory, "/oper/story") {
			continue
		}
		for _, m := range line.FindAllStringSubmatch(code, -1) {
			want = append(want, m[1])
		}
	}
	want = append(want, "log-dropped")
	_, section, ok := strings.Cut(read(t, "docs/OPERATIONS.md"), "\n## Log lines\n")
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

// Counters are the first thing an operator reads. One that the page does not explain
// is noise, and one that the code does not have sends people looking for nothing.
func TestCountersPage(t *testing.T) {
	want, got := counters(t), rows(t, "docs/operate/counters.md", "All counters")
	slices.Sort(want)
	slices.Sort(got)
	assert.DeepEqual(t, got, slices.Compact(want))
}

var (
	opened = regexp.MustCompile(`\.(?:One|Maybe|Each)\("[a-z]+"\)`) // a section, not a key
	asked  = regexp.MustCompile(`(?:\.[A-Z]\w+\(|read[A-Z]\w*\(\w+, )"([a-z]+)"`)
	keys   = regexp.MustCompile(`(?m)^\| [^|]*\| ([^|]+) \|`)
	mark   = regexp.MustCompile("`([a-z]+)`")
)

// A key that the program reads and the page does not have is found by nobody; one that
// only the page has is refused, with the page in the reader's hand.
func TestSettingsPage(t *testing.T) {
	for heading, file := range map[string]string{
		"Settings":          "internal/conf/prefs/load.go",
		"Service documents": "internal/conf/docs/parse.go",
	} {
		_, section, ok := strings.Cut(read(t, "docs/operate/run.md"), "\n## "+heading+"\n")
		assert.Assert(t, ok, heading)
		section, _, _ = strings.Cut(section, "\n## ")
		var got, want []string
		for _, cell := range keys.FindAllStringSubmatch(section, -1) {
			for _, m := range mark.FindAllStringSubmatch(cell[1], -1) {
				got = append(got, m[1])
			}
		}
		for _, m := range asked.FindAllStringSubmatch(opened.ReplaceAllString(read(t, file), ""), -1) {
			want = append(want, m[1])
		}
		slices.Sort(got)
		slices.Sort(want)
		assert.DeepEqual(t, slices.Compact(got), slices.Compact(want))
	}
}

var link = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// Every page is reached by links, and a link to nowhere loses the reader.
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
