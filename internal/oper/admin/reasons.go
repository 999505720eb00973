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
	// reasonLabel is the label by which counters of refusals, drops and retries say why.
	reasonLabel = "reason"
	// noReason is what some of them say of an end that needs no reason.
	noReason = "none"
)

// Reason is one counter that says why something was refused, dropped or tried again.
type Reason struct {
	Counter string `json:"counter"`
	Service string `json:"service,omitempty"`
	Reason  string `json:"reason"`
	Other   string `json:"other,omitempty"` // its further labels
	Count   uint64 `json:"count"`
}

var (
	counterLine = regexp.MustCompile(`^mangowinch_(\w+)\{(.*)\} (\d+)$`)
	label       = regexp.MustCompile(`(\w+)="((?:[^"\\]|\\.)*)"`)
)

// reasons lists the counters with a reason that are not zero, the largest first. They
// are read from the text of /metrics, so that /status cannot say anything else and no
// package has to register its counters a second time.
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
	r.Count, _ = strconv.ParseUint(part[3], 10, 64) // too many digits give the largest number
	var other []string
	for _, l := range label.FindAllStringSubmatch(part[2], -1) {
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
