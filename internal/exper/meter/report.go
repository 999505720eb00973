package meter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mangowinch/internal/work/result"
)

// Report summarizes one run. Package meter's documentation defines the terms.
type Report struct {
	Counts
	Goodput      float64 // share of the slot time of all servers
	P50, P99     time.Duration
	RefusalP99   time.Duration
	Imbalance1   float64 // between servers, in windows of 1 s
	Imbalance10  float64 // between servers, in windows of 10 s
	Jain         float64
	WorstCaller  float64 // lowest Caller.OfFairShare
	Callers      []Caller
	RecoveryTime time.Duration
	Reasons      map[result.Reason]int // of refusals
	EmptiedAfter time.Duration         // "settled"; set by the code that runs the experiment, as the next two
	HandedOver   float64               // hand-overs to another server's agent, divided by the number of requests
	CrossDomain  float64               // share of the hand-overs that crossed failure domains
}

// Caller summarizes the answers to one caller.
type Caller struct {
	Name          string
	Offered       int
	InTime        float64 // share of its requests that was answered in time
	LookupsInTime float64 // share of its lookups that was answered in time
	P50, P99      time.Duration
	OfFairShare   float64 // slot time answered in time, divided by the caller's due
}

// longWindow is the length in seconds of the windows of Report.Imbalance10.
const longWindow = 10

// maxBadShare is the share of a second's arrivals that may be refused, late or failed in normal service.
const maxBadShare = 0.01

// Report summarizes the records.
func (m *Meter) Report() Report {
	r := Report{
		Counts:       m.counts,
		Reasons:      m.reasons,
		P50:          quantile(m.lookups, 50),
		P99:          quantile(m.lookups, 99),
		RefusalP99:   quantile(m.refusals, 99),
		Imbalance1:   imbalance(m.seconds, 1),
		Imbalance10:  imbalance(m.seconds, longWindow),
		RecoveryTime: recoveryTime(m.afterLoad),
	}
	seconds := m.settings.To.Sub(m.settings.From).Seconds()
	capacity := seconds * float64(m.settings.Slots)
	fairShares := m.fairShares(capacity)
	var shares []float64
	for i, c := range m.callers {
		r.Goodput += c.inTimeWork / capacity
		share := c.inTimeWork / math.Max(fairShares[i], 1e-9)
		shares = append(shares, share)
		r.Callers = append(r.Callers, Caller{
			Name: c.name, Offered: c.offered, InTime: ratio(c.inTime, c.offered), LookupsInTime: ratio(c.lookupsInTime, c.lookupsOffered),
			P50: quantile(c.lookups, 50), P99: quantile(c.lookups, 99), OfFairShare: share,
		})
	}
	r.Jain, r.WorstCaller = jain(shares), slices.Min(shares)
	return r
}

// recoveryTime returns the start of the last second in which more than maxBadShare of the arrivals were not
// answered in time.
func recoveryTime(list []arrival) (last time.Duration) {
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	end, bad := 0, 0
	for i, a := range list {
		for ; end < len(list) && list[end].at < a.at+time.Second; end++ {
			if !list[end].inTime {
				bad++
			}
		}
		if !a.inTime {
			if float64(bad) > maxBadShare*float64(end-i) {
				last = a.at
			}
			bad--
		}
	}
	return last
}

// fairShares divides the capacity by weighted max-min fairness: in each round, callers whose demand is at
// most their share of the remaining capacity receive their demand.
func (m *Meter) fairShares(capacity float64) []float64 {
	shares := make([]float64, len(m.callers))
	open := make([]bool, len(m.callers))
	weights := 0.0
	for i, c := range m.callers {
		open[i] = true
		weights += c.weight
	}
	for progress := true; progress && weights > 0; {
		progress = false
		for i, c := range m.callers {
			if open[i] && c.demand <= capacity*c.weight/weights {
				shares[i], open[i], progress = c.demand, false, true
				capacity -= c.demand
				weights -= c.weight
			}
		}
	}
	for i, c := range m.callers {
		if open[i] {
			shares[i] = capacity * c.weight / weights
		}
	}
	return shares
}

// jain returns Jain's fairness index of the shares.
func jain(shares []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range shares {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(shares)) * squares)
}

// imbalance returns the mean over all windows of the highest slot time divided by the mean slot time. Windows
// in which the number of servers in service changes are skipped.
func imbalance(seconds [][]float64, length int) float64 {
	sum, n := 0.0, 0
	for i := 0; i+length <= len(seconds); i += length {
		totals, ok := sumSeconds(seconds[i : i+length])
		if !ok {
			continue
		}
		mean := 0.0
		for _, t := range totals {
			mean += t / float64(len(totals))
		}
		if mean > 0 {
			sum += slices.Max(totals) / mean
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// sumSeconds adds up the slot time of each server. It reports false if the number of servers changes or is 0.
func sumSeconds(seconds [][]float64) (totals []float64, ok bool) {
	totals = make([]float64, len(seconds[0]))
	for _, s := range seconds {
		if len(s) != len(totals) {
			return nil, false
		}
		for i, v := range s {
			totals[i] += v
		}
	}
	return totals, len(totals) > 0
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}
