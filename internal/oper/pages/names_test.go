package pages

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// parsed returns the files of each folder but for tests and generated code.
func parsed(t *testing.T) map[string][]*ast.File {
	t.Helper()
	folders := map[string][]*ast.File{}
	for _, top := range []string{"internal", "cmd", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			folders[filepath.Dir(path)] = append(folders[filepath.Dir(path)], f)
			return err
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, len(folders) > 50, "%d folders", len(folders))
	return folders
}

// text returns the value of a string literal.
func text(n ast.Node) (value string, ok bool) {
	l, ok := n.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(l.Value)
	return value, err == nil
}

// called returns the name of the function or method that is called.
func called(c *ast.CallExpr) string {
	switch f := c.Fun.(type) {
	case *ast.SelectorExpr:
		return f.Sel.Name
	case *ast.Ident:
		return f.Name
	default:
		return ""
	}
}

// fieldMethods are zerolog's methods that add a field to a line.
var fieldMethods = []string{"Str", "Strs", "Stringer", "Stringers", "Int", "Ints", "Int64", "Uint8", "Uint16", "Uint32", "Uint64", "Float64",
	"Bool", "Dur", "Time", "Hex", "Bytes", "Interface", "Any", "RawJSON", "AnErr", "IPAddr"}

// field returns the line and the field that a call adds to it; the line is "*" if the call doesn't tell.
func field(c *ast.CallExpr) (name string, ok bool) {
	switch {
	case called(c) == "Msg" && len(c.Args) == 1:
		message, ok := text(c.Args[0])
		return "message " + message, ok
	case called(c) == "Err" && len(c.Args) == 1:
		name = "error"
	case slices.Contains(fieldMethods, called(c)) && len(c.Args) == 2:
		if name, ok = text(c.Args[0]); !ok {
			return "", false
		}
	default:
		return "", false
	}
	kind := kindOf(c)
	return kind + " " + name, name != "error" || kind != "*"
}

// kindOf follows a chain of calls to the one that begins the line, and returns the text that this one is given.
func kindOf(c *ast.CallExpr) string {
	for {
		s, ok := c.Fun.(*ast.SelectorExpr)
		if !ok {
			break
		}
		before, ok := s.X.(*ast.CallExpr)
		if !ok {
			break
		}
		c = before
	}
	if called(c) == "Err" || slices.Contains(fieldMethods, called(c)) {
		return "*" // the line began elsewhere
	}
	for _, a := range c.Args {
		if kind, ok := text(a); ok {
			return kind
		}
	}
	return "*"
}

// eachCall calls do for each call in the files.
func eachCall(files []*ast.File, do func(c *ast.CallExpr)) {
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			if c, ok := n.(*ast.CallExpr); ok {
				do(c)
			}
			return true
		})
	}
}

// sorted writes lines in order, each once.
func sorted(lines []string) string {
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "\n") + "\n"
}

// Guards against fields and kinds of log lines that change: scripts and the verb that tells a flow's story read lines of old
// and new processes together.
func TestNamesOfLogLines(t *testing.T) {
	var lines []string
	for _, files := range parsed(t) {
		eachCall(files, func(c *ast.CallExpr) {
			if f, ok := field(c); ok {
				lines = append(lines, f)
			}
		})
	}
	golden.Assert(t, sorted(lines), "lines.golden")
}

// namesOfMetrics are the texts with names of metrics, and with each the words that its functions are given.
func namesOfMetrics(files []*ast.File) (lines []string) {
	makers := map[string][]string{} // by name of the function, the metrics that it counts
	for name, bodies := range functions(files) {
		for _, d := range bodies {
			findMetrics(d, name, func(maker, metric string) {
				lines = append(lines, metric)
				makers[maker] = append(makers[maker], metric)
			})
		}
	}
	delete(makers, "") // of no function
	passOn(files, makers)
	tell := func(metrics []string, found []string) {
		for _, metric := range metrics {
			for _, word := range found {
				lines = append(lines, fmt.Sprintf("%s word %q", metric, word))
			}
		}
	}
	for name, metrics := range makers {
		for _, d := range functions(files)[name] {
			tell(metrics, assigned(d))
		}
	}
	eachCall(files, func(c *ast.CallExpr) {
		if metrics := makers[called(c)]; len(metrics) > 0 {
			tell(metrics, given(files, c))
		}
	})
	return lines
}

// functions returns the declarations of the files by the name of the function or method, others under no name.
func functions(files []*ast.File) map[string][]ast.Decl {
	byName := map[string][]ast.Decl{}
	for _, f := range files {
		for _, d := range f.Decls {
			name := ""
			if fn, ok := d.(*ast.FuncDecl); ok {
				name = fn.Name.Name
			}
			byName[name] = append(byName[name], d)
		}
	}
	return byName
}

