package hand_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangowinch/internal/work/result"
)

// claimPlan is the behaviour of one caller: it sends a claim, and repeats its key at other agents
// as long as the outcome is unknown.
type claimPlan struct {
	at     time.Duration
	keyed  bool
	issuer uint32
	agents []uint32 // of the first attempt and the repeats
	pause  time.Duration
}

// faultPlan is one fault to inject.
type faultPlan struct {
	at, lasts time.Duration
	agent     uint32
	kind      string // restart, partition, cut or late
}

type plan struct {
	seed   uint64
	claims []claimPlan
	faults []faultPlan
}

func drawPlan(t *rapid.T) plan {
	millis := func(least, most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(least, most), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	agent := rapid.Uint32Range(1, agents)
	claim := rapid.Custom(func(t *rapid.T) claimPlan {
		return claimPlan{
			at:     millis(0, 500).Draw(t, "at"),
			keyed:  rapid.Float64().Draw(t, "keyed") < 0.8,
			issuer: agent.Draw(t, "issuer"),
			agents: rapid.SliceOfN(agent, 1, 4).Draw(t, "agents"),
			pause:  millis(0, 300).Draw(t, "pause"),
		}
	})
	fault := rapid.Custom(func(t *rapid.T) faultPlan {
		return faultPlan{
			at:    millis(0, 1000).Draw(t, "at"),
			lasts: millis(1, 1000).Draw(t, "lasts"),
			agent: agent.Draw(t, "agent"),
			kind:  rapid.SampledFrom([]string{"restart", "partition", "cut", "late"}).Draw(t, "kind"),
		}
	})
	return plan{
		seed:   rapid.Uint64Min(1).Draw(t, "seed"),
		claims: rapid.SliceOfN(claim, 1, 12).Draw(t, "claims"),
		faults: rapid.SliceOfN(fault, 0, 4).Draw(t, "faults"),
	}
}

// history is the results that callers got for one claim.
type history struct {
	path string
	ends []result.Result
	body string // of the answer with outcome Ran
}

// runPlan runs a plan and returns what each caller observed.
func runPlan(t *testing.T, p plan) (*fleet, []history) {
	f := newFleet(t)
	f.seed = p.seed
	f.behave = func(agent uint32, path string) behaviour {
		r := f.random("server", agent, path)
		return behaviour{
			sheds:    r%5 < 3,
			crashes:  r>>4%5 == 0,
			delay:    time.Duration(r>>8%100) * time.Millisecond,
			duration: time.Duration(r>>16%400) * time.Millisecond,
		}
	}
	var all sync.WaitGroup
	seen := make([]history, len(p.claims))
	for i, c := range p.claims {
		all.Go(func() { seen[i] = f.claim(fmt.Sprintf("/claim/%d", i), c) })
	}
	for i, x := range p.faults {
		all.Go(func() { f.inject(t, x, uint64(i+2)) })
	}
	all.Wait()
	time.Sleep(time.Minute)
	return f, seen
}

func (f *fleet) claim(path string, c claimPlan) history {
	h := history{path: path}
	time.Sleep(c.at)
	key := ""
	if c.keyed {
		key = f.issue(c.issuer)
	}
	for _, a := range c.agents {
		end, body := f.call(a, path, key)
		h.ends = append(h.ends, end)
		if end.Outcome == result.Ran {
			h.body = body
		}
		if end.Outcome != result.Unknown || key == "" {
			break
		}
		time.Sleep(c.pause)
	}
	return h
}

func (f *fleet) inject(t *testing.T, x faultPlan, incarnation uint64) {
	time.Sleep(x.at)
	switch x.kind {
	case "restart":
		f.stop(x.agent)
		f.start(t, x.agent, incarnation)
	case "partition":
		f.partition(x.agent, true)
		time.Sleep(x.lasts)
		f.partition(x.agent, false)
	case "late":
		f.breakAndDelay(x.agent, x.lasts)
	case "cut":
		f.partition(x.agent, true)
		f.partition(x.agent, false)
	}
}

// breakAndDelay breaks the links to an agent at the senders' ends, while the data that they have
// sent reaches the agent only later.
func (f *fleet) breakAndDelay(agent uint32, lasts time.Duration) {
	f.mu.Lock()
	links := slices.Clone(f.links)
	f.mu.Unlock()
	links = slices.DeleteFunc(links, func(l *fleetLink) bool { return l.to != agent })
	for _, l := range links {
		defer l.Hold()()
	}
	time.Sleep(lasts / 4)
	for _, l := range links {
		l.Break()
	}
	time.Sleep(lasts)
}

// check returns the violations of the guarantees in a history.
func (f *fleet) check(seen []history) (violations []string) {
	for _, h := range seen {
		runs, last := f.runs(h.path), h.ends[len(h.ends)-1]
		if runs > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times: %v", h.path, runs, h.ends))
		}
		if last.Outcome == result.NotRun && runs > 0 {
			violations = append(violations, fmt.Sprintf("%s ran although not-run was returned: %v", h.path, h.ends))
		}
		if last.Outcome == result.Ran && (runs == 0 || last.Reason == result.NoReason && h.body != "case for "+h.path) {
			violations = append(violations, fmt.Sprintf("%s got %q: %v", h.path, h.body, h.ends))
		}
	}
	return violations
}

// Checks the guarantees of at-most-once execution under random faults: callers send claims and
// repeat those whose outcome is unknown at other agents, while links break, agents restart, the
// network is partitioned, and servers shed, stall and crash. No claim may run twice, no claim may
// run for which "not run" was returned, and each caller must get its own answer.
func TestHistories(t *testing.T) {
	ends, claims := map[result.Outcome]int{}, 0
	rapid.Check(t, func(r *rapid.T) {
		p := drawPlan(r)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			f, seen := runPlan(t, p)
			violations = f.check(seen)
			for _, h := range seen {
				claims++
				ends[h.ends[len(h.ends)-1].Outcome]++
			}
		})
		if len(violations) > 0 {
			r.Fatalf("%v", violations)
		}
	})
	t.Logf("%d claims: %v", claims, ends)
}
