package verbs

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/room"
)

// HeadroomCmd shows how much room services have, and what would be refused.
type HeadroomCmd struct {
	Addresses []netip.AddrPort `arg:"" name:"address" help:"Operators' addresses of entries and agents."`
	Without   []string         `name:"without" placeholder:"NAME" help:"Leave out these servers, by ID or agent's address, or failure domains."`
}

// Help returns the text that the command's --help shows below the usage line.
func (*HeadroomCmd) Help() string {
	return `Shows by service and failure domain the capacity of the servers, the requests in progress, the waits of new flows
by priority and the age of the oldest figure; what callers ask for; and what would be refused. Entries know the servers
that they use and what they are asked for, agents their own server: ask all entries for the whole.

Exit codes: 0 all processes answer; 1 some do not, so the sums are partial; 2 none does, or wrong use.`
}

// roomAnswer is the part of a /status response that headroom reads.
type roomAnswer struct {
	Sections struct {
		Room *room.Report `json:"room"` // nil if the process has no such section
	} `json:"sections"`

	err error
}

// Run queries the processes and prints the sums of what they know.
func (c *HeadroomCmd) Run(ctx context.Context, o *console) error {
	answers := fetchAll(ctx, c.Addresses, fetchRoom)
	var reports []room.Report
	for i := range answers {
		a := &answers[i]
		if a.err != nil {
			fmt.Fprintf(o.out, "%s: %v\n", c.Addresses[i], a.err)
			continue
		}
		reports = append(reports, *a.Sections.Room)
	}
	if len(reports) == 0 {
		return withExitCode(exitUsage, errors.New("no process has answered"))
	}
	all := room.Merge(reports)
	if names := all.Unmatched(c.Without); len(names) > 0 {
		return withExitCode(exitUsage, errors.Newf("no server or failure domain %s", strings.Join(names, ", ")))
	}
	missing := len(answers) - len(reports)
	if missing == 0 {
		c.print(o.out, &all)
		return nil
	}
	partial := errors.Newf("%d of %d processes are missing", missing, len(answers))
	fmt.Fprintf(o.out, "%v: the sums are partial\n\n", partial)
	c.print(o.out, &all)
	return withExitCode(exitFailure, partial)
}

func fetchRoom(ctx context.Context, address netip.AddrPort) (a roomAnswer) {
	text, err := fetch(ctx, "http://"+address.String()+"/status")
	switch {
	case err != nil:
		a.err = errors.New("does not answer")
	case json.Unmarshal(text, &a) != nil:
		a.err = errors.New("the answer can't be read")
	case a.Sections.Room == nil:
		a.err = errors.New("has no section room")
	}
	return a
}

func (c *HeadroomCmd) print(out io.Writer, all *room.Report) {
	printSums(out, all.Sums())
	fmt.Fprintln(out)
	printDemands(out, all.Demands)
	fmt.Fprintln(out)
	if len(c.Without) > 0 {
		fmt.Fprintf(out, "without %s\n", strings.Join(c.Without, ", "))
	}
	printOutlooks(out, all.Outlooks(c.Without))
}

// unknown stands in a table for a figure that no process has reported.
const unknown = "?"

// formatIf formats a figure, or returns unknown.
func formatIf(known bool, format string, args ...any) string {
	if !known {
		return unknown
	}
	return fmt.Sprintf(format, args...)
}

func printSums(out io.Writer, sums []room.Sum) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\tdomain\tservers\tclosed\tunmeasured\tslots\tin progress\tcapacity/s\twaits ms\toldest")
	for i := range sums {
		s := &sums[i]
		waits := make([]string, msgs.NumWaits)
		for p, ms := range s.WaitMillis {
			waits[p] = fmt.Sprintf("%.0f", ms)
		}
		age := time.Duration(s.OldestMillis) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", s.Service, s.Domain, s.Servers, s.Closed, s.Unknown, s.Slots, s.Busy,
			formatIf(s.Capacity > 0, "%.0f", s.Capacity), strings.Join(waits, "/"), age.Round(100*time.Millisecond))
	}
	_ = w.Flush() // write errors are ignored, as everywhere in the output of results
}

func printDemands(out io.Writer, demands []room.Demand) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\tpriority\tasked/s\topened/s\tlevel")
	for _, d := range demands {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%d%%\n", d.Service, d.Priority, d.Asked, d.Opened, d.Percent)
	}
	_ = w.Flush()
}

func printOutlooks(out io.Writer, list []room.Outlook) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\tservers\tcapacity/s\toffered/s\trefused\tby priority")
	for i := range list {
		o := &list[i]
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", o.Service, o.Servers, formatIf(o.Known, "%.0f", o.Capacity),
			formatIf(o.Known, "%.0f", o.Offered), formatIf(o.Known, "%.0f%%", o.Percent), cmp.Or(refusedByPriority(o), unknown))
	}
	_ = w.Flush()
}

// refusedByPriority returns the refused part of each priority's flows, or "" if it is unknown: no service time or no
// demand was reported.
func refusedByPriority(o *room.Outlook) string {
	if !o.Known {
		return ""
	}
	var words []string
	for _, p := range slices.Sorted(maps.Keys(o.RefusedPercent)) {
		words = append(words, fmt.Sprintf("%d: %.0f%%", p, o.RefusedPercent[p]))
	}
	return strings.Join(words, " ")
}
