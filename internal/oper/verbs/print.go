package verbs

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// treePrinter writes decoded JSON in a readable form: objects as indented lines, and lists of objects
// that contain no lists as tables.
type treePrinter struct {
	w io.Writer
}

const indent = "  "

func (t *treePrinter) printLine(depth int, text string) {
	fmt.Fprintf(t.w, "%s%s\n", strings.Repeat(indent, depth), text)
}

func (t *treePrinter) printValue(depth int, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		t.printLine(depth, name)
		for _, k := range sortedKeys(v) {
			t.printValue(depth+1, k, v[k])
		}
	case []any:
		t.printList(depth, name, v)
	default:
		t.printLine(depth, name+": "+formatScalar(v))
	}
}

func (t *treePrinter) printList(depth int, name string, list []any) {
	if rows, columns, ok := tableOf(list); ok {
		t.printLine(depth, name)
		t.printTable(depth+1, columns, rows)
		return
	}
	if !slices.ContainsFunc(list, isNested) {
		words := make([]string, len(list))
		for i, x := range list {
			words[i] = formatScalar(x)
		}
		t.printLine(depth, name+": "+strings.Join(words, ", "))
		return
	}
	t.printLine(depth, name)
	for i, x := range list {
		t.printItem(depth+1, i, x)
	}
}

// printItem writes an element of a list. An object with a name has it as its heading, other elements have their index.
func (t *treePrinter) printItem(depth, i int, x any) {
	if object, ok := x.(map[string]any); ok {
		if name, ok := object["name"].(string); ok {
			rest := maps.Clone(object)
			delete(rest, "name")
			t.printValue(depth, name, rest)
			return
		}
	}
	t.printValue(depth, fmt.Sprint(i), x)
}

func (t *treePrinter) printTable(depth int, columns []string, rows []map[string]any) {
	w := tabwriter.NewWriter(t.w, 0, 0, 2, ' ', 0)
	prefix := strings.Repeat(indent, depth)
	fmt.Fprintf(w, "%s%s\n", prefix, strings.Join(columns, "\t"))
	for _, row := range rows {
		cells := make([]string, len(columns))
		for i, c := range columns {
			cells[i] = formatScalar(row[c])
		}
		fmt.Fprintf(w, "%s%s\n", prefix, strings.Join(cells, "\t"))
	}
	_ = w.Flush() // write errors are ignored, as everywhere in the output of results
}

// tableOf returns the rows and columns of a list of objects that contain no lists. The column name
// is the first, the others are sorted.
func tableOf(list []any) (rows []map[string]any, columns []string, ok bool) {
	seen := map[string]any{}
	for _, x := range list {
		object, ok := x.(map[string]any)
		row := map[string]any{}
		if !ok || !flatten(row, "", object) {
			return nil, nil, false
		}
		maps.Copy(seen, row)
		rows = append(rows, row)
	}
	columns = sortedKeys(seen)
	if i := slices.Index(columns, "name"); i > 0 {
		columns = slices.Insert(slices.Delete(columns, i, i+1), 0, "name")
	}
	return rows, columns, len(columns) > 0
}

// flatten copies the values of an object into a row; the value of a nested object's key has the column outer.inner.
// It returns false if the object contains a list at any depth.
func flatten(row map[string]any, prefix string, object map[string]any) bool {
	for k, v := range object {
		switch v := v.(type) {
		case []any:
			return false
		case map[string]any:
			if !flatten(row, prefix+k+".", v) {
				return false
			}
		default:
			row[prefix+k] = v
		}
	}
	return true
}

func isNested(v any) bool {
	switch v.(type) {
	case map[string]any, []any:
		return true
	}
	return false
}

func formatScalar(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case string:
		if v == "" {
			return "-"
		}
		return v
	case float64:
		if v == float64(int64(v)) {
			return fmt.Sprint(int64(v))
		}
	}
	return fmt.Sprint(v)
}

func sortedKeys(m map[string]any) []string {
	return slices.Sorted(maps.Keys(m))
}
