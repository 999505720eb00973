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

// gate is what an agent asks whether a request may start.
type gate interface {
	Arrive(now time.Time, r admit.Request) admit.Decision
	Done(now time.Time, id uint64, took time.Duration) admit.Change
	Expire(now time.Time) admit.Change
	NextExpiry() time.Time
	Drain() []uint64
	RetryAfter(now time.Time) time.Duration
	Stats() admit.Stats
}

// agents is one agent beside each server, each with the product's decision code.
type agents struct {
	world       *Env
	unlimited   bool // nothing is refused, no deadline is told
	byFlow      bool // nothing is handed over
	list        []*agent
	handed, far int
}

type agent struct {
	agents  *agents
	server  *fakes.Server
	gate    gate
	placer  *place.Placer
	budget  *retry.Budget
	usage   place.Usage
	leaving bool
	waiting map[uint64]*visit
	wake    time.Time // when the timer for expiry is set
	id      uint64
}

// visit is one request at the agent that runs it.
type visit struct {
	job     *fakes.Job
	started time.Time
	reply   func(outcome)
}

// outcome is what the agent that ran or refused a request says of it.
type outcome struct {
	end    fakes.End
	reason result.Reason
	after  time.Duration
}

func newAgents(n Name, w *Env) *agents {
	s := &agents{world: w, unlimited: n == Unlimited, byFlow: n == ByFlow}
	var servers []place.Server
	for _, v := range w.Servers {
		servers = append(servers, place.Server{ID: uint32(v.ID), Domain: string(rune('a' + v.Domain)), Slots: v.Slots})
	}
	for _, v := range w.Servers {
		limits := w.Limits
		limits.Slots = v.Slots
		a := &agent{agents: s, server: v, waiting: map[uint64]*visit{}, budget: retry.New(w.Tuning.Retry), usage: place.Usage{Window: w.Tuning.UsageWindow}}
		a.placer = place.New(place.Self{ID: uint32(v.ID), Domain: string(rune('a' + v.Domain))}, w.Random)
		a.placer.SetRules(w.Tuning.Place)
		a.placer.SetServers(w.Loop.Now(), servers)
		switch n {
		case Mangowinch:
			g := admit.New(limits, w.Random)
			g.SetRules(w.Tuning.Admit)
			a.gate = g
		default:
			a.gate = newLine(limits, s.unlimited)
		}
		s.list = append(s.list, a)
	}
	if w.Tuning.ReportInterval > 0 {
		s.report()
	}
	return s
}

// report sends each agent's state to its peers, again and again.
func (s *agents) report() {
	for _, a := range s.list {
		a.tell()
	}
	s.world.Loop.After(s.world.Tuning.ReportInterval, s.report)
}

func (a *agent) tell() {
	h := a.told()
	for _, peer := range a.agents.list {
		if peer != a && !a.server.Down {
			a.send(peer, func() { peer.placer.Report(a.now(), uint32(a.server.ID), h) })
		}
	}
}

func (a *agent) now() time.Time { return a.agents.world.Loop.Now() }

// send runs a function when a message has got from one agent to another.
func (a *agent) send(to *agent, run func()) {
	w := a.agents.world
	switch {
	case to == a:
		run()
	case to.server.Domain == a.server.Domain:
		w.Loop.After(w.IntraDomainDelay, run)
	default:
		w.Loop.After(w.InterDomainDelay, run)
	}
}

func (a *agent) hint() place.Hint {
	st := a.gate.Stats()
	return place.Hint{
		Running: st.Running, Waiting: st.Waiting, Utilization: a.usage.Share(a.now()), Service: st.ServiceTime(),
		Leaving: a.leaving || a.placer.Down(a.now()),
	}
}

// told is what the agent says of itself to others.
func (a *agent) told() place.Hint {
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

// place sends a request to a server, and tries again or answers when it comes back.
// reason is why it was refused last.
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
		a.agents.handed++
		if to.server.Domain != a.server.Domain {
			a.agents.far++
		}
	}
	a.placer.Sent(choice.Server)
	sent := a.now()
	a.send(to, func() {
		to.enter(j, func(o outcome) {
			to.send(a, func() { a.back(j, to, append(slices.Clone(tried), choice.Server), sent, o, answer) })
		})
	})
}

