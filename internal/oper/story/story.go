// Package story reconstructs from collected log lines what the system did with one flow.
//
// Each process logs its decisions about a flow with the flow's addresses (package event).
// Sorted by time over all processes, together with the belief of each process at that time, these lines explain why a
// request was refused, was not answered, or was reset. The output also lists what is missing: lines that were
// omitted because a budget was exhausted, and expected events that are absent.
//
// The package reads only the lines that it is given; it queries no process.
//
// Lines that are not events are skipped, and so is any text before the first brace of a line, since log
// collectors may add a prefix.
//
// # Usage
//
//	s, err := story.Read(flow, files...)
//	s.Print(os.Stdout)
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/segs"
)

// maxLine is the maximum length of a line in bytes; events have about 300.
const maxLine = 1 << 20

// Event is one parsed log line.
type Event struct {
	Time    string
	Process string
	Role    string
	Name    string
	Fields  map[string]any // all other fields
}

// Timeline holds the events of one flow and the beliefs of the processes that logged them.
type Timeline struct {
	Flow          segs.Flow
	Events        []Event          // of the flow, sorted by time
	Beliefs       map[string]Event // by process, its last change of belief before its last event of the flow
	Dropped       map[string]int   // by process, number of omitted lines
	Lines         int              // events read, of any flow
	beliefChanges map[string][]Event
}

// Read collects the events of a flow from logs.
func Read(f segs.Flow, logs ...io.Reader) (t *Timeline, err error) {
	defer func() { err = errors.Wrap(err, "read log lines") }()
	t = &Timeline{Flow: f, Beliefs: map[string]Event{}, Dropped: map[string]int{}, beliefChanges: map[string][]Event{}}
	for _, r := range logs {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLine)
		for lines.Scan() {
			t.addLine(lines.Bytes())
		}
		if err := lines.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(t.Events, func(a, b Event) int { return strings.Compare(a.Time, b.Time) })
	for _, e := range t.Events {
		for _, b := range t.beliefChanges[e.Process] {
			if b.Time <= e.Time {
				t.Beliefs[e.Process] = b
			}
		}
	}
	return t, nil
}

func (t *Timeline) addLine(line []byte) {
	at := bytes.IndexByte(line, '{')
	if at < 0 {
		return
	}
	e, ok := parseEvent(line[at:])
	if !ok {
		return
	}
	t.Lines++
	switch {
	case e.Fields["flow"] == t.Flow.String():
		delete(e.Fields, "flow")
		t.Events = append(t.Events, e)
	case e.Name == "belief":
		t.beliefChanges[e.Process] = append(t.beliefChanges[e.Process], e)
	case e.Name == "log-dropped":
		count, _ := e.Fields["lines"].(float64)
		t.Dropped[e.Process] += int(count)
	}
}

func parseEvent(line []byte) (e Event, ok bool) {
	fields := map[string]any{}
	if json.Unmarshal(line, &fields) != nil {
		return Event{}, false
	}
	text := func(key string) string {
		value, _ := fields[key].(string)
		delete(fields, key)
		return value
	}
	e = Event{Time: text("time"), Process: text("process"), Role: text("role"), Name: text("event"), Fields: fields}
	return e, e.Name != ""
}

// Print writes the events, the beliefs, what is missing, and the outcome of the flow.
func (t *Timeline) Print(w io.Writer) {
	fmt.Fprintf(w, "flow %s: %d events in %d lines\n", t.Flow, len(t.Events), t.Lines)
	for _, e := range t.Events {
		fmt.Fprintf(w, "%s  %-20s %-12s %s\n", e.Time, e.Process, e.Name, formatFields(e.Fields))
	}
	for _, p := range slices.Sorted(maps.Keys(t.Beliefs)) {
		b := t.Beliefs[p]
		fmt.Fprintf(w, "believed by %s since %s: %s\n", p, b.Time, formatFields(b.Fields))
	}
	for _, m := range t.missing() {
		fmt.Fprintf(w, "missing: %s\n", m)
	}
	fmt.Fprintf(w, "end: %s\n", t.outcome())
}

func formatFields(fields map[string]any) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", k, fields[k]))
	}
	return strings.Join(parts, " ")
}

// outcomes maps the name of a flow's last event to what it means for the caller.
var outcomes = map[string]string{
	"refused":     "refused: reset before it was open, so no server has run anything",
	"reset":       "reset by an agent: no server holds it any more, or its server fails (why); what ran before is not known here",
	"owner-lost":  "reset by an entry: the agent that owns it answers nobody; what ran before is not known here",
	"gave-up":     "waited at an agent until its caller gave up; no server received it and nothing was said to the caller",
	"handed-back": "returned by an agent and not placed again in these lines",
	"unanswered":  "no server has answered its opening packet",
	"unfound":     "nobody was found who holds it, and not all could be asked; nothing was said to the caller",
	"unheard":     "being searched for; an agent whose server may hold it has not answered yet, so nothing was said to the caller",
	"search":      "the owner is being looked up; the answer is not in these lines",
	"opened":      "open at a server; the outcome of its requests is known only to the server and the caller",
	"told":        "its packets are forwarded to the agent that owns it",
	"learned":     "held by a server whose agent has restarted",
	"waits":       "waiting at an agent for a slot of its server; whether it got one is not in these lines",
	"copied":      "a copy of its opening packet was sent to the same agent; whether its server accepted is not in these lines",
	"final":       "an agent was asked to take the flow itself, as no further agent is left; whether it did is not in these lines",
	"link-late":   "unanswered because the entry's own link is late; its opening packet was sent to the same agent again",
	"link-waits":  "waiting at an entry for its turn at the entry's link; whether it got one is not in these lines",
	"offered":     "offered to another agent, whose lines are not among those read",
	"turned-back": "returned by an agent to its entry and not placed again in these lines",
	"placed":      "sent to an agent; whether its server accepted is not in these lines",
	"asked":       "its home was queried for the owner; the answer is not in these lines",
	"circled":     "forwarded too often and dropped: the lists of agents differ between processes",
}

func (t *Timeline) outcome() string {
	if len(t.Events) == 0 {
		return "unknown"
	}
	last := t.Events[len(t.Events)-1].Name
	if text := outcomes[last]; text != "" {
		return text
	}
	return last
}

// missing lists the information that is absent from the lines that were read.
func (t *Timeline) missing() (list []string) {
	if len(t.Events) == 0 {
		list = append(list, "any event of this flow: it is none of those whose ordinary events are written (one in sixteen), and nothing failed; "+
			"or the lines of the process that took it aren't here")
	}
	has := func(name string) bool {
		return slices.ContainsFunc(t.Events, func(e Event) bool { return e.Name == name })
	}
	if has("opened") && !has("placed") {
		list = append(list, "placed: the entry's lines are not among those read, or the entry was killed before it wrote them")
	}
	for _, p := range slices.Sorted(maps.Keys(t.Dropped)) {
		list = append(list, fmt.Sprintf("%d lines of %s, left out for its budget", t.Dropped[p], p))
	}
	return list
}
