package admit

import (
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/load/queue"
)

// estimateGain is the weight of the newest run, the value of TCP's round-trip time estimator. About ten runs
// determine the mean, so the estimate follows a server that becomes slow within three rounds of its slots.
const estimateGain = 0.125

// estimate is the estimated service time of one class.
type estimate struct {
	mean float64 // in seconds
	runs int
}

func (e *estimate) add(took time.Duration) {
	if e.runs++; e.runs == 1 {
		e.mean = took.Seconds()
		return
	}
	e.mean += estimateGain * (took.Seconds() - e.mean)
}

func (g *Gate) estimate(class string) *estimate {
	e := g.estimates[class]
	if e == nil {
		e = &estimate{}
		g.estimates[class] = e
	}
	return e
}

// cost returns the expected service time of a class in seconds of a slot. It is 0 until a run has
// completed; until then only the limits of the queue apply.
func (g *Gate) cost(class string) float64 {
	return g.estimate(class).mean
}

// tooLate reports whether a request that has to wait is to be refused. The estimate is pessimistic: only
// a share of the time left may be spent waiting, and the rest is a margin for a service time above the
// mean and for a longer wait than expected.
func (g *Gate) tooLate(now time.Time, l *lane, r Request) bool {
	wait, left := g.expectedWait(now, l, r.Caller), r.Deadline.Sub(now).Seconds()
	return wait > g.rules.WaitShare*left || wait+g.cost(r.Class) > left
}

// expectedWait returns the expected wait of a new request of a caller, in seconds: the work that starts
// before it, divided by the slots usable by its kind.
func (g *Gate) expectedWait(now time.Time, l *lane, c queue.Caller) float64 {
	work := l.waiting.Ahead(c)
	for _, r := range g.running {
		if r.kind == l.kind {
			work += g.remaining(now, r)
		}
	}
	return work / float64(g.usableSlots(l))
}

// remaining returns the expected remaining time of a run in seconds. For a run that has exceeded the
// mean, which may be on a slow server, it is half of the mean rather than zero.
func (g *Gate) remaining(now time.Time, r run) float64 {
	mean := g.cost(r.class)
	return max(mean-now.Sub(r.since).Seconds(), mean/2)
}

// usableSlots returns the number of slots that a kind can expect to use: its limit, less the slots that
// other kinds hold or wait for.
func (g *Gate) usableSlots(l *lane) int {
	slots := g.limits.Slots
	for _, k := range kinds {
		if o := g.lanes[k]; o != l && k != docs.Lookup {
			slots -= min(o.inflight+o.waiting.Len(), g.slotLimit(o))
		}
	}
	return max(1, min(slots, g.slotLimit(l)))
}

// latestStart returns the latest time at which a waiting request can start and still meet its deadline.
func (g *Gate) latestStart(i queue.Item) time.Time {
	return i.Deadline.Add(-seconds(g.cost(i.Class)))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
