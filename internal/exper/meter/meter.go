// Package meter records what callers get and what servers do in an experiment, and
// sums it up.
//
// Its terms, said exactly:
//
//   - In time: answered by a server, before the deadline. Goodput is the slot time of
//     requests answered in time, per second, over the slots of all servers.
//   - Refused: answered as not run. Time to refusal runs from the request's arrival in the system
//     to the refusal's leaving it; the way to the caller and back is not in it.
//   - Imbalance between servers: in each window the most slot time that one server has
//     used per slot, over the mean of the servers in service; the mean over all
//     windows of the measured time.
//   - Imbalance between callers: each caller's slot time answered in time over its due,
//     which is its max-min fair share by weight of all slot time, and no more than it
//     asked for. Jain's index of these, and the worst of them.
//   - Twice: requests whose execution began more than once.
//   - Given up: requests of the whole run of which no try was answered in time.
//   - Broken: requests that a stopping server cut.
//   - Recovered: time from the load's end to the last moment from which on more than 1% of
//     the requests that arrive in one second are refused, late or failed; 0 if there is
//     none. Settled: until no request waits in any queue.
//
// # Usage
//
//	m := meter.New(settings)
//	m.Offered(job)
//	m.Answered(now, job, answer)
//	report := m.Report()
package meter

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/exper/fakes"
	"mangowinch/internal/exper/policy"
	"mangowinch/internal/work/result"
)

// Settings say what is measured.
type Settings struct {
	From, To time.Time // arrivals in this time count
	LoadEnd  time.Time // when the load ends; recovery is counted from here
	Slots    int       // of all servers
	Callers  []docs.Caller
}

// Meter records one run.
type Meter struct {
	settings Settings
	callers  []*caller
	counts   Counts
	lookups  *hdrhistogram.Histogram // microseconds
	refusals *hdrhistogram.Histogram // microseconds
	reasons  map[result.Reason]int
	after    []arrival   // those since the load's end
	windows  [][]float64 // slot time per slot of each server in service, per second
}

// Counts are requests by end.
type Counts struct {
	Offered, InTime, Refused, Late, Failed, RunTwice, Broken, GivenUp int
}

type caller struct {
	name             string
	weight           float64
	offered, good    int
	asked, goodWork  float64 // seconds of a slot
	lookups          *hdrhistogram.Histogram
	lookupsAsked     int
	lookupsGoodCount int
}

// arrival is a request that came after the load's end.
type arrival struct {
	at   time.Duration
	good bool
}

// Bounds of the histograms in microseconds: up to 1,000 s with 3 digits.
const (
	most   = 1_000_000_000
	digits = 3
)

// New returns a meter that has seen nothing.
func New(s Settings) *Meter {
	m := &Meter{settings: s, lookups: hdrhistogram.New(1, most, digits), refusals: hdrhistogram.New(1, most, digits), reasons: map[result.Reason]int{}}
	for _, c := range s.Callers {
		m.callers = append(m.callers, &caller{name: c.Name, weight: float64(max(c.Weight, 1)), lookups: hdrhistogram.New(1, most, digits)})
	}
	return m
}

// AddOffered notes a request that arrives.
func (m *Meter) AddOffered(j *fakes.Job) {
	if !m.counted(j) {
		return
	}
	m.counts.Offered++
	c := m.caller(j.Caller)
	c.offered++
	c.asked += j.ServiceTime.Seconds()
	if j.Kind == docs.Lookup {
		c.lookupsAsked++
	}
}

// AddAnswered notes a request's end. A job whose caller gave up is late.
func (m *Meter) AddAnswered(now time.Time, j *fakes.Job, a policy.Answer) {
	good := a.End == fakes.Answered && !now.After(j.Deadline)
	if !j.Arrived.Before(m.settings.LoadEnd) {
		m.after = append(m.after, arrival{at: j.Arrived.Sub(m.settings.LoadEnd), good: good})
	}
	if a.End == fakes.Interrupted {
		m.counts.Broken++
	}
	if !m.counted(j) {
		return
	}
	latency := max(1, now.Sub(j.Arrived).Microseconds())
	switch {
	case a.End == fakes.Shed:
		m.counts.Refused++
		m.reasons[a.Reason]++
		record(m.refusals, latency)
	case a.End == fakes.Failed || a.End == fakes.Interrupted || a.End == fakes.Unreachable:
		m.counts.Failed++
	case good:
		m.counts.InTime++
		m.good(j, latency)
	default:
		m.counts.Late++
		if j.Kind == docs.Lookup {
			record(m.lookups, latency)
		}
	}
}

func (m *Meter) good(j *fakes.Job, latency int64) {
	c := m.caller(j.Caller)
	c.good++
	c.goodWork += j.ServiceTime.Seconds()
	if j.Kind == docs.Lookup {
		c.lookupsGoodCount++
		record(c.lookups, latency)
		record(m.lookups, latency)
	}
}

// AddRunTwice notes a request that ran more than once.
func (m *Meter) AddRunTwice() { m.counts.RunTwice++ }

// AddGivenUp notes a request whose caller tries no more.
func (m *Meter) AddGivenUp() { m.counts.GivenUp++ }

// AddSecond notes the slot time per slot that each server in service used in a second.
func (m *Meter) AddSecond(now time.Time, shares []float64) {
	if now.After(m.settings.From) && !now.After(m.settings.To) {
		m.windows = append(m.windows, slices.Clone(shares))
	}
}

func (m *Meter) counted(j *fakes.Job) bool {
	return !j.Arrived.Before(m.settings.From) && j.Arrived.Before(m.settings.To)
}

func (m *Meter) caller(name string) *caller {
	for _, c := range m.callers {
		if c.name == name {
			return c
		}
	}
	c := &caller{name: name, weight: 1, lookups: hdrhistogram.New(1, most, digits)}
	m.callers = append(m.callers, c)
	return c
}

func record(h *hdrhistogram.Histogram, microseconds int64) {
	// The value is within the bounds, so no error is possible.
	_ = h.RecordValue(min(microseconds, most))
}
