package verbs

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/conf/strict"
)

// CheckCmd validates settings files and service documents.
type CheckCmd struct {
	Files []string `arg:"" name:"file" help:"Settings files and service documents; a file with [service] is a document."`
}

// Help returns the text that the command's --help shows below the usage line.
func (*CheckCmd) Help() string {
	return `Files are checked one by one and then against each other: addresses that two documents claim,
an agent's settings against the server section of its document, keys that a document names.

Exit codes: 0 no fault; 1 faults, one line each with file, section and key; 2 a file could not be read.`
}

// fileSet holds the parsed files that have no fault of their own.
type fileSet struct {
	documents []documentFile
	settings  []settingsFile
}

type documentFile struct {
	file    string
	service *docs.Service
}

type settingsFile struct {
	file string
	*prefs.Settings
}

// Run checks each file by itself and then the files against each other.
func (c *CheckCmd) Run(o *console) error {
	var all fileSet
	var faults strict.Faults
	for _, file := range c.Files {
		err := all.load(file)
		var found strict.Faults
		if err != nil && !errors.As(err, &found) {
			return withExitCode(exitUsage, err)
		}
		faults = append(faults, found...)
	}
	faults = append(faults, all.crossCheck()...)
	for _, f := range faults {
		fmt.Fprintln(o.out, f.Error())
	}
	if len(faults) > 0 {
		return withExitCode(exitFailure, errors.Newf("%d faults in %d files", len(faults), len(c.Files)))
	}
	fmt.Fprintf(o.out, "%d files, no fault\n", len(c.Files))
	return nil
}

func (fs *fileSet) load(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, ok := strict.Read(file, text).Maybe("service"); ok {
		s, err := docs.Parse(file, text)
		if err != nil {
			return err
		}
		fs.documents = append(fs.documents, documentFile{file, s})
		return nil
	}
	s, err := prefs.Load(file)
	if err != nil {
		return err
	}
	fs.settings = append(fs.settings, settingsFile{file, s})
	return nil
}