// passOn adds the functions that hand a parameter of their own on to one that counts.
func passOn(files []*ast.File, makers map[string][]string) {
	for added := true; added; {
		added = false
		for _, f := range files {
			for _, d := range f.Decls {
				fn, ok := d.(*ast.FuncDecl)
				if !ok || fn.Body == nil {
					continue
				}
				for _, metric := range handedOn(fn, makers) {
					if !slices.Contains(makers[fn.Name.Name], metric) {
						makers[fn.Name.Name], added = append(makers[fn.Name.Name], metric), true
					}
				}
			}
		}
	}
}

// handedOn returns the metrics of functions that get a text parameter of fn.
func handedOn(fn *ast.FuncDecl, makers map[string][]string) (metrics []string) {
	var parameters []string
	for _, p := range fn.Type.Params.List {
		if t, ok := p.Type.(*ast.Ident); ok && t.Name == "string" {
			for _, n := range p.Names {
				parameters = append(parameters, n.Name)
			}
		}
	}
	ast.Inspect(fn.Body, func(n ast.Node) bool {
		if c, ok := n.(*ast.CallExpr); ok {
			for _, a := range c.Args {
				if i, ok := a.(*ast.Ident); ok && slices.Contains(parameters, i.Name) {
					metrics = append(metrics, makers[called(c)]...)
				}
			}
		}
		return true
	})
	return metrics
}

// assigned returns the texts that a function gives to variables.
func assigned(d ast.Decl) (found []string) {
	ast.Inspect(d, func(n ast.Node) bool {
		if a, ok := n.(*ast.AssignStmt); ok {
			for _, v := range a.Rhs {
				if word, ok := text(v); ok {
					found = append(found, word)
				}
			}
		}
		return true
	})
	return found
}

// given returns the texts that a call is given: as they stand, or as what a function of the folder returns.
func given(files []*ast.File, c *ast.CallExpr) (found []string) {
	for _, a := range c.Args {
		if word, ok := text(a); ok {
			found = append(found, word)
		}
		inner, ok := a.(*ast.CallExpr)
		if !ok {
			continue
		}
		for _, d := range functions(files)[called(inner)] {
			ast.Inspect(d, func(n ast.Node) bool {
				if r, ok := n.(*ast.ReturnStmt); ok && len(r.Results) > 0 {
					if word, ok := text(r.Results[0]); ok {
						found = append(found, word)
					}
				}
				return true
			})
		}
	}
	return found
}

// findMetrics tells each text with the name of a metric, and the innermost function with a name that holds it.
func findMetrics(n ast.Node, maker string, tell func(maker, metric string)) {
	ast.Inspect(n, func(inner ast.Node) bool {
		if a, ok := inner.(*ast.AssignStmt); ok && inner != n && len(a.Lhs) == 1 && len(a.Rhs) == 1 {
			name, isName := a.Lhs[0].(*ast.Ident)
			fn, isFunction := a.Rhs[0].(*ast.FuncLit)
			if isName && isFunction {
				findMetrics(fn.Body, name.Name, tell)
				return false
			}
		}
		if metric, ok := text(inner); ok && strings.HasPrefix(metric, "mangowinch_") {
			tell(maker, metric)
		}
		return true
	})
}

// Guards against names, labels and reasons of metrics that change: operators' queries and alarms add up old and new processes.
func TestNamesOfMetrics(t *testing.T) {
	var lines []string
	for _, files := range parsed(t) {
		lines = append(lines, namesOfMetrics(files)...)
	}
	golden.Assert(t, sorted(lines), "metrics.golden")
}

// words returns the values of a folder's string constants that have a type, a line for each type.
func words(files []*ast.File) (lines []string) {
	types := map[string][]string{}
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok || len(v.Values) != 1 {
				return true
			}
			typeName, isNamed := v.Type.(*ast.Ident)
			if word, ok := text(v.Values[0]); ok && isNamed && typeName.Name != "string" {
				types[typeName.Name] = append(types[typeName.Name], strconv.Quote(word))
			}
			return true
		})
	}
	for _, list := range types {
		slices.Sort(list)
		lines = append(lines, strings.Join(list, " "))
	}
	return lines
}

// Guards against states, roles, reasons and outcomes that change their words: they are in messages, log lines, metrics and
// settings. The list names no types, since those may be renamed.
func TestNamesOfStates(t *testing.T) {
	var lines []string
	for _, files := range parsed(t) {
		lines = append(lines, words(files)...)
	}
	golden.Assert(t, sorted(lines), "words.golden")
}
