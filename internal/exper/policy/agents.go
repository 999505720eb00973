package policy

import (
	"slices"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/exper/fakes"
	"mangowinch/internal/load/admit"
	"mangowinch/internal/load/place"
	"mangowinch/internal/load/queue"
	"mangowinch/internal/load/retry"
	"mangowinch/internal/work/result"
)

// gate is an agent's admission control.
type gate interface {
	Arrive(now time.Time, r admit.Request) admit.Decision
	Done(now time.Time, id uint64, took time.Duration) admit.Change
	Expire(now time.Time) admit.Change
	NextExpiry() time.Time
	Drain() []uint64
	RetryAfter(now time.Time) time.Duration
	Stats() admit.Stats
}

// agents is a System with an agent beside each server. The agents run mangowinch's decision code.
type agents struct {
	env                     *Env
	unlimited               bool // requests are not refused, and servers do not know their deadlines
	byFlow                  bool // requests are not handed over to other agents
	list                    []*agent
	handedOver, crossDomain int
}

type agent struct {
	agents      *agents
	server      *fakes.Server
	gate        gate
	placer      *place.Placer
	budget      *retry.Budget
	usage       place.Usage
	leaving     bool
	pending     map[uint64]*pendingJob // by request ID at this agent
	expiryTimer time.Time              // time of the pending expiry timer
	lastID      uint64
}

// pendingJob is a request that waits or runs at an agent.
type pendingJob struct {
	job     *fakes.Job
	started time.Time
	reply   func(outcome)
}

// outcome is the reply of the agent that ran or refused a request.
type outcome struct {
	end        fakes.End
	reason     result.Reason
	retryAfter time.Duration
}

func newAgents(n Name, env *Env) *agents {
	s := &agents{env: env, unlimited: n == Unlimited, byFlow: n == ByFlow}
	var servers []place.Server
	for _, v := range env.Servers {
		servers = append(servers, place.Server{ID: uint32(v.ID), Domain: string(rune('a' + v.Domain)), Slots: v.Slots})
	}
	for _, v := range env.Servers {
		limits := env.Limits
		limits.Slots = v.Slots
		a := &agent{agents: s, server: v, pending: map[uint64]*pendingJob{}, budget: retry.New(env.Tuning.Retry), usage: place.Usage{Window: env.Tuning.UsageWindow}}
		a.placer = place.New(place.Self{ID: uint32(v.ID), Domain: string(rune('a' + v.Domain))}, env.Random)
		a.placer.SetRules(env.Tuning.Place)
		a.placer.SetServers(env.Loop.Now(), servers)
		switch n {
		case Mangowinch:
			g := admit.New(limits, env.Random)
			g.SetRules(env.Tuning.Admit)
			a.gate = g
		default:
			a.gate = newFCFSGate(limits, s.unlimited)
		}
		s.list = append(s.list, a)
	}
	if env.Tuning.ReportInterval > 0 {
		s.sendReports()
	}
	return s
}

// sendReports sends each agent's state to its peers, now and at each Tuning.ReportInterval.
func (s *agents) sendReports() {
	for _, a := range s.list {
		a.sendReport()
	}
	s.env.Loop.After(s.env.Tuning.ReportInterval, s.sendReports)
}

// sendReport sends the agent's state to its peers.
func (a *agent) sendReport() {
	h := a.reportedHint()
	for _, peer := range a.agents.list {
		if peer != a && !a.server.Down {
			a.send(peer, func() { peer.placer.Report(a.now(), uint32(a.server.ID), h) })
		}
	}
}

func (a *agent) now() time.Time { return a.agents.env.Loop.Now() }

// send calls run when a message from one agent has reached another.
func (a *agent) send(to *agent, run func()) {
	env := a.agents.env
	switch {
	case to == a:
		run()
	case to.server.Domain == a.server.Domain:
		env.Loop.After(env.IntraDomainDelay, run)
	default:
		env.Loop.After(env.InterDomainDelay, run)
	}
}

// hint returns the state of the agent and its server.
func (a *agent) hint() place.Hint {
	st := a.gate.Stats()
	return place.Hint{
		Running: st.Running, Waiting: st.Waiting, Utilization: a.usage.Share(a.now()), Service: st.ServiceTime(),
		Leaving: a.leaving || a.placer.Down(a.now()),
	}
}

// reportedHint returns the state that the agent reports to its peers. It is false if the server has
// FalseReports set.
func (a *agent) reportedHint() place.Hint {
	if a.server.FalseReports {
		return place.Hint{Service: time.Millisecond}
	}
	return a.hint()
}

func (s *agents) Submit(j *fakes.Job, answer func(Answer)) {
	a := s.list[j.ConnServer]
	j.NoDeadline = s.unlimited
	a.budget.Fresh()
	a.place(j, nil, result.ServerLeaving, answer)
}

// place sends a request to a server and, when it is returned, retries it or answers the caller. The last
// refusal had the given reason.
func (a *agent) place(j *fakes.Job, tried []uint32, reason result.Reason, answer func(Answer)) {
	choice := place.Choice{Server: uint32(a.server.ID)}
	if !a.agents.byFlow {
		choice = a.placer.Choose(a.now(), a.hint(), tried)
	}
	if choice.Server == 0 {
		answer(Answer{End: fakes.Shed, Reason: reason, RetryAfter: a.gate.RetryAfter(a.now())})
		return
	}
	to := a.agents.list[choice.Server-1]
	if to != a {
		a.agents.handedOver++
		if to.server.Domain != a.server.Domain {
			a.agents.crossDomain++
		}
	}
	a.placer.Sent(choice.Server)
	sent := a.now()
	a.send(to, func() {
		to.arrive(j, func(o outcome) {
			to.send(a, func() { a.complete(j, to, append(slices.Clone(tried), choice.Server), sent, o, answer) })
		})
	})
}

