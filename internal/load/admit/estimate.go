package admit

import (
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/queue"
)

// gain is the weight of the newest run, as in TCP's round-trip estimate: some ten
// runs make up the mean, so a server that turns slow is believed within three rounds
// of its slots.
const gain = 0.125

// estimate follows the service time of one class.
type estimate struct {
	mean float64 // seconds
	runs int
}

func (e *estimate) add(took time.Duration) {
	if e.runs++; e.runs == 1 {
		e.mean = took.Seconds()
		return
	}
	e.mean += gain * (took.Seconds() - e.mean)
}

func (g *Gate) estimate(class string) *estimate {
	e := g.measured[class]
	if e == nil {
		e = &estimate{}
		g.measured[class] = e
	}
	return e
}

// cost is what a run of a class is expected to take, in seconds of a slot; 0 as
// long as none has ended, when only the bounds of the queue hold.
func (g *Gate) cost(class string) float64 {
	return g.estimate(class).mean
}

// late reports whether a request that has to wait is to be refused. The estimate
// is pessimistic in that waiting may take only a part of the time left: the rest is
// for a service time that is over the mean and for a wait that is longer than expected.
func (g *Gate) late(now time.Time, l *lane, r Request) bool {
	wait, left := g.wait(now, l, r.Caller), r.Deadline.Sub(now).Seconds()
	return wait > g.rules.WaitShare*left || wait+g.cost(r.Class) > left
}

// wait is the expected wait of a new request of a caller, in seconds: the work that
// starts before it, over the slots that its kind can count on.
func (g *Gate) wait(now time.Time, l *lane, c queue.Caller) float64 {
	work := l.waiting.Ahead(c)
	for _, r := range g.running {
		if r.kind == l.kind {
			work += g.remaining(now, r)
		}
	}
	return work / float64(g.turnover(l))
}

// remaining is what a run still takes. A run that is over its mean may be one of
// a slow server; half of the mean more is assumed, so that it never counts as nothing.
func (g *Gate) remaining(now time.Time, r run) float64 {
	mean := g.cost(r.class)
	return max(mean-now.Sub(r.since).Seconds(), mean/2)
}

// turnover is how many slots a kind can count on: its bound, less those that other
// kinds hold or wait for.
func (g *Gate) turnover(l *lane) int {
	slots := g.limits.Slots
	for _, k := range kinds {
		if o := g.lanes[k]; o != l && k != docs.Lookup {
			slots -= min(o.inflight+o.waiting.Len(), g.most(o))
		}
	}
	return max(1, min(slots, g.most(l)))
}

// latest is when a waiting request has to start at the latest.
func (g *Gate) latest(i queue.Item) time.Time {
	return i.Deadline.Add(-seconds(g.cost(i.Class)))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
