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

// parseFolders returns the parsed files of each folder, except tests and generated code.
func parseFolders(t *testing.T) map[string][]*ast.File {
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

// stringLiteral returns the value of a node that is a string literal.
func stringLiteral(n ast.Node) (value string, ok bool) {
	l, ok := n.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(l.Value)
	return value, err == nil
}

// calleeName returns the name of the called function or method.
func calleeName(c *ast.CallExpr) string {
	switch f := c.Fun.(type) {
	case *ast.SelectorExpr:
		return f.Sel.Name
	case *ast.Ident:
		return f.Name
	default:
		return ""
	}
}

// fieldMethods are the methods of zerolog that add a field to a line.
var fieldMethods = []string{"Str", "Strs", "Stringer", "Stringers", "Int", "Ints", "Int64", "Uint8", "Uint16", "Uint32", "Uint64", "Float64",
	"Bool", "Dur", "Time", "Hex", "Bytes", "Interface", "Any", "RawJSON", "AnErr", "IPAddr"}

// logField returns the kind of a log line and the field that a call adds to it. The kind is "*" if the call's chain does not
// contain the start of the line.
func logField(c *ast.CallExpr) (name string, ok bool) {
	switch {
	case calleeName(c) == "Msg" && len(c.Args) == 1:
		message, ok := stringLiteral(c.Args[0])
		return "message " + message, ok
	case calleeName(c) == "Err" && len(c.Args) == 1:
		name = "error"
	case slices.Contains(fieldMethods, calleeName(c)) && len(c.Args) == 2:
		if name, ok = stringLiteral(c.Args[0]); !ok {
			return "", false
		}
	default:
		return "", false
	}
	kind := lineKind(c)
	return kind + " " + name, name != "error" || kind != "*"
}

// lineKind follows a chain of calls back to the one that starts the line, and returns that call's first string literal.
func lineKind(c *ast.CallExpr) string {
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
	if calleeName(c) == "Err" || slices.Contains(fieldMethods, calleeName(c)) {
		return "*" // the line was started elsewhere
	}
	for _, a := range c.Args {
		if kind, ok := stringLiteral(a); ok {
			return kind
		}
	}
	return "*"
}

// eachCall calls do for each call expression in the files.
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

// sortedLines returns the lines in sorted order without duplicates.
func sortedLines(lines []string) string {
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "\n") + "\n"
}

// Guards against changed fields and kinds of log lines: scripts and the explain command read the lines of old and new
// processes together.
func TestNamesOfLogLines(t *testing.T) {
	var lines []string
	for _, files := range parseFolders(t) {
		eachCall(files, func(c *ast.CallExpr) {
			if f, ok := logField(c); ok {
				lines = append(lines, f)
			}
		})
	}
	golden.Assert(t, sortedLines(lines), "lines.golden")
}

// metricNames returns the string literals that begin with the metric prefix, and for each of them the words that complete
// it: the string literals that are assigned in the function that contains it, or passed to that function.
func metricNames(files []*ast.File) (lines []string) {
	metricsByFunc := map[string][]string{} // function name to the metrics that it counts
	for name, bodies := range declsByFunc(files) {
		for _, d := range bodies {
			findMetrics(d, name, func(function, metric string) {
				lines = append(lines, metric)
				metricsByFunc[function] = append(metricsByFunc[function], metric)
			})
		}
	}
	delete(metricsByFunc, "") // literals outside of functions
	addForwarders(files, metricsByFunc)
	addWords := func(metrics []string, found []string) {
		for _, metric := range metrics {
			for _, word := range found {
				lines = append(lines, fmt.Sprintf("%s word %q", metric, word))
			}
		}
	}
	for name, metrics := range metricsByFunc {
		for _, d := range declsByFunc(files)[name] {
			addWords(metrics, assignedStrings(d))
		}
	}
	eachCall(files, func(c *ast.CallExpr) {
		if metrics := metricsByFunc[calleeName(c)]; len(metrics) > 0 {
			addWords(metrics, argumentStrings(files, c))
		}
	})
	return lines
}

