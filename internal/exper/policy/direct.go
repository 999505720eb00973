package policy

import (
	"slices"
	"time"

	"mangowinch/internal/exper/fakes"
	"mangowinch/internal/work/result"
)

const (
	entries      = 4                      // number of balancers, each with its own counts
	maxTries     = 3                      // per refused request, including the first
	removalDelay = 3 * time.Second        // from a server's leaving until the balancers know
	reportLag    = 500 * time.Millisecond // until a server's report reaches the balancers

	reportInterval = 250 * time.Millisecond
)

// baseline is a System of several balancers in front of first-come-first-served queues.
type baseline struct {
	name      Name
	env       *Env
	queues    []*serverQueue
	entries   []*entry
	nextEntry int
}

// entry is one balancer. Its slices have an element for each server.
type entry struct {
	counter  int    // of the round-robin policy
	inflight []int  // requests that this entry has placed and that have not ended
	reported []int  // last reported loads
	removed  []bool // servers that have left
}

// serverQueue is the first-come-first-served queue in front of one server.
type serverQueue struct {
	server  *fakes.Server
	waiting []waitingJob
	queued  map[string]int // number of waiting jobs by class
}

type waitingJob struct {
	job  *fakes.Job
	done func(fakes.End)
}

func newBaseline(n Name, env *Env) *baseline {
	b := &baseline{name: n, env: env}
	for _, s := range env.Servers {
		b.queues = append(b.queues, &serverQueue{server: s, queued: map[string]int{}})
	}
	for i := range entries {
		size := len(env.Servers)
		b.entries = append(b.entries, &entry{counter: i, inflight: make([]int, size), reported: make([]int, size), removed: make([]bool, size)})
	}
	if n == LeastReported {
		b.sendReports()
	}
	return b
}

// sendReports delivers the servers' load reports to all entries, with a lag of reportLag.
func (b *baseline) sendReports() {
	for i, q := range b.queues {
		load := q.server.Running() + len(q.waiting)
		if q.server.FalseReports {
			load = 0
		}
		b.env.Loop.After(reportLag, func() {
			for _, e := range b.entries {
				e.reported[i] = load
			}
		})
	}
	b.env.Loop.After(reportInterval, b.sendReports)
}

func (b *baseline) Submit(j *fakes.Job, answer func(Answer)) {
	e := b.entries[b.nextEntry%entries] // the fabric distributes requests over all entries
	b.nextEntry++
	b.dispatch(e, j, nil, answer)
}

// dispatch sends a request to a server that it has not tried yet, and tries again if it is refused.
func (b *baseline) dispatch(e *entry, j *fakes.Job, tried []int, answer func(Answer)) {
	i := b.choose(e, tried)
	if i < 0 {
		answer(Answer{End: fakes.Shed, Reason: result.ServerLeaving})
		return
	}
	e.inflight[i]++
	b.enqueue(i, j, func(end fakes.End) {
		e.inflight[i]--
		refused := end == fakes.Shed || end == fakes.Unreachable
		if refused && len(tried)+1 < maxTries && b.env.Loop.Now().Before(j.Deadline) {
			b.dispatch(e, j, append(slices.Clone(tried), i), answer)
			return
		}
		if refused {
			end = fakes.Shed
		}
		answer(Answer{End: end, Reason: result.QueueFull})
	})
}

// choose returns the server that the policy selects, -1 if there is none.
func (b *baseline) choose(e *entry, tried []int) int {
	var candidates []int
	for i := range b.queues {
		if !e.removed[i] && !slices.Contains(tried, i) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	switch b.name {
	case RoundRobin:
		e.counter++
		return candidates[e.counter%len(candidates)]
	case LeastConnections:
		return b.leastLoaded(candidates, e.inflight)
	case LeastReported:
		return b.leastLoaded(candidates, e.reported)
	}
	return candidates[b.env.Random.IntN(len(candidates))]
}

// leastLoaded returns the server with the lowest count; ties are broken at random.
func (b *baseline) leastLoaded(candidates, counts []int) int {
	var best []int
	for _, i := range candidates {
		switch {
		case len(best) == 0 || counts[i] < counts[best[0]]:
			best = []int{i}
		case counts[i] == counts[best[0]]:
			best = append(best, i)
		}
	}
	return best[b.env.Random.IntN(len(best))]
}

// enqueue runs a request at a server, queues it there, or refuses it if the queue is full.
func (b *baseline) enqueue(i int, j *fakes.Job, done func(fakes.End)) {
	q := b.queues[i]
	if q.server.Draining || q.server.Down || q.server.FailFast || q.server.Running() < q.server.Slots {
		b.run(q, j, done)
		return
	}
	if q.queued[j.Class] >= classByName(b.env.Limits.Classes, j.Class).Queue {
		done(fakes.Shed)
		return
	}
	q.queued[j.Class]++
	q.waiting = append(q.waiting, waitingJob{j, done})
}

func (b *baseline) run(q *serverQueue, j *fakes.Job, done func(fakes.End)) {
	q.server.Run(j, func(end fakes.End) {
		b.startWaiting(q)
		done(end)
	})
}

// startWaiting starts waiting requests while slots are free. A request past its deadline is refused when
// its turn comes, as by a server that knows the deadlines.
func (b *baseline) startWaiting(q *serverQueue) {
	for len(q.waiting) > 0 && (q.server.Running() < q.server.Slots || q.server.Down || q.server.Draining) {
		c := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.queued[c.job.Class]--
		if !b.env.Loop.Now().Before(c.job.Deadline) {
			c.done(fakes.Shed)
			continue
		}
		b.run(q, c.job, c.done)
	}
}

func (b *baseline) Leaving(server int) {
	b.env.Loop.After(removalDelay, func() {
		for _, e := range b.entries {
			e.removed[server] = true
		}
	})
}

func (b *baseline) Joined(server int) {
	for _, e := range b.entries {
		e.removed[server] = false
	}
}

func (b *baseline) Waiting() int {
	n := 0
	for _, q := range b.queues {
		n += len(q.waiting)
	}
	return n
}

func (b *baseline) HandOvers() (handedOver, crossDomain int) { return 0, 0 }
