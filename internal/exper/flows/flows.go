// Package flows runs the weights of new flows (package shift) at several entries
// with old reports, second by second.
//
// New flows arrive at random entries, are spread by that entry's weights, last for an
// exponential time and ask for slot time as long as they last. Each agent's demand
// reaches each entry late, by a lag that differs between entries.
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

// Case is one load on the weights.
type Case struct {
	Name, Description string
	Servers           int
	Entries           int
	Rate              float64       // new flows a second, all entries together
	MeanDuration      time.Duration // mean of a flow
	Load              float64       // demand of all flows as a share of all slots
	MinLag            time.Duration // shortest lag of a report; the longest is twice that
	ChangeAt          time.Duration // when the servers' factors change
	Length            time.Duration
	TimeFactors       []float64 // of the first servers' service times from the change on
	ServerLeaves      bool      // server 1 leaves at the change
}

// Report sums up a run.
type Report struct {
	ImbalanceBefore float64       // mean of the greatest demand over the mean, in the two minutes before the change
	ImbalanceAfter  float64       // the same in the last two minutes
	PeakHealthy     float64       // greatest demand of a healthy server over the mean, after the change
	ShareChange     float64       // mean change of a server's share of new flows in a minute before the change, as a share of its mean share
	Divergence      float64       // mean share of new flows on which two entries differ, before the change
	TimeImbalanced  time.Duration // time after the change with the greatest demand over 1.25 of the mean
	StrayFlows      float64       // new flows that a leaving server got from 10 s after it left
}

// within is the greatest demand over the mean that does not count as off.
const within = 1.25

type run struct {
	load    Case
	random  *rand.Rand
	flows   []float64
	lagging [][]shift.Load // by second, by server
	entries []*shift.Weights
	lags    []int
	report  Report
	over    []float64   // greatest over mean demand, by second
	shares  [][]float64 // of entry 0, by second
}

var start = time.Unix(0, 0).UTC()

// Run runs a case with the given rules.
func Run(c Case, r shift.Rules, seed uint64) Report {
	v := &run{load: c, random: rand.New(rand.NewPCG(seed, 1)), flows: make([]float64, c.Servers)}
	for range c.Entries {
		w := shift.New(r)
		var servers []shift.Server
		for i := range c.Servers {
			servers = append(servers, shift.Server{ID: uint32(i + 1), Weight: 1})
		}
		w.SetServers(servers)
		v.entries = append(v.entries, w)
		v.lags = append(v.lags, int(c.MinLag.Seconds())+v.random.IntN(int(c.MinLag.Seconds())+1))
	}
	for i := range v.flows {
		v.flows[i] = math.Round(c.Rate * c.MeanDuration.Seconds() / float64(c.Servers))
	}
	for s := range int(c.Length.Seconds()) {
		v.second(s)
	}
	v.sum()
	return v.report
}

// second runs one second: reports arrive, weights step, flows end and begin.
func (v *run) second(s int) {
	now := start.Add(time.Duration(s) * time.Second)
	changed := now.Sub(start) >= v.load.ChangeAt
	v.lagging = append(v.lagging, v.loads(changed))
	for e, w := range v.entries {
		if at := s - v.lags[e]; at >= 0 {
			for i, l := range v.lagging[at] {
				w.Report(now, uint32(i+1), l)
			}
		}
		w.Step(now)
	}
	for i := range v.flows {
		v.flows[i] -= float64(poisson(v.random, v.flows[i]/v.load.MeanDuration.Seconds()))
		v.flows[i] = max(v.flows[i], 0)
	}
	for range poisson(v.random, v.load.Rate) {
		i := draw(v.random, v.entries[v.random.IntN(len(v.entries))].Weights())
		v.flows[i]++
		if late := now.Sub(start) - v.load.ChangeAt; v.load.ServerLeaves && i == 0 && late >= 10*time.Second {
			v.report.StrayFlows++
		}
	}
	v.note(changed)
}

// loads is each server's demand. At level 1 and even spread it is 1.
func (v *run) loads(changed bool) []shift.Load {
	even := v.load.Rate * v.load.MeanDuration.Seconds() / float64(v.load.Servers)
	list := make([]shift.Load, len(v.flows))
	for i, n := range v.flows {
		factor := 1.0
		if changed && i < len(v.load.TimeFactors) {
			factor = v.load.TimeFactors[i]
		}
		list[i] = shift.Load{Demand: v.load.Load * n / even * factor, Leaving: changed && v.load.ServerLeaves && i == 0}
	}
	return list
}

func (v *run) note(changed bool) {
	sum, most := 0.0, 0.0
	list := v.loads(changed)
	n := 0
	for _, l := range list {
		if !l.Leaving {
			sum += l.Demand
			n++
			most = max(most, l.Demand)
		}
	}
	mean := sum / float64(n)
	v.over = append(v.over, most/mean)
	for _, l := range list[len(v.load.TimeFactors):] {
		if changed && !l.Leaving {
			v.report.PeakHealthy = max(v.report.PeakHealthy, l.Demand/mean)
		}
	}
	v.shares = append(v.shares, normal(v.entries[0].Weights()))
	if !changed {
		for _, w := range v.entries[1:] {
			v.report.Divergence += apart(v.shares[len(v.shares)-1], normal(w.Weights())) / float64(len(v.entries)-1)
		}
	}
}

// window is the time over which a mean is taken before the change and at the end.
const window = 120

func (v *run) sum() {
	change := int(v.load.ChangeAt.Seconds())
	v.report.ImbalanceBefore = average(v.over[change-window : change])
	v.report.ImbalanceAfter = average(v.over[len(v.over)-window:])
	v.report.Divergence /= float64(change)
	for s := change - window; s < change; s++ {
		v.report.ShareChange += apart(v.shares[s], v.shares[s-1]) * 2 * 60 / window
	}
	for _, over := range v.over[change:] {
		if over > within {
			v.report.TimeImbalanced += time.Second
		}
	}
}

// Mean is the mean of the reports of several seeds.
func Mean(reports []Report) (m Report) {
	n := float64(len(reports))
	off := 0.0
	for _, r := range reports {
		m.ImbalanceBefore += r.ImbalanceBefore / n
		m.ImbalanceAfter += r.ImbalanceAfter / n
		m.PeakHealthy += r.PeakHealthy / n
		m.ShareChange += r.ShareChange / n
		m.Divergence += r.Divergence / n
		m.StrayFlows += r.StrayFlows / n
		off += r.TimeImbalanced.Seconds() / n
	}
	m.TimeImbalanced = time.Duration(off * float64(time.Second))
	return m
}

// apart is the share of flows that two spreads place differently.
func apart(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += math.Abs(a[i]-b[i]) / 2
	}
	return sum
}

func normal(list []shift.Weight) []float64 {
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

func draw(r *rand.Rand, list []shift.Weight) int {
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

// poisson draws a count with the given mean; by a normal one where that is close.
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
