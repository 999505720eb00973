package meter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mangowinch/internal/work/result"
)

// Report sums up one run.
type Report struct {
	Counts
	Goodput      float64 // share of all slot time
	P50, P99     time.Duration
	RefusalP99   time.Duration
	Imbalance1   float64 // windows of 1 s
	Imbalance10  float64 // windows of 10 s
	Jain         float64
	WorstCaller  float64 // least share of its due that a caller got
	Callers      []Caller
	RecoveryTime time.Duration
	Reasons      map[result.Reason]int // of refusals
	EmptiedAfter time.Duration         // set by who runs the experiment
	HandedOver   float64               // share of requests that another server's agent ran or refused
	CrossDomain  float64               // share of these that crossed a failure domain
}

// Caller sums up what one caller got.
type Caller struct {
	Name          string
	Offered       int
	InTime        float64 // share
	LookupsInTime float64 // share of its lookups answered in time
	P50, P99      time.Duration
	OfFairShare   float64
}

// longWindow is how many seconds the longer window of imbalance has.
const longWindow = 10

// tolerated is the share of arrivals in a second that may go wrong in normal service.
const tolerated = 0.01

// Report returns the sums.
func (m *Meter) Report() Report {
	r := Report{
		Counts:       m.counts,
		Reasons:      m.reasons,
		P50:          quantile(m.lookups, 50),
		P99:          quantile(m.lookups, 99),
		RefusalP99:   quantile(m.refusals, 99),
		Imbalance1:   imbalance(m.windows, 1),
		Imbalance10:  imbalance(m.windows, longWindow),
		RecoveryTime: recovered(m.after),
	}
	seconds := m.settings.To.Sub(m.settings.From).Seconds()
	capacity := seconds * float64(m.settings.Slots)
	due := m.due(capacity)
	var shares []float64
	for i, c := range m.callers {
		r.Goodput += c.goodWork / capacity
		share := c.goodWork / math.Max(due[i], 1e-9)
		shares = append(shares, share)
		r.Callers = append(r.Callers, Caller{
			Name: c.name, Offered: c.offered, InTime: ratio(c.good, c.offered), LookupsInTime: ratio(c.lookupsGoodCount, c.lookupsAsked),
			P50: quantile(c.lookups, 50), P99: quantile(c.lookups, 99), OfFairShare: share,
		})
	}
	r.Jain, r.WorstCaller = jain(shares), slices.Min(shares)
	return r
}

// recovered is when the last second began in which too many arrivals went wrong.
func recovered(list []arrival) (last time.Duration) {
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	end, bad := 0, 0
	for i, a := range list {
		for ; end < len(list) && list[end].at < a.at+time.Second; end++ {
			if !list[end].good {
				bad++
			}
		}
		if !a.good {
			if float64(bad) > tolerated*float64(end-i) {
				last = a.at
			}
			bad--
		}
	}
	return last
}

// due divides the capacity by max-min fairness: round by round, whoever asks for
// less than its share of what is left gets all of it.
func (m *Meter) due(capacity float64) []float64 {
	due := make([]float64, len(m.callers))
	open := make([]bool, len(m.callers))
	weights := 0.0
	for i, c := range m.callers {
		open[i] = true
		weights += c.weight
	}
	for settled := true; settled && weights > 0; {
		settled = false
		for i, c := range m.callers {
			if open[i] && c.asked <= capacity*c.weight/weights {
				due[i], open[i], settled = c.asked, false, true
				capacity -= c.asked
				weights -= c.weight
			}
		}
	}
	for i, c := range m.callers {
		if open[i] {
			due[i] = capacity * c.weight / weights
		}
	}
	return due
}

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

// imbalance is the mean over windows of the greatest share over the mean share.
// Windows in which the number of servers in service changes are left out.
func imbalance(seconds [][]float64, length int) float64 {
	sum, n := 0.0, 0
	for i := 0; i+length <= len(seconds); i += length {
		totals, ok := add(seconds[i : i+length])
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

func add(seconds [][]float64) (totals []float64, ok bool) {
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
