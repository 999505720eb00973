package verbs

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/conf/strict"
)

// CheckCmd checks settings and documents.
type CheckCmd struct {
	Files []string `arg:"" name:"file" help:"Settings files and service documents; a file with [service] is a document."`
}

// Help is shown under the verb's own --help.
func (*CheckCmd) Help() string {
	return `Files are checked one by one and then against each other: addresses that two documents claim,
an agent's settings against the server section of its document, keys that a document names.

Exit codes: 0 no fault; 1 faults, one line each with file, section and key; 2 a file could not be read.`
}

// checked is what came out of the files that have no fault of their own.
type checked struct {
	documents []document
	settings  []setting
}

type document struct {
	file    string
	service *docs.Service
}

type setting struct {
	file string
	*prefs.Settings
}

// Run checks the files.
func (c *CheckCmd) Run(o *console) error {
	var all checked
	var faults strict.Faults
	for _, file := range c.Files {
		err := all.load(file)
		var found strict.Faults
		if err != nil && !errors.As(err, &found) {
			return fail(exitUse, err)
		}
		faults = append(faults, found...)
	}
	faults = append(faults, all.cross()...)
	for _, f := range faults {
		fmt.Fprintln(o.out, f.Error())
	}
	if len(faults) > 0 {
		return fail(exitFault, errors.Newf("%d faults in %d files", len(faults), len(c.Files)))
	}
	fmt.Fprintf(o.out, "%d files, no fault\n", len(c.Files))
	return nil
}

func (a *checked) load(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, ok := strict.Read(file, text).Maybe("service"); ok {
		s, err := docs.Parse(file, text)
		if err != nil {
			return err
		}
		a.documents = append(a.documents, document{file, s})
		return nil
	}
	s, err := prefs.Load(file)
	if err != nil {
		return err
	}
	a.settings = append(a.settings, setting{file, s})
	return nil
}
