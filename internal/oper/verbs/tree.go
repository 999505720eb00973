package verbs

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// tree writes decoded JSON for people: objects as indented lines, lists of objects
// without lists as tables.
type tree struct {
	w io.Writer
}

const indent = "  "

func (t *tree) line(depth int, text string) {
	fmt.Fprintf(t.w, "%s%s\n", strings.Repeat(indent, depth), text)
}

func (t *tree) value(depth int, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		t.line(depth, name)
		for _, k := range sorted(v) {
			t.value(depth+1, k, v[k])
		}
	case []any:
		t.list(depth, name, v)
	default:
		t.line(depth, name+": "+scalar(v))
	}
}

func (t *tree) list(depth int, name string, list []any) {
	if rows, columns, ok := table(list); ok {
		t.line(depth, name)
		t.rows(depth+1, columns, rows)
		return
	}
	if !slices.ContainsFunc(list, nested) {
		words := make([]string, len(list))
		for i, x := range list {
			words[i] = scalar(x)
		}
		t.line(depth, name+": "+strings.Join(words, ", "))
		return
	}
	t.line(depth, name)
	for i, x := range list {
		t.item(depth+1, i, x)
	}
}

// item writes an object of a list under its name if it has one, else under its number.
func (t *tree) item(depth, i int, x any) {
	if object, ok := x.(map[string]any); ok {
		if name, ok := object["name"].(string); ok {
			rest := maps.Clone(object)
			delete(rest, "name")
			t.value(depth, name, rest)
			return
		}
	}
	t.value(depth, fmt.Sprint(i), x)
}

func (t *tree) rows(depth int, columns []string, rows []map[string]any) {
	w := tabwriter.NewWriter(t.w, 0, 0, 2, ' ', 0)
	prefix := strings.Repeat(indent, depth)
	fmt.Fprintf(w, "%s%s\n", prefix, strings.Join(columns, "\t"))
	for _, row := range rows {
		cells := make([]string, len(columns))
		for i, c := range columns {
			cells[i] = scalar(row[c])
		}
		fmt.Fprintf(w, "%s%s\n", prefix, strings.Join(cells, "\t"))
	}
	_ = w.Flush() // writes to the same place as the lines, whose errors are not looked at either
}

// table returns the rows and columns of a list of objects that hold no lists: name
// first, the rest by letter.
func table(list []any) (rows []map[string]any, columns []string, ok bool) {
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
	columns = sorted(seen)
	if i := slices.Index(columns, "name"); i > 0 {
		columns = slices.Insert(slices.Delete(columns, i, i+1), 0, "name")
	}
	return rows, columns, len(columns) > 0
}

// flatten copies an object's values to a row, those of an object in it as outer.inner.
// It reports false if there is a list anywhere.
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

func nested(v any) bool {
	switch v.(type) {
	case map[string]any, []any:
		return true
	}
	return false
}

func scalar(v any) string {
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

func sorted(m map[string]any) []string {
	return slices.Sorted(maps.Keys(m))
}
