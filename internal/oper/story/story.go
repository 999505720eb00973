// Package story tells from collected log lines what the system did with one flow.
//
// Each process writes its decisions about a flow with the flow's addresses (package event).
// Put in order of time over all processes, with what each process believed then, they say why a request was
// refused, got no answer, or broke. What the lines cannot tell is said too: lines that were left out
// for their budget, and events that should be there and aren't.
//
// Lines that are no events are skipped, as is whatever stands before the first brace, so that
// collectors may put their own words in front.
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

// maxLine bounds a line in bytes; events are some 300.
const maxLine = 1 << 20

// Event is one line.
type Event struct {
	Time    string
	Process string
	Role    string
	Name    string
	Fields  map[string]any // all others
}

// Timeline is what was read of one flow.
type Timeline struct {
	Flow    segs.Flow
	Events  []Event          // of the flow, in order of time
	Beliefs map[string]Event // by process, the last change of belief before its last event of the flow
	Dropped map[string]int   // by process, lines left out
	Lines   int              // events read, of any flow
	beliefs map[string][]Event
}

// Read collects the events of a flow from logs.
func Read(f segs.Flow, logs ...io.Reader) (s *Timeline, err error) {
	defer func() { err = errors.Wrap(err, "read log lines") }()
	s = &Timeline{Flow: f, Beliefs: map[string]Event{}, Dropped: map[string]int{}, beliefs: map[string][]Event{}}
	for _, r := range logs {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLine)
		for lines.Scan() {
			s.take(lines.Bytes())
		}
		if err := lines.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return strings.Compare(a.Time, b.Time) })
	for _, e := range s.Events {
		for _, b := range s.beliefs[e.Process] {
			if b.Time <= e.Time {
				s.Beliefs[e.Process] = b
			}
		}
	}
	return s, nil
}

func (s *Timeline) take(line []byte) {
	at := bytes.IndexByte(line, '{')
	if at < 0 {
		return
	}
	e, ok := parse(line[at:])
	if !ok {
		return
	}
	s.Lines++
	switch {
	case e.Fields["flow"] == s.Flow.String():
		delete(e.Fields, "flow")
		s.Events = append(s.Events, e)
	case e.Name == "belief":
		s.beliefs[e.Process] = append(s.beliefs[e.Process], e)
	case e.Name == "log-dropped":
		count, _ := e.Fields["lines"].(float64)
		s.Dropped[e.Process] += int(count)
	}
}

func parse(line []byte) (e Event, ok bool) {
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

// Print tells the story.
func (s *Timeline) Print(w io.Writer) {
	fmt.Fprintf(w, "flow %s: %d events in %d lines\n", s.Flow, len(s.Events), s.Lines)
	for _, e := range s.Events {
		fmt.Fprintf(w, "%s  %-20s %-12s %s\n", e.Time, e.Process, e.Name, details(e.Fields))
	}
	for _, p := range slices.Sorted(maps.Keys(s.Beliefs)) {
		b := s.Beliefs[p]
		fmt.Fprintf(w, "believed by %s since %s: %s\n", p, b.Time, details(b.Fields))
	}
	for _, m := range s.missing() {
		fmt.Fprintf(w, "missing: %s\n", m)
	}
	fmt.Fprintf(w, "end: %s\n", s.end())
}

func details(fields map[string]any) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", k, fields[k]))
	}
	return strings.Join(parts, " ")
}

// ends says what the last event of a flow means for its caller.
var ends = map[string]string{
	"refused":     "refused: reset before it was open, so no server has run anything",
	"reset":       "reset by an agent: no server holds it any more, or its server fails (why); what ran before is not known here",
	"owner-lost":  "reset by an entry: the agent that owns it answers nobody; what ran before is not known here",
	"handed-back": "handed back by an agent and not placed again in these lines",
	"unanswered":  "no server has answered its opening packet",
	"unfound":     "nobody was found who holds it, and not all could be asked; nothing was said to the caller",
	"unheard":     "being searched for; an agent whose server may hold it has not answered yet, so nothing was said to the caller",
	"search":      "being searched for; the answer is not in these lines",
	"opened":      "open at a server; what became of its requests only the server and the caller know",
	"told":        "its packets go to the agent that owns it",
	"learned":     "held by a server whose agent has restarted",
	"waits":       "waiting at an agent for a slot of its server; whether it got one is not in these lines",
	"link-waits":  "waiting at an entry for its turn at the entry's link; whether it got one is not in these lines",
	"offered":     "passed on to another agent, whose lines aren't here",
	"turned-back": "handed back by an agent to its entry and not placed again in these lines",
	"placed":      "sent to an agent; whether its server accepted is not in these lines",
	"asked":       "its home was asked for the owner; the answer is not in these lines",
	"circled":     "passed on too often and dropped: lists of agents differ between processes",
}

func (s *Timeline) end() string {
	if len(s.Events) == 0 {
		return "unknown"
	}
	last := s.Events[len(s.Events)-1].Name
	if text := ends[last]; text != "" {
		return text
	}
	return last
}

// missing says what these lines can't tell.
func (s *Timeline) missing() (list []string) {
	if len(s.Events) == 0 {
		list = append(list, "any event of this flow: it is none of those whose ordinary events are written (one in sixteen), and nothing failed; "+
			"or the lines of the process that took it aren't here")
	}
	has := func(name string) bool {
		return slices.ContainsFunc(s.Events, func(e Event) bool { return e.Name == name })
	}
	if has("opened") && !has("placed") {
		list = append(list, "placed: the entry's lines aren't here, or it was killed before they were written")
	}
	for _, p := range slices.Sorted(maps.Keys(s.Dropped)) {
		list = append(list, fmt.Sprintf("%d lines of %s, left out for its budget", s.Dropped[p], p))
	}
	return list
}