// back takes in what came of a try.
func (a *agent) back(j *fakes.Job, from *agent, tried []uint32, sent time.Time, o outcome, answer func(Answer)) {
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
		a.placer.Report(a.now(), id, from.told()) // rides on the reply
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
	answer(Answer{End: fakes.Shed, Reason: o.reason, RetryAfter: o.after})
}

// enter asks this agent's gate.
func (a *agent) enter(j *fakes.Job, reply func(outcome)) {
	if a.leaving || a.server.Down {
		reason, end := result.ServerLeaving, fakes.Shed
		if a.server.Down {
			reason, end = result.ServerUnreachable, fakes.Unreachable
		}
		reply(outcome{end: end, reason: reason, after: a.gate.RetryAfter(a.now())})
		return
	}
	a.id++
	id := a.id
	a.waiting[id] = &visit{job: j, reply: reply}
	d := a.gate.Arrive(a.now(), admit.Request{ID: id, Class: j.Class, Caller: queue.Caller{Name: j.Caller}, Deadline: j.Deadline})
	switch d.Verdict {
	case admit.Run:
		a.start(id)
	case admit.Refuse:
		delete(a.waiting, id)
		reply(outcome{end: fakes.Shed, reason: d.Reason, after: d.RetryAfter})
	}
	a.timer()
}

func (a *agent) start(id uint64) {
	v := a.waiting[id]
	v.started = a.now()
	a.server.Run(v.job, func(end fakes.End) {
		took := time.Duration(0) // says nothing of service
		if end == fakes.Answered || end == fakes.Late {
			took = a.now().Sub(v.started)
		}
		delete(a.waiting, id)
		c := a.gate.Done(a.now(), id, took)
		a.apply(c)
		o := outcome{end: end}
		if end == fakes.Shed || end == fakes.Unreachable {
			o.reason, o.after = result.ServerUnreachable, a.gate.RetryAfter(a.now())
		}
		v.reply(o)
	})
	a.observe()
}

func (a *agent) apply(c admit.Change) {
	for _, id := range c.Started {
		a.start(id)
	}
	for _, r := range c.Refused {
		v := a.waiting[r.ID]
		delete(a.waiting, r.ID)
		v.reply(outcome{end: fakes.Shed, reason: r.Reason, after: r.RetryAfter})
	}
	a.observe()
	a.timer()
}

func (a *agent) observe() {
	a.usage.Set(a.now(), a.server.Running(), a.server.Slots)
}

// timer has the gate give up in time on what waits.
func (a *agent) timer() {
	next := a.gate.NextExpiry()
	if next.IsZero() || (!a.wake.IsZero() && !a.wake.Before(a.now()) && !next.Before(a.wake)) {
		return
	}
	a.wake = next
	a.agents.world.Loop.After(next.Sub(a.now()), func() {
		if a.wake.Equal(next) {
			a.wake = time.Time{}
			a.apply(a.gate.Expire(a.now()))
		}
	})
}

// Leaving has the server's agent tell its peers at once, and pass on what waits.
func (s *agents) Leaving(server int) {
	a := s.list[server]
	a.leaving = true
	a.tell()
	for _, id := range a.gate.Drain() {
		v := a.waiting[id]
		delete(a.waiting, id)
		v.reply(outcome{end: fakes.Shed, reason: result.ServerLeaving, after: a.gate.RetryAfter(a.now())})
	}
}

func (s *agents) Joined(server int) {
	a := s.list[server]
	a.leaving = false
	for _, b := range s.list {
		b.placer.Joined(b.now(), uint32(a.server.ID))
	}
	a.tell()
}

func (s *agents) Waiting() int {
	n := 0
	for _, a := range s.list {
		n += a.gate.Stats().Waiting
	}
	return n
}

func (s *agents) HandOvers() (handed, far int) { return s.handed, s.far }
