package policy

import (
	"slices"
	"time"

	"mangowinch/internal/exper/fakes"
	"mangowinch/internal/work/result"
)

const (
	entries   = 4 // balancers, each with its own counts
	tries     = 3 // of a refused request, the first included
	news      = 3 * time.Second
	reportLag = 500 * time.Millisecond

	reportEvery = 250 * time.Millisecond
)

// direct is a set of balancers in front of first-come-first-served queues.
type direct struct {
	name    Name
	world   *Env
	queues  []*buffer
	entries []*entry
	next    int
}

type entry struct {
	turn     int
	inflight []int
	reported []int
	gone     []bool
}

// buffer is the first-come-first-served queue in front of one server.
type buffer struct {
	server  *fakes.Server
	waiting []call
	classes map[string]int
}

type call struct {
	job  *fakes.Job
	done func(fakes.End)
}

func newDirect(n Name, w *Env) *direct {
	d := &direct{name: n, world: w}
	for _, s := range w.Servers {
		d.queues = append(d.queues, &buffer{server: s, classes: map[string]int{}})
	}
	for i := range entries {
		size := len(w.Servers)
		d.entries = append(d.entries, &entry{turn: i, inflight: make([]int, size), reported: make([]int, size), gone: make([]bool, size)})
	}
	if n == LeastReported {
		d.report()
	}
	return d
}

// report takes the servers' own reports to all entries, late.
func (d *direct) report() {
	for i, q := range d.queues {
		load := q.server.Running() + len(q.waiting)
		if q.server.FalseReports {
			load = 0
		}
		d.world.Loop.After(reportLag, func() {
			for _, e := range d.entries {
				e.reported[i] = load
			}
		})
	}
	d.world.Loop.After(reportEvery, d.report)
}

func (d *direct) Submit(j *fakes.Job, answer func(Answer)) {
	e := d.entries[d.next%entries] // the fabric sprays
	d.next++
	d.try(e, j, nil, answer)
}

func (d *direct) try(e *entry, j *fakes.Job, tried []int, answer func(Answer)) {
	i := d.choose(e, tried)
	if i < 0 {
		answer(Answer{End: fakes.Shed, Reason: result.ServerLeaving})
		return
	}
	e.inflight[i]++
	d.enter(i, j, func(end fakes.End) {
		e.inflight[i]--
		refused := end == fakes.Shed || end == fakes.Unreachable
		if refused && len(tried)+1 < tries && d.world.Loop.Now().Before(j.Deadline) {
			d.try(e, j, append(slices.Clone(tried), i), answer)
			return
		}
		if refused {
			end = fakes.Shed
		}
		answer(Answer{End: end, Reason: result.QueueFull})
	})
}

func (d *direct) choose(e *entry, tried []int) int {
	var open []int
	for i := range d.queues {
		if !e.gone[i] && !slices.Contains(tried, i) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	switch d.name {
	case RoundRobin:
		e.turn++
		return open[e.turn%len(open)]
	case LeastConnections:
		return d.least(open, e.inflight)
	case LeastReported:
		return d.least(open, e.reported)
	}
	return open[d.world.Random.IntN(len(open))]
}

// least returns a server with the lowest count, of equals one at random.
func (d *direct) least(open, counts []int) int {
	var best []int
	for _, i := range open {
		switch {
		case len(best) == 0 || counts[i] < counts[best[0]]:
			best = []int{i}
		case counts[i] == counts[best[0]]:
			best = append(best, i)
		}
	}
	return best[d.world.Random.IntN(len(best))]
}

// enter runs a request at a server, or lets it wait there.
func (d *direct) enter(i int, j *fakes.Job, done func(fakes.End)) {
	q := d.queues[i]
	if q.server.Draining || q.server.Down || q.server.FailFast || q.server.Running() < q.server.Slots {
		d.run(q, j, done)
		return
	}
	if q.classes[j.Class] >= kindOf(d.world.Limits.Classes, j.Class).Queue {
		done(fakes.Shed)
		return
	}
	q.classes[j.Class]++
	q.waiting = append(q.waiting, call{j, done})
}

func (d *direct) run(q *buffer, j *fakes.Job, done func(fakes.End)) {
	q.server.Run(j, func(end fakes.End) {
		d.drainOne(q)
		done(end)
	})
}

// drainOne starts what waits while slots are free. What is past its deadline is
// refused when its turn comes, as a server does that is told of deadlines.
func (d *direct) drainOne(q *buffer) {
	for len(q.waiting) > 0 && (q.server.Running() < q.server.Slots || q.server.Down || q.server.Draining) {
		c := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.classes[c.job.Class]--
		if !d.world.Loop.Now().Before(c.job.Deadline) {
			c.done(fakes.Shed)
			continue
		}
		d.run(q, c.job, c.done)
	}
}

func (d *direct) Leaving(server int) {
	d.world.Loop.After(news, func() {
		for _, e := range d.entries {
			e.gone[server] = true
		}
	})
}

func (d *direct) Joined(server int) {
	for _, e := range d.entries {
		e.gone[server] = false
	}
}

func (d *direct) Waiting() int {
	n := 0
	for _, q := range d.queues {
		n += len(q.waiting)
	}
	return n
}

func (d *direct) HandOvers() (handed, far int) { return 0, 0 }
