package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/flow/order"
	"mangowinch/internal/node/start"
	"mangowinch/internal/oper/admin"
)

// maxConcurrent is how many processes are queried at a time.
const maxConcurrent = 16

// CompareCmd compares the readiness and the document revisions of several processes.
type CompareCmd struct {
	Addresses []netip.AddrPort `arg:"" name:"address" help:"Operators' addresses of processes."`
}

// Help returns the text that the command's --help shows below the usage line.
func (*CompareCmd) Help() string {
	return `Shows which processes are ready, which version they run, and the revisions of documents that are not the same
everywhere. After a document was published, or before a key is put to use, this says whether all have it.

Exit codes: 0 all answer, are ready and have the same revisions; 1 not so; 2 wrong use.`
}

// answer is the part of a /status response that compare reads.
type answer struct {
	Ready      bool          `json:"ready"`
	Conditions []admin.State `json:"conditions"`
	Sections   struct {
		Process   start.Process    `json:"process"`
		Documents []start.Document `json:"documents"`
	} `json:"sections"`

	err error
}

// Run queries the processes and prints a table of them and the differences.
func (c *CompareCmd) Run(ctx context.Context, o *console) error {
	answers := fetchAll(ctx, c.Addresses, fetchStatus)
	printAnswers(o.out, c.Addresses, answers)
	differing := differences(answers)
	for _, d := range differing {
		fmt.Fprintln(o.out, d)
	}
	unready := slices.ContainsFunc(answers, func(a answer) bool { return a.err != nil || !a.Ready })
	if unready || len(differing) > 0 {
		return withExitCode(exitFailure, errors.New("not all processes are ready with the same document revisions"))
	}
	return nil
}

// fetchAll queries several processes concurrently and returns their answers in the order of the addresses. Each answer
// holds its own error.
func fetchAll[A any](ctx context.Context, addresses []netip.AddrPort, fetch func(context.Context, netip.AddrPort) A) (answers []A) {
	answers = make([]A, len(addresses))
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for i, a := range addresses {
		g.Go(func() error {
			answers[i] = fetch(ctx, a)
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

func fetchStatus(ctx context.Context, address netip.AddrPort) (a answer) {
	text, err := fetch(ctx, "http://"+address.String()+"/status")
	if err == nil {
		err = json.Unmarshal(text, &a)
	}
	a.err = err
	return a
}

func printAnswers(out io.Writer, addresses []netip.AddrPort, answers []answer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "address\tname\trole\tdomain\tversion\tdocuments\tstate")
	for i := range answers {
		a := &answers[i]
		p := a.Sections.Process
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", addresses[i], p.Name, p.Role, p.Domain, p.Version, len(a.Sections.Documents), a.state())
	}
	_ = w.Flush() // write errors are ignored, as everywhere in the output of results
}

// state returns "ready", or the reasons why the process is not.
func (a *answer) state() string {
	switch {
	case a.err != nil:
		return "does not answer"
	case a.Ready:
		return "ready"
	}
	var reasons []string
	for _, c := range a.Conditions {
		if !c.Met {
			reasons = append(reasons, c.Name+": "+c.Reason)
		}
	}
	return strings.Join(reasons, "; ")
}

// differences returns a line for each document that processes hold in different revisions, and for each newer
// revision that a process has received and cannot use. A process without a
// document is not a difference: agents hold only the document of their own service.
func differences(answers []answer) (lines []string) {
	holders := map[string]map[order.Revision][]string{} // document to revision to names of processes
	for i := range answers {
		s := &answers[i].Sections
		for _, d := range s.Documents {
			if d.Fault != "" {
				lines = append(lines, fmt.Sprintf("%s: %s cannot use revision %s", d.Name, s.Process.Name, d.Refused))
			}
			if holders[d.Name] == nil {
				holders[d.Name] = map[order.Revision][]string{}
			}
			holders[d.Name][d.Revision] = append(holders[d.Name][d.Revision], s.Process.Name)
		}
	}
	for name, revisions := range holders {
		if len(revisions) < 2 {
			continue
		}
		for revision, names := range revisions {
			lines = append(lines, fmt.Sprintf("%s: revision %s at %s", name, revision, strings.Join(names, ", ")))
		}
	}
	slices.Sort(lines)
	return lines
}
