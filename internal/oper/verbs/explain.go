package verbs

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/story"
)

// errNoEvents is returned if the lines contain no event of the flow. The printed timeline gives possible reasons.
var errNoEvents = errors.New("no event of this flow")

// ExplainCmd prints from collected log lines what the system did with one opaque flow.
type ExplainCmd struct {
	Flow  string   `arg:"" help:"CALLER:PORT>ADDRESS:PORT, as log lines print it (quote it)."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Collected log lines of all processes; standard input if none."`
}

// Help returns the text that the command's --help shows below the usage line.
func (*ExplainCmd) Help() string {
	return `Prints the flow's events of all processes in order, what each process believed then, and what the lines cannot tell.

Exit codes: 0 events found; 1 none; 2 wrong use or unreadable file.`
}

// Run reads the lines and prints the flow's timeline.
func (c *ExplainCmd) Run(console *console) error {
	flow, err := segs.ParseFlow(c.Flow)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	return explain(console, flow, c.Files)
}

func explain(console *console, flow segs.Flow, files []string) error {
	logs := []io.Reader{console.in}
	if len(files) > 0 {
		logs = nil
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	s, err := story.Read(flow, logs...)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	s.Print(console.out)
	if len(s.Events) == 0 {
		return withExitCode(exitFailure, errNoEvents)
	}
	return nil
}