// declsByFunc returns the declarations by the name of the function or method; other declarations are under the empty name.
func declsByFunc(files []*ast.File) map[string][]ast.Decl {
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

// addForwarders adds the functions that pass a parameter of their own to a function that counts, directly or indirectly.
func addForwarders(files []*ast.File, metricsByFunc map[string][]string) {
	for added := true; added; {
		added = false
		for _, f := range files {
			for _, d := range f.Decls {
				fn, ok := d.(*ast.FuncDecl)
				if !ok || fn.Body == nil {
					continue
				}
				for _, metric := range forwardedMetrics(fn, metricsByFunc) {
					if !slices.Contains(metricsByFunc[fn.Name.Name], metric) {
						metricsByFunc[fn.Name.Name], added = append(metricsByFunc[fn.Name.Name], metric), true
					}
				}
			}
		}
	}
}

// forwardedMetrics returns the metrics of the functions to which fn passes one of its string parameters.
func forwardedMetrics(fn *ast.FuncDecl, metricsByFunc map[string][]string) (metrics []string) {
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
					metrics = append(metrics, metricsByFunc[calleeName(c)]...)
				}
			}
		}
		return true
	})
	return metrics
}

// assignedStrings returns the string literals that a function assigns to variables.
func assignedStrings(d ast.Decl) (found []string) {
	ast.Inspect(d, func(n ast.Node) bool {
		if a, ok := n.(*ast.AssignStmt); ok {
			for _, v := range a.Rhs {
				if word, ok := stringLiteral(v); ok {
					found = append(found, word)
				}
			}
		}
		return true
	})
	return found
}

// argumentStrings returns the string arguments of a call: literals, and literals returned by functions of the
// same folder that are called in the argument list.
func argumentStrings(files []*ast.File, c *ast.CallExpr) (found []string) {
	for _, a := range c.Args {
		if word, ok := stringLiteral(a); ok {
			found = append(found, word)
		}
		inner, ok := a.(*ast.CallExpr)
		if !ok {
			continue
		}
		for _, d := range declsByFunc(files)[calleeName(inner)] {
			ast.Inspect(d, func(n ast.Node) bool {
				if r, ok := n.(*ast.ReturnStmt); ok && len(r.Results) > 0 {
					if word, ok := stringLiteral(r.Results[0]); ok {
						found = append(found, word)
					}
				}
				return true
			})
		}
	}
	return found
}

// findMetrics reports each string literal that begins with the metric prefix, with the innermost named function around it.
func findMetrics(n ast.Node, function string, report func(function, metric string)) {
	ast.Inspect(n, func(inner ast.Node) bool {
		if a, ok := inner.(*ast.AssignStmt); ok && inner != n && len(a.Lhs) == 1 && len(a.Rhs) == 1 {
			name, isName := a.Lhs[0].(*ast.Ident)
			fn, isFunction := a.Rhs[0].(*ast.FuncLit)
			if isName && isFunction {
				findMetrics(fn.Body, name.Name, report)
				return false
			}
		}
		if metric, ok := stringLiteral(inner); ok && strings.HasPrefix(metric, "mangowinch_") {
			report(function, metric)
		}
		return true
	})
}

// Guards against changed names, labels and reasons of metrics: operators' queries and alerts aggregate over old and new
// processes.
func TestNamesOfMetrics(t *testing.T) {
	var lines []string
	for _, files := range parseFolders(t) {
		lines = append(lines, metricNames(files)...)
	}
	golden.Assert(t, sortedLines(lines), "metrics.golden")
}

// typedConstants returns the values of a folder's string constants of named types, one line per type.
func typedConstants(files []*ast.File) (lines []string) {
	types := map[string][]string{}
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok || len(v.Values) != 1 {
				return true
			}
			typeName, isNamed := v.Type.(*ast.Ident)
			if word, ok := stringLiteral(v.Values[0]); ok && isNamed && typeName.Name != "string" {
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

// Guards against changed values of states, roles, reasons and outcomes, which are used in messages, log lines, metrics and
// settings. The golden file does not contain the type names, since types may be renamed.
func TestNamesOfStates(t *testing.T) {
	var lines []string
	for _, files := range parseFolders(t) {
		lines = append(lines, typedConstants(files)...)
	}
	golden.Assert(t, sortedLines(lines), "words.golden")
}
