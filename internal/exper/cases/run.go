// Package cases has the loads of the experiments and runs them against a policy.
//
// Each case is one of the load patterns that the decision packages answer, at the
// size of one of today's services. Runs are deterministic: the same case, service,
// policy, tuning and seed give the same report, and all policies meet the same arrivals.
//
// # Usage
//
//	report := cases.Run(cases.Burst(), cases.TracingCore, policy.Mangowinch, policy.DefaultTuning, 1)
package cases

import (
	"math/rand/v2"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/exper/fakes"
	"mangowinch/internal/exper/loop"
	"mangowinch/internal/exper/meter"
	"mangowinch/internal/exper/policy"
	"mangowinch/internal/load/admit"
)

// run is one run of a case.
type run struct {
	load    Case
	loop    *loop.Loop
	servers []*fakes.Server
	system  policy.System
	meter   *meter.Meter
	settled time.Duration
}

// Streams of randomness, so that a policy's draws don't change the arrivals.
const (
	homeStream = iota + 1
	policyStream
	callerStream // and one more for each caller
)

// Run runs a case and returns its report.
func Run(c Case, s Service, n policy.Name, t policy.Tuning, seed uint64) meter.Report {
	r := &run{load: c, loop: loop.New()}
	for i := range s.Servers {
		r.servers = append(r.servers, fakes.NewServer(r.loop, i+1, i%s.Domains, s.Slots))
	}
	limits := admit.Limits{Classes: classes(c.Mix), Callers: callers(c.Callers)}
	start := r.loop.Now()
	r.meter = meter.New(meter.Settings{
		From: start.Add(c.From), To: start.Add(c.To), LoadEnd: start.Add(c.LoadEnd), Slots: s.Servers * s.Slots, Callers: limits.Callers,
	})
	r.system = policy.New(n, &policy.Env{
		Loop: r.loop, Servers: r.servers, Limits: limits, IntraDomainDelay: s.IntraDomainDelay, InterDomainDelay: s.InterDomainDelay,
		Random: rand.New(rand.NewPCG(seed, policyStream)), Tuning: t,
	})
	r.begin(s, seed)
	r.second(make([]time.Duration, len(r.servers)))
	if c.InjectFaults != nil {
		c.InjectFaults(r)
	}
	if c.LoadEnd < c.Length {
		r.loop.At(c.LoadEnd, r.settle)
	}
	r.loop.Run(c.Length)
	report := r.meter.Report()
	report.EmptiedAfter = r.settled
	if handed, far := r.system.HandOvers(); report.Offered > 0 && handed > 0 {
		report.HandedOver, report.CrossDomain = float64(handed)/float64(r.offered()), float64(far)/float64(handed)
	}
	return report
}

// offered scales the counted arrivals to the whole run, near enough for a share.
func (r *run) offered() int {
	return max(1, int(float64(r.meter.Report().Offered)*r.load.Length.Seconds()/(r.load.To-r.load.From).Seconds()))
}

// begin starts the callers.
func (r *run) begin(s Service, seed uint64) {
	homes := rand.New(rand.NewPCG(seed, homeStream))
	each := connections * s.Servers / len(r.load.Callers)
	for i, c := range r.load.Callers {
		spec := fakes.Spec{Name: c.Name, Weight: c.Weight, HotConnections: c.HotConnections, Rate: c.Load * float64(s.Servers*s.Slots), Workloads: r.load.Mix}
		if c.Mix != nil {
			spec.Workloads = c.Mix
		}
		for range each {
			spec.ConnServers = append(spec.ConnServers, homes.IntN(s.Servers))
		}
		level := func() float64 { return r.load.LoadFactor(r.loop.Elapsed()) }
		if c.Constant {
			level = func() float64 { return 1 }
		}
		random := rand.New(rand.NewPCG(seed, uint64(callerStream+i)))
		fakes.NewCaller(r.loop, spec, random, level, r.submit).Start()
	}
}

// submit sends one try of a request, and watches its deadline as the caller does.
func (r *run) submit(j *fakes.Job) {
	r.meter.AddOffered(j)
	r.system.Submit(j, func(a policy.Answer) { r.answer(j, a) })
	if !j.Finished {
		r.loop.After(j.Deadline.Sub(r.loop.Now())+time.Millisecond, func() { r.answer(j, policy.Answer{End: fakes.Late}) })
	}
}

// answer takes in the first of an answer and the passing of the deadline.
func (r *run) answer(j *fakes.Job, a policy.Answer) {
	if j.Finished {
		return
	}
	j.Finished = true
	r.meter.AddAnswered(r.loop.Now(), j, a)
	if *j.Executions > 1 && (a.End == fakes.Answered || j.Try >= r.load.Tries) {
		r.meter.AddRunTwice()
	}
	if a.End == fakes.Answered {
		return
	}
	if j.Try >= r.load.Tries {
		r.meter.AddGivenUp()
		return
	}
	pause := time.Duration(0)
	if a.End != fakes.Late {
		pause = max(a.RetryAfter, time.Second) // what a caller does that is not told when
	}
	r.loop.After(pause, func() { r.submit(j.Retry(r.loop.Now())) })
}

// second samples the servers' work.
func (r *run) second(last []time.Duration) {
	r.loop.After(time.Second, func() {
		var shares []float64
		for i, s := range r.servers {
			busy := s.Busy()
			if !s.Down && !s.Draining {
				shares = append(shares, (busy-last[i]).Seconds()/float64(s.Slots))
			}
			last[i] = busy
		}
		r.meter.AddSecond(r.loop.Now(), shares)
		r.second(last)
	})
}

// settlePoll is the resolution of the time until no request waits.
const settlePoll = time.Millisecond

func (r *run) settle() {
	if r.system.Waiting() == 0 {
		r.settled = r.loop.Elapsed() - r.load.LoadEnd
		return
	}
	r.loop.After(settlePoll, r.settle)
}

func classes(mix []fakes.Workload) (list []docs.Class) {
	for _, w := range mix {
		list = append(list, docs.Class{Name: w.Class, Kind: w.Kind, Deadline: w.Deadline, Queue: w.Queue, Idempotent: true})
	}
	return list
}

func callers(shapes []CallerLoad) (list []docs.Caller) {
	for _, s := range shapes {
		list = append(list, docs.Caller{Name: s.Name, Weight: s.Weight})
	}
	return list
}
