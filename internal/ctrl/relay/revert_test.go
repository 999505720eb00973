package relay_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/order"
)

// history is the sequence of revisions in force in one incarnation of a process.
type history struct {
	name        string
	minRevision order.Revision // the lowest revision with which it may begin
	revisions   []order.Revision
}

// recordHistory records every revision that comes into force in a process.
func recordHistory(ctx context.Context, p *process, minRevision order.Revision) *history {
	h := &history{name: p.member.Name, minRevision: minRevision}
	go func() {
		for {
			changed := p.store.Changed()
			if e := p.store.View().Documents["svc"]; e != nil && (len(h.revisions) == 0 || h.revisions[len(h.revisions)-1] != e.Revision) {
				h.revisions = append(h.revisions, e.Revision)
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return h
}

// event is a step of a random scenario, followed by a wait.
type event struct {
	step string
	n    int // an entry, a number of entries or a revision, depending on the step
	wait time.Duration
}

var events = rapid.Custom(func(r *rapid.T) event {
	return event{
		step: rapid.SampledFrom([]string{"change", "faulty", "stale", "down", "up", "part", "lossy", "heal", "restart"}).Draw(r, "step"),
		n:    rapid.IntRange(0, 5).Draw(r, "n"),
		wait: time.Duration(rapid.IntRange(0, 5_000).Draw(r, "wait")) * time.Millisecond,
	}
})

// Guards against a document that is in force and then replaced by an older revision, because of a delayed
// message, a stale platform, a restart or the end of a partition. In any order of such events no incarnation
// of a process reverts, a process that restarts among peers with newer revisions doesn't begin with an older
// one, and in the end all processes have the newest revision that can be parsed. Events and losses follow
// from the printed seed; the order of what happens at the same instant depends on the scheduler.
func TestNeverRevertsInFleet(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		losses := rapid.Uint64().Draw(r, "losses")
		steps := rapid.SliceOfN(events, 3, 10).Draw(r, "events")
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = runEvents(t, losses, steps) })
		assert.Equal(r, fault, "")
	})
}

// runEvents applies events to a fleet of 6 entries and 3 agents. It returns a description of the first
// violation, or "".
func runEvents(t *testing.T, losses uint64, steps []event) string {
	const entries, agents = 6, 3
	f := newFleet(t)
	f.reseed(losses)
	ctx, cancel := context.WithCancel(t.Context())
	newest := order.Revision(1)
	f.platform.setText("svc", 1, "svc servers=3")
	f.platform.set("svc", 1)
	f.entries(entries)
	f.seeds = nil // restarted entries get their peers from the platform only
	var histories []*history
	for n := range entries {
		histories = append(histories, recordHistory(ctx, f.processes[entryLink(n)], 0))
	}
	for n := range agents {
		histories = append(histories, recordHistory(ctx, f.agent("svc", n), 0))
	}
	time.Sleep(8 * time.Second)
	for _, e := range steps {
		switch e.step {
		case "change", "faulty":
			newest++
			f.platform.setText("svc", newest, "svc servers=3 "+e.step)
			f.platform.set("svc", newest)
		case "stale":
			f.platform.set("svc", max(1, newest-min(newest, order.Revision(e.n))))
		case "down", "up":
			f.platform.setDown(e.step == "down")
		case "part":
			f.partition(func(a netip.AddrPort) bool { return int(a.Addr().As4()[3])%entries > e.n })
		case "lossy":
			f.mu.Lock()
			f.loss = 0.3
			f.mu.Unlock()
		case "heal":
			f.heal()
		case "restart":
			f.kill(f.processes[entryLink(e.n)])
			histories = append(histories, recordHistory(ctx, f.entry(e.n), f.minRevision(e.n)))
		}
		time.Sleep(e.wait)
	}
	good := newest // the revision that all must have in the end
	if f.platform.texts[fmt.Sprint("svc", newest)] == "svc servers=3 faulty" {
		good = f.highestInForce() // earlier revisions may have been replaced before any process read them
	}
	f.heal()
	f.platform.setDown(false)
	f.platform.set("svc", newest)
	time.Sleep(40 * time.Second) // the longest backoff before the platform is called again, and 7 s
	have, all := f.countAtLeast("svc", good)
	cancel()
	f.stop()
	synctest.Wait()
	for _, h := range histories {
		last := h.minRevision
		for _, n := range h.revisions {
			if n < last {
				return fmt.Sprintf("%s reverted: revisions %v, expected the first to be at least %d", h.name, h.revisions, h.minRevision)
			}
			last = n
		}
	}
	if have != all {
		return fmt.Sprintf("in the end revision %d is in force at %d of %d", good, have, all)
	}
	return ""
}
