// Package flows simulates the weights of new flows (package shift) at several entries with delayed reports,
// in steps of one second.
//
// New flows arrive at random entries, which distribute them over the servers by their weights. A flow has an
// exponentially distributed duration and requires slot time until it ends. Each agent's demand reaches each
// entry with a lag that differs between entries.
//
// The package does not model packets or requests.
//
// # Usage
//
//	report := flows.Run(flows.Slow(), shift.Default, 1)
package flows

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangowinch/internal/load/shift"
)

// Case is one load pattern for the weights.
type Case struct {
	Name, Description string
	Servers           int
	Entries           int
	Rate              float64       // new flows per second, over all entries
	MeanDuration      time.Duration // mean duration of a flow
	Load              float64       // demand of all flows as a share of all slots
	MinLag            time.Duration // shortest lag of reports; the longest is twice that
	ChangeAt          time.Duration // time of the change: TimeFactors take effect, or server 1 leaves
	Length            time.Duration
	TimeFactors       []float64 // factors of the first servers' service times after the change
	ServerLeaves      bool      // server 1 leaves at the change
}

// Report summarizes a run. Imbalance is the highest demand of a server divided by the mean demand of the
// servers in service. ShareChange, like ImbalanceBefore, covers the two minutes before the change. Quoted
// names are columns of the tables.
type Report struct {
	ImbalanceBefore float64       // "imbalance before": mean imbalance in the two minutes before the change
	ImbalanceAfter  float64       // "imbalance at the end": mean imbalance in the last two minutes
	PeakHealthy     float64       // "peak of the healthy": highest demand of a healthy server divided by the mean, after the change
	ShareChange     float64       // "moved a minute": total change of a server's share of new flows per minute, relative to its mean share
	Divergence      float64       // "entries apart": mean share of new flows that two entries place differently, before the change
	TimeImbalanced  time.Duration // "time off": time after the change with an imbalance over maxImbalance
	StrayFlows      float64       // "strays": new flows that a leaving server received later than 10 s after it left
}

// maxImbalance is the highest imbalance that does not count in Report.TimeImbalanced.
const maxImbalance = 1.25

type run struct {
	load        Case
	random      *rand.Rand
	flows       []float64      // open flows, by server
	loadHistory [][]shift.Load // by second, by server
	entries     []*shift.Weights
	lags        []int // of reports, by entry, in seconds
	report      Report
	imbalance   []float64   // by second
	shares      [][]float64 // of entry 0, by second
}

var start = time.Unix(0, 0).UTC()

// Run runs a case with the given rules.
func Run(c Case, rules shift.Rules, seed uint64) Report {
	r := &run{load: c, random: rand.New(rand.NewPCG(seed, 1)), flows: make([]float64, c.Servers)}
	for range c.Entries {
		w := shift.New(rules)
		var servers []shift.Server
		for i := range c.Servers {
			servers = append(servers, shift.Server{ID: uint32(i + 1), Weight: 1})
		}
		w.SetServers(servers)
		r.entries = append(r.entries, w)
		r.lags = append(r.lags, int(c.MinLag.Seconds())+r.random.IntN(int(c.MinLag.Seconds())+1))
	}
	for i := range r.flows {
		r.flows[i] = math.Round(c.Rate * c.MeanDuration.Seconds() / float64(c.Servers))
	}
	for s := range int(c.Length.Seconds()) {
		r.step(s)
	}
	r.summarize()
	return r.report
}

// step simulates one second: reports arrive, the weights are adjusted, and flows end and begin.
func (r *run) step(s int) {
	now := start.Add(time.Duration(s) * time.Second)
	changed := now.Sub(start) >= r.load.ChangeAt
	r.loadHistory = append(r.loadHistory, r.loads(changed))
	for e, w := range r.entries {
		if at := s - r.lags[e]; at >= 0 {
			for i, l := range r.loadHistory[at] {
				w.Report(now, uint32(i+1), l)
			}
		}
		w.Step(now)
	}
	for i := range r.flows {
		r.flows[i] -= float64(poisson(r.random, r.flows[i]/r.load.MeanDuration.Seconds()))
		r.flows[i] = max(r.flows[i], 0)
	}
	for range poisson(r.random, r.load.Rate) {
		i := pick(r.random, r.entries[r.random.IntN(len(r.entries))].Weights())
		r.flows[i]++
		if sinceChange := now.Sub(start) - r.load.ChangeAt; r.load.ServerLeaves && i == 0 && sinceChange >= 10*time.Second {
			r.report.StrayFlows++
		}
	}
	r.record(changed)
}

