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

// history is what was in force in one life of a process.
type history struct {
	name  string
	floor order.Revision // what it had to know from the start
	seen  []order.Revision
}

// follow records every revision that comes into force in a process.
func follow(ctx context.Context, p *process, floor order.Revision) *history {
	h := &history{name: p.member.Name, floor: floor}
	go func() {
		for {
			changed := p.store.Changed()
			if e := p.store.View().Documents["svc"]; e != nil && (len(h.seen) == 0 || h.seen[len(h.seen)-1] != e.Revision) {
				h.seen = append(h.seen, e.Revision)
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

// event is one thing that happens, and how long nothing happens then.
type event struct {
	step string
	n    int // which entry, how many, which revision
	wait time.Duration
}

var events = rapid.Custom(func(r *rapid.T) event {
	return event{
		step: rapid.SampledFrom([]string{"change", "faulty", "stale", "down", "up", "part", "lossy", "heal", "restart"}).Draw(r, "step"),
		n:    rapid.IntRange(0, 5).Draw(r, "n"),
		wait: time.Duration(rapid.IntRange(0, 5_000).Draw(r, "wait")) * time.Millisecond,
	}
})

// A team's accepted document is in force, and then, by a late message, a stale
// platform, a restart or a partition's end, callers are treated by the one
// before. In any order of such events no life of a process goes back, a process that
// restarts among peers that know better does not begin with less, and in the
// end all have the newest that can be read. The events and losses come from the
// printed seed; the order of what happens in one instant is the scheduler's.
func TestNeverRevertsInFleet(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		losses := rapid.Uint64().Draw(r, "losses")
		steps := rapid.SliceOfN(events, 3, 10).Draw(r, "events")
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = play(t, losses, steps) })
		assert.Equal(r, fault, "")
	})
}

// play lets events happen to 6 entries and 3 agents, and returns what went wrong.
func play(t *testing.T, losses uint64, steps []event) string {
	const entries, agents = 6, 3
	f := newFleet(t)
	f.reseed(losses)
	ctx, cancel := context.WithCancel(t.Context())
	newest := order.Revision(1)
	f.platform.setText("svc", 1, "svc servers=3")
	f.platform.set("svc", 1)
	f.entries(entries)
	f.seeds = nil // of those that restart, so that only the platform tells them of peers
	var histories []*history
	for n := range entries {
		histories = append(histories, follow(ctx, f.processes[linkOf(n)], 0))
	}
	for n := range agents {
		histories = append(histories, follow(ctx, f.agent("svc", n), 0))
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
			f.part(func(a netip.AddrPort) bool { return int(a.Addr().As4()[3])%entries > e.n })
		case "lossy":
			f.mu.Lock()
			f.loss = 0.3
			f.mu.Unlock()
		case "heal":
			f.heal()
		case "restart":
			f.kill(f.processes[linkOf(e.n)])
			histories = append(histories, follow(ctx, f.entry(e.n), f.floor(e.n)))
		}
		time.Sleep(e.wait)
	}
	good := newest // what all must have in the end
	if f.platform.texts[fmt.Sprint("svc", newest)] == "svc servers=3 faulty" {
		good = f.best() // those before it may have been replaced before anybody read them
	}
	f.heal()
	f.platform.setDown(false)
	f.platform.set("svc", newest)
	time.Sleep(40 * time.Second) // the longest wait before the platform is asked again, and 7 s
	have, all := f.have("svc", good)
	cancel()
	f.stop()
	synctest.Wait()
	for _, h := range histories {
		last := h.floor
		for _, n := range h.seen {
			if n < last {
				return fmt.Sprintf("%s went back: %v, it had to begin with %d", h.name, h.seen, h.floor)
			}
			last = n
		}
	}
	if have != all {
		return fmt.Sprintf("in the end revision %d is in force at %d of %d", good, have, all)
	}
	return ""
}
