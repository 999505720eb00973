package admin

import (
	"bytes"
	"cmp"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// reasonLabel is the label that holds the reason in counters of refusals, drops and retries.
	reasonLabel = "reason"
	// noReason is the value of the label in counters of ends that have no reason.
	noReason = "none"
)

// Reason is one counter of refusals, drops or retries, with its reason.
type Reason struct {
	Counter string `json:"counter"`
	Service string `json:"service,omitempty"`
	Reason  string `json:"reason"`
	Other   string `json:"other,omitempty"` // the other labels
	Count   uint64 `json:"count"`
}

var (
	counterLine = regexp.MustCompile(`^mangowinch_(\w+)\{(.*)\} (\d+)$`)
	labelPair   = regexp.MustCompile(`(\w+)="((?:[^"\\]|\\.)*)"`)
)

// reasons lists the non-zero counters that have a reason, the largest first. They
// are parsed from the text of /metrics, so that /status cannot differ from it and
// packages do not have to register their counters twice.
func reasons() []Reason {
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	return parseReasons(text.String())
}

func parseReasons(text string) (list []Reason) {
	for line := range strings.Lines(text) {
		if r, ok := parseReason(strings.TrimSpace(line)); ok {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b Reason) int { return cmp.Compare(b.Count, a.Count) })
	return list
}

func parseReason(line string) (r Reason, ok bool) {
	part := counterLine.FindStringSubmatch(line)
	if part == nil {
		return Reason{}, false
	}
	r.Counter = part[1]
	r.Count, _ = strconv.ParseUint(part[3], 10, 64) // the maximum uint64 on overflow
	var other []string
	for _, l := range labelPair.FindAllStringSubmatch(part[2], -1) {
		switch l[1] {
		case "service":
			r.Service = l[2]
		case reasonLabel:
			r.Reason = l[2]
		default:
			other = append(other, l[0])
		}
	}
	r.Other = strings.Join(other, " ")
	return r, r.Reason != "" && r.Reason != noReason && r.Count > 0
}