// loads returns each server's demand, which is 1 if Case.Load is 1 and flows are distributed evenly.
func (r *run) loads(changed bool) []shift.Load {
	perServer := r.load.Rate * r.load.MeanDuration.Seconds() / float64(r.load.Servers)
	list := make([]shift.Load, len(r.flows))
	for i, n := range r.flows {
		factor := 1.0
		if changed && i < len(r.load.TimeFactors) {
			factor = r.load.TimeFactors[i]
		}
		list[i] = shift.Load{Demand: r.load.Load * n / perServer * factor, Leaving: changed && r.load.ServerLeaves && i == 0}
	}
	return list
}

// record adds the current second to the report.
func (r *run) record(changed bool) {
	sum, maximum := 0.0, 0.0
	list := r.loads(changed)
	n := 0
	for _, l := range list {
		if !l.Leaving {
			sum += l.Demand
			n++
			maximum = max(maximum, l.Demand)
		}
	}
	mean := sum / float64(n)
	r.imbalance = append(r.imbalance, maximum/mean)
	for _, l := range list[len(r.load.TimeFactors):] {
		if changed && !l.Leaving {
			r.report.PeakHealthy = max(r.report.PeakHealthy, l.Demand/mean)
		}
	}
	r.shares = append(r.shares, normalize(r.entries[0].Weights()))
	if !changed {
		for _, w := range r.entries[1:] {
			r.report.Divergence += distance(r.shares[len(r.shares)-1], normalize(w.Weights())) / float64(len(r.entries)-1)
		}
	}
}

// window is the number of seconds before the change and at the end that ImbalanceBefore, ImbalanceAfter and
// ShareChange cover.
const window = 120

// summarize computes the figures of the report that depend on the whole run.
func (r *run) summarize() {
	change := int(r.load.ChangeAt.Seconds())
	r.report.ImbalanceBefore = average(r.imbalance[change-window : change])
	r.report.ImbalanceAfter = average(r.imbalance[len(r.imbalance)-window:])
	r.report.Divergence /= float64(change)
	for s := change - window; s < change; s++ {
		r.report.ShareChange += distance(r.shares[s], r.shares[s-1]) * 2 * 60 / window
	}
	for _, imbalance := range r.imbalance[change:] {
		if imbalance > maxImbalance {
			r.report.TimeImbalanced += time.Second
		}
	}
}

// Mean returns the mean of several reports.
func Mean(reports []Report) (m Report) {
	n := float64(len(reports))
	imbalanced := 0.0
	for _, r := range reports {
		m.ImbalanceBefore += r.ImbalanceBefore / n
		m.ImbalanceAfter += r.ImbalanceAfter / n
		m.PeakHealthy += r.PeakHealthy / n
		m.ShareChange += r.ShareChange / n
		m.Divergence += r.Divergence / n
		m.StrayFlows += r.StrayFlows / n
		imbalanced += r.TimeImbalanced.Seconds() / n
	}
	m.TimeImbalanced = time.Duration(imbalanced * float64(time.Second))
	return m
}

// distance returns the share of flows that two distributions place differently (the total variation
// distance).
func distance(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += math.Abs(a[i]-b[i]) / 2
	}
	return sum
}

// normalize scales the weights to a sum of 1.
func normalize(list []shift.Weight) []float64 {
	shares, sum := make([]float64, len(list)), 0.0
	for _, w := range list {
		sum += w.Share
	}
	for i, w := range list {
		shares[i] = w.Share / sum
	}
	return shares
}

func average(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// pick returns a random index, with probabilities in proportion to the weights.
func pick(r *rand.Rand, list []shift.Weight) int {
	sum := 0.0
	for _, w := range list {
		sum += w.Share
	}
	at := r.Float64() * sum
	for i, w := range list {
		if at -= w.Share; at < 0 {
			return i
		}
	}
	return slices.IndexFunc(list, func(w shift.Weight) bool { return w.Share > 0 })
}

// poisson draws from a Poisson distribution with the given mean, approximated by a normal distribution for
// large means.
func poisson(r *rand.Rand, mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}
