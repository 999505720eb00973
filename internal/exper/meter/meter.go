// Package meter records the answers to callers and the work of servers in an experiment, and summarizes
// them.
//
// The terms of its reports and of the tables made from them:
//
//   - In time: answered by a server before the deadline. Goodput is the slot time of requests answered in
//     time, as a share of the slot time of all servers.
//   - Refused: answered without execution. The time to refusal is measured from the arrival of the request
//     in the system until the refusal leaves it, without the network delay to and from the caller.
//   - Imbalance between servers: in each window, the highest slot time per slot of a server, divided by
//     the mean of the servers in service; averaged over all windows of the measured time.
//   - Imbalance between callers: each caller's slot time answered in time, divided by its due. The due is
//     its weighted max-min fair share of all slot time, at most its demand. Reported are Jain's fairness
//     index of these quotients and the lowest of them.
//   - Twice: requests whose execution started more than once.
//   - Given up: requests of the whole run without a try that was answered in time.
//   - Broken: requests that were interrupted because their server stopped.
//   - Recovered: time from the end of the load until the start of the last second in which more than 1% of
//     the arriving requests were refused, late or failed; 0 if there is none.
//   - Settled: time from the end of the load until no request waits in a queue.
//   - Handed: hand-overs to another server's agent, divided by the number of requests.
//
// It does not generate load; package cases does.
//
// # Usage
//
//	m := meter.New(settings)
//	m.AddOffered(job)
//	m.AddAnswered(now, job, answer)
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

// Settings select what is measured.
type Settings struct {
	From, To time.Time // requests that arrive in this interval are counted
	LoadEnd  time.Time // end of the load; the recovery time starts here
	Slots    int       // slots of all servers
	Callers  []docs.Caller
}

// Meter records one run.
type Meter struct {
	settings  Settings
	callers   []*caller
	counts    Counts
	lookups   *hdrhistogram.Histogram // microseconds
	refusals  *hdrhistogram.Histogram // microseconds
	reasons   map[result.Reason]int
	afterLoad []arrival   // requests that arrived after the end of the load
	seconds   [][]float64 // for each second, the slot time per slot of each server in service
}

// Counts are numbers of requests by outcome.
type Counts struct {
	Offered, InTime, Refused, Late, Failed, RunTwice, Broken, GivenUp int
}

// caller is the record of one caller, of requests that arrived in the measured time.
type caller struct {
	name               string
	weight             float64
	offered, inTime    int
	demand, inTimeWork float64 // slot time in seconds
	lookups            *hdrhistogram.Histogram
	lookupsOffered     int
	lookupsInTime      int
}

// arrival is a request that arrived after the end of the load.
type arrival struct {
	at     time.Duration
	inTime bool
}

// Bounds of the histograms in microseconds: up to 1,000 s with 3 digits.
const (
	maxMicroseconds = 1_000_000_000
	digits          = 3
)

// New returns a meter without records.
func New(s Settings) *Meter {
	m := &Meter{settings: s, lookups: hdrhistogram.New(1, maxMicroseconds, digits), refusals: hdrhistogram.New(1, maxMicroseconds, digits), reasons: map[result.Reason]int{}}
	for _, c := range s.Callers {
		m.callers = append(m.callers, &caller{name: c.Name, weight: float64(max(c.Weight, 1)), lookups: hdrhistogram.New(1, maxMicroseconds, digits)})
	}
	return m
}

// AddOffered records the arrival of a request.
func (m *Meter) AddOffered(j *fakes.Job) {
	if !m.measured(j) {
		return
	}
	m.counts.Offered++
	c := m.caller(j.Caller)
	c.offered++
	c.demand += j.ServiceTime.Seconds()
	if j.Kind == docs.Lookup {
		c.lookupsOffered++
	}
}

// AddAnswered records the answer to a job, or that its caller timed it out, which counts as late.
func (m *Meter) AddAnswered(now time.Time, j *fakes.Job, a policy.Answer) {
	inTime := a.End == fakes.Answered && !now.After(j.Deadline)
	if !j.Arrived.Before(m.settings.LoadEnd) {
		m.afterLoad = append(m.afterLoad, arrival{at: j.Arrived.Sub(m.settings.LoadEnd), inTime: inTime})
	}
	if a.End == fakes.Interrupted {
		m.counts.Broken++
	}
	if !m.measured(j) {
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
	case inTime:
		m.counts.InTime++
		m.addInTime(j, latency)
	default:
		m.counts.Late++
		if j.Kind == docs.Lookup {
			record(m.lookups, latency)
		}
	}
}

// addInTime records a request that was answered in time.
func (m *Meter) addInTime(j *fakes.Job, latency int64) {
	c := m.caller(j.Caller)
	c.inTime++
	c.inTimeWork += j.ServiceTime.Seconds()
	if j.Kind == docs.Lookup {
		c.lookupsInTime++
		record(c.lookups, latency)
		record(m.lookups, latency)
	}
}

// AddRunTwice records a request that was executed more than once.
func (m *Meter) AddRunTwice() { m.counts.RunTwice++ }

// AddGivenUp records a request that its caller gave up.
func (m *Meter) AddGivenUp() { m.counts.GivenUp++ }

// AddSecond records the slot time per slot that each server in service used in the last second.
func (m *Meter) AddSecond(now time.Time, shares []float64) {
	if now.After(m.settings.From) && !now.After(m.settings.To) {
		m.seconds = append(m.seconds, slices.Clone(shares))
	}
}

// measured reports whether a request arrived in the measured time.
func (m *Meter) measured(j *fakes.Job) bool {
	return !j.Arrived.Before(m.settings.From) && j.Arrived.Before(m.settings.To)
}

func (m *Meter) caller(name string) *caller {
	for _, c := range m.callers {
		if c.name == name {
			return c
		}
	}
	c := &caller{name: name, weight: 1, lookups: hdrhistogram.New(1, maxMicroseconds, digits)}
	m.callers = append(m.callers, c)
	return c
}

func record(h *hdrhistogram.Histogram, microseconds int64) {
	// The value is within the bounds of the histogram, so there is no error.
	_ = h.RecordValue(min(microseconds, maxMicroseconds))
}