// complete records the outcome of a try, and retries a refused request if the retry budget allows it.
func (a *agent) complete(j *fakes.Job, from *agent, tried []uint32, sent time.Time, o outcome, answer func(Answer)) {
	ends := map[fakes.End]place.Outcome{fakes.Answered: place.Answered, fakes.Late: place.Answered, fakes.Shed: place.Shed, fakes.Unreachable: place.Unreachable}
	end, known := ends[o.end]
	if !known {
		end = place.Failed
	}
	id := uint32(from.server.ID)
	took := a.now().Sub(sent)
	if j.Kind == docs.Upload {
		took = 0
	}
	a.placer.Ended(a.now(), id, end, took)
	if from != a {
		a.placer.Report(a.now(), id, from.reportedHint()) // the report is part of the reply
	}
	if o.end != fakes.Shed && o.end != fakes.Unreachable {
		answer(Answer{End: o.end})
		return
	}
	attempt := retry.Attempt{
		Result:      result.Result{Outcome: result.NotRun, Reason: o.reason},
		Tries:       len(tried),
		Deadline:    j.Deadline,
		ServiceTime: a.hint().Service,
	}
	if !a.agents.byFlow && a.budget.Decide(a.now(), attempt).Retry {
		a.place(j, tried, o.reason, answer)
		return
	}
	answer(Answer{End: fakes.Shed, Reason: o.reason, RetryAfter: o.retryAfter})
}

// arrive runs, queues or refuses a request as the agent's gate decides.
func (a *agent) arrive(j *fakes.Job, reply func(outcome)) {
	if a.leaving || a.server.Down {
		reason, end := result.ServerLeaving, fakes.Shed
		if a.server.Down {
			reason, end = result.ServerUnreachable, fakes.Unreachable
		}
		reply(outcome{end: end, reason: reason, retryAfter: a.gate.RetryAfter(a.now())})
		return
	}
	a.lastID++
	id := a.lastID
	a.pending[id] = &pendingJob{job: j, reply: reply}
	d := a.gate.Arrive(a.now(), admit.Request{ID: id, Class: j.Class, Caller: queue.Caller{Name: j.Caller}, Deadline: j.Deadline})
	switch d.Verdict {
	case admit.Run:
		a.start(id)
	case admit.Refuse:
		delete(a.pending, id)
		reply(outcome{end: fakes.Shed, reason: d.Reason, retryAfter: d.RetryAfter})
	}
	a.setExpiryTimer()
}

// start runs a pending request.
func (a *agent) start(id uint64) {
	v := a.pending[id]
	v.started = a.now()
	a.server.Run(v.job, func(end fakes.End) {
		took := time.Duration(0) // not a sample of the service time
		if end == fakes.Answered || end == fakes.Late {
			took = a.now().Sub(v.started)
		}
		delete(a.pending, id)
		c := a.gate.Done(a.now(), id, took)
		a.apply(c)
		o := outcome{end: end}
		if end == fakes.Shed || end == fakes.Unreachable {
			o.reason, o.retryAfter = result.ServerUnreachable, a.gate.RetryAfter(a.now())
		}
		v.reply(o)
	})
	a.observe()
}

// apply starts and refuses waiting requests as the gate decided.
func (a *agent) apply(c admit.Change) {
	for _, id := range c.Started {
		a.start(id)
	}
	for _, r := range c.Refused {
		v := a.pending[r.ID]
		delete(a.pending, r.ID)
		v.reply(outcome{end: fakes.Shed, reason: r.Reason, retryAfter: r.RetryAfter})
	}
	a.observe()
	a.setExpiryTimer()
}

func (a *agent) observe() {
	a.usage.Set(a.now(), a.server.Running(), a.server.Slots)
}

// setExpiryTimer schedules a call of the gate's Expire for the next expiry of a waiting request, unless a
// pending timer fires earlier.
func (a *agent) setExpiryTimer() {
	next := a.gate.NextExpiry()
	if next.IsZero() || (!a.expiryTimer.IsZero() && !a.expiryTimer.Before(a.now()) && !next.Before(a.expiryTimer)) {
		return
	}
	a.expiryTimer = next
	a.agents.env.Loop.After(next.Sub(a.now()), func() {
		if a.expiryTimer.Equal(next) {
			a.expiryTimer = time.Time{}
			a.apply(a.gate.Expire(a.now()))
		}
	})
}

// Leaving implements System. The agent sends a report to its peers immediately and returns its waiting
// requests to the agents that sent them.
func (s *agents) Leaving(server int) {
	a := s.list[server]
	a.leaving = true
	a.sendReport()
	for _, id := range a.gate.Drain() {
		v := a.pending[id]
		delete(a.pending, id)
		v.reply(outcome{end: fakes.Shed, reason: result.ServerLeaving, retryAfter: a.gate.RetryAfter(a.now())})
	}
}

func (s *agents) Joined(server int) {
	a := s.list[server]
	a.leaving = false
	for _, b := range s.list {
		b.placer.Joined(b.now(), uint32(a.server.ID))
	}
	a.sendReport()
}

func (s *agents) Waiting() int {
	n := 0
	for _, a := range s.list {
		n += a.gate.Stats().Waiting
	}
	return n
}

func (s *agents) HandOvers() (handedOver, crossDomain int) { return s.handedOver, s.crossDomain }
