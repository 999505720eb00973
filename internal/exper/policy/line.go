package policy

import (
	"time"

	"mangowinch/internal/load/admit"
	"mangowinch/internal/work/result"
)

// fcfsGate is the baseline for admission: a first-come-first-served queue whose only limit is the number
// of waiting requests per class.
type fcfsGate struct {
	limits    admit.Limits
	unlimited bool // requests are neither refused nor expired
	running   map[uint64]bool
	waiting   []admit.Request
	measured  admit.ClassStats
}

func newFCFSGate(l admit.Limits, unlimited bool) *fcfsGate {
	return &fcfsGate{limits: l, unlimited: unlimited, running: map[uint64]bool{}}
}

func (g *fcfsGate) Arrive(_ time.Time, r admit.Request) admit.Decision {
	if len(g.running) < g.limits.Slots {
		g.running[r.ID] = true
		return admit.Decision{Verdict: admit.Run}
	}
	if !g.unlimited && g.count(r.Class) >= classByName(g.limits.Classes, r.Class).Queue {
		return admit.Decision{Verdict: admit.Refuse, Reason: result.QueueFull, RetryAfter: time.Second}
	}
	g.waiting = append(g.waiting, r)
	return admit.Decision{Verdict: admit.Wait}
}

func (g *fcfsGate) count(class string) int {
	n := 0
	for _, w := range g.waiting {
		if w.Class == class {
			n++
		}
	}
	return n
}

func (g *fcfsGate) Done(now time.Time, id uint64, took time.Duration) (c admit.Change) {
	delete(g.running, id)
	if took > 0 {
		g.measured.Runs++
		g.measured.Mean += (took - g.measured.Mean) / 8
	}
	for len(g.waiting) > 0 && len(g.running) < g.limits.Slots {
		r := g.waiting[0]
		g.waiting = g.waiting[1:]
		if !g.unlimited && !now.Before(r.Deadline) {
			c.Refused = append(c.Refused, admit.Refusal{ID: r.ID, Reason: result.Expired, RetryAfter: time.Second})
			continue
		}
		g.running[r.ID] = true
		c.Started = append(c.Started, r.ID)
	}
	return c
}

func (g *fcfsGate) Expire(time.Time) admit.Change { return admit.Change{} }

func (g *fcfsGate) NextExpiry() time.Time { return time.Time{} }

func (g *fcfsGate) Drain() (ids []uint64) {
	for _, r := range g.waiting {
		ids = append(ids, r.ID)
	}
	g.waiting = nil
	return ids
}

func (g *fcfsGate) RetryAfter(time.Time) time.Duration { return time.Second }

func (g *fcfsGate) Stats() admit.Stats {
	return admit.Stats{Slots: g.limits.Slots, Running: len(g.running), Waiting: len(g.waiting), Classes: []admit.ClassStats{g.measured}}
}
