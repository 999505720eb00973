package matrix

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/faults"
)

// Guards against a page that differs from the registry.
func TestPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../../docs/FAULTS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Page(), "write it with: go run ./cmd/standin matrix > docs/FAULTS.md")
}

// Guards against cells that name a renamed or removed test.
func TestNamedTestsExist(t *testing.T) {
	name := regexp.MustCompile(`(?m)^func (Test\w+)\(t \*testing\.T\)`)
	found := map[string]bool{}
	files, err := filepath.Glob("../../*/*/*_test.go")
	assert.NilError(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		directory := filepath.Dir(file)
		for _, match := range name.FindAllSubmatch(text, -1) {
			area := filepath.Base(filepath.Dir(directory))
			found[area+"/"+filepath.Base(directory)+"."+string(match[1])] = true
		}
	}
	for _, test := range Tests() {
		assert.Assert(t, found[test], "test %s does not exist", test)
	}
}

func TestNamedScenariosExist(t *testing.T) {
	var known []string
	for _, s := range faults.Scenarios() {
		known = append(known, s.Name)
	}
	for _, name := range Scenarios() {
		assert.Assert(t, slices.Contains(known, name), "scenario %s does not exist", name)
	}
}

// Guards against a misspelt row or fault, which would silently omit the cell from the page.
func TestCellsHaveKnownRowsAndFaults(t *testing.T) {
	inRows := func(rows []Promise, name string) bool {
		return slices.ContainsFunc(rows, func(p Promise) bool { return p.Name == name })
	}
	inFaults := func(name string) bool {
		return slices.ContainsFunc(faultKinds, func(f Fault) bool { return f.Name == name })
	}
	for _, c := range promiseCells {
		assert.Assert(t, inRows(promises, c.Row) && inFaults(c.Fault), "%s %s", c.Row, c.Fault)
	}
	for _, c := range stepCells {
		assert.Assert(t, inRows(requestSteps, c.Row) && inFaults(c.Fault), "%s %s", c.Row, c.Fault)
	}
}
