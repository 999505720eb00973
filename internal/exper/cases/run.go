// Package cases defines the load patterns of the experiments and runs them against a policy in virtual
// time.
//
// Each case is a load pattern or fault that the decision packages have to handle, scaled to the size of
// a service. Runs are deterministic: the same case, service, policy, tuning and seed give the same
// report, and the same new requests arrive under every policy.
//
// Package cases does not model packets, connections or processes; package fakes supplies the servers and
// the callers.
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

// run is the state of one run of a case.
type run struct {
	load         Case
	loop         *loop.Loop
	servers      []*fakes.Server
	system       policy.System
	meter        *meter.Meter
	emptiedAfter time.Duration
}

// Separate random streams, so that the number of values that a policy draws does not change the arrivals.
const (
	connStream = iota + 1
	policyStream
	callerStream // of the first caller; each further caller has the next number
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
	r.startCallers(s, seed)
	r.sampleServers(make([]time.Duration, len(r.servers)))
	if c.InjectFaults != nil {
		c.InjectFaults(r)
	}
	if c.LoadEnd < c.Length {
		r.loop.At(c.LoadEnd, r.pollQueues)
	}
	r.loop.Run(c.Length)
	report := r.meter.Report()
	report.EmptiedAfter = r.emptiedAfter
	if handedOver, crossDomain := r.system.HandOvers(); report.Offered > 0 && handedOver > 0 {
		report.HandedOver, report.CrossDomain = float64(handedOver)/float64(r.totalOffered()), float64(crossDomain)/float64(handedOver)
	}
	return report
}

// totalOffered estimates the arrivals of the whole run from those in the measured time. The estimate is
// accurate enough for the share of requests handed over.
func (r *run) totalOffered() int {
	return max(1, int(float64(r.meter.Report().Offered)*r.load.Length.Seconds()/(r.load.To-r.load.From).Seconds()))
}

// startCallers starts the callers and distributes their connections over the servers at random.
func (r *run) startCallers(s Service, seed uint64) {
	connRandom := rand.New(rand.NewPCG(seed, connStream))
	perCaller := connectionsPerServer * s.Servers / len(r.load.Callers)
	for i, c := range r.load.Callers {
		spec := fakes.Spec{Name: c.Name, Weight: c.Weight, HotConnections: c.HotConnections, Rate: c.Load * float64(s.Servers*s.Slots), Workloads: r.load.Mix}
		if c.Mix != nil {
			spec.Workloads = c.Mix
		}
		for range perCaller {
			spec.ConnServers = append(spec.ConnServers, connRandom.IntN(s.Servers))
		}
		factor := func() float64 { return r.load.LoadFactor(r.loop.Elapsed()) }
		if c.Constant {
			factor = func() float64 { return 1 }
		}
		random := rand.New(rand.NewPCG(seed, uint64(callerStream+i)))
		fakes.NewCaller(r.loop, spec, random, factor, r.submit).Start()
	}
}

// submit sends one try of a request and, like its caller, times it out at the deadline.
func (r *run) submit(j *fakes.Job) {
	r.meter.AddOffered(j)
	r.system.Submit(j, func(a policy.Answer) { r.handleAnswer(j, a) })
	if !j.Finished {
		r.loop.After(j.Deadline.Sub(r.loop.Now())+time.Millisecond, func() { r.handleAnswer(j, policy.Answer{End: fakes.Late}) })
	}
}

// handleAnswer records the answer or the time-out of a try, whichever comes first, and retries after a
// failure while tries are left.
func (r *run) handleAnswer(j *fakes.Job, a policy.Answer) {
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
		pause = max(a.RetryAfter, time.Second) // callers wait at least 1 s, also without a retry time
	}
	r.loop.After(pause, func() { r.submit(j.Retry(r.loop.Now())) })
}

// sampleServers records each server's slot time of the last second, every second.
func (r *run) sampleServers(lastBusy []time.Duration) {
	r.loop.After(time.Second, func() {
		var shares []float64
		for i, s := range r.servers {
			busy := s.Busy()
			if !s.Down && !s.Draining {
				shares = append(shares, (busy-lastBusy[i]).Seconds()/float64(s.Slots))
			}
			lastBusy[i] = busy
		}
		r.meter.AddSecond(r.loop.Now(), shares)
		r.sampleServers(lastBusy)
	})
}

// queuePoll is the interval at which pollQueues checks the queues.
const queuePoll = time.Millisecond

// pollQueues records when the queues are first empty after the end of the load.
func (r *run) pollQueues() {
	if r.system.Waiting() == 0 {
		r.emptiedAfter = r.loop.Elapsed() - r.load.LoadEnd
		return
	}
	r.loop.After(queuePoll, r.pollQueues)
}

func classes(mix []fakes.Workload) (list []docs.Class) {
	for _, w := range mix {
		list = append(list, docs.Class{Name: w.Class, Kind: w.Kind, Deadline: w.Deadline, Queue: w.Queue, Idempotent: true})
	}
	return list
}

func callers(loads []CallerLoad) (list []docs.Caller) {
	for _, s := range loads {
		list = append(list, docs.Caller{Name: s.Name, Weight: s.Weight})
	}
	return list
}
