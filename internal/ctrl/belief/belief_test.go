package belief

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/order"
)

var now = time.Unix(1_700_000_000, 0)

func server(n int, revision order.Revision, state State) Item {
	return Item{Key: fmt.Sprintf("s%d", n), Revision: revision, Server: &Server{
		ID: fmt.Sprintf("i-%d", n), Service: "tracing-core", State: state, Slots: 4, Created: revision,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 8080),
	}}
}

func config(version int64, revision order.Revision) Item {
	called := netip.MustParseAddrPort("198.18.0.1:443")
	return Item{Key: "config", Revision: revision, Config: &Config{
		Version: version,
		Routes:  []Route{{Called: called, Priority: 2, Shares: []Share{{Service: "tracing-core", Weight: 1}}}},
	}}
}

func evacuation(revision order.Revision, back bool) Item {
	if back {
		return Item{Key: "evacuate zg-a", Revision: revision, Gone: true}
	}
	return Item{Key: "evacuate zg-a", Revision: revision, Evacuated: "zg-a"}
}

func known(t *testing.T) *Log {
	t.Helper()
	l := New()
	assert.Equal(t, l.Apply(now, Change{To: 5, Full: true, Items: []Item{config(7, 1), server(1, 2, Ready), server(2, 3, Ready)}}), Updated)
	return l
}

func TestViewShowsRoutesAndServers(t *testing.T) {
	v := known(t).View()
	assert.Equal(t, v.Version(), int64(7))
	assert.Equal(t, len(v.Servers("tracing-core")), 2)
	assert.Assert(t, v.Allows(netip.MustParseAddrPort("198.18.0.1:443"), "tracing-core"))
	assert.Assert(t, !v.Allows(netip.MustParseAddrPort("198.18.0.1:443"), "doc-intake"))
	assert.Equal(t, v.LowestPriority, 2)
}

// A change is missing between what a process knows and what it hears: it must not act on the later one alone.
func TestGapIsNotSkipped(t *testing.T) {
	l := known(t)
	assert.Equal(t, l.Apply(now, Change{From: 8, To: 9, Items: []Item{config(9, 9)}}), Gap)
	assert.Equal(t, l.View().Version(), int64(7))
	assert.Equal(t, l.Apply(now, Change{From: 4, To: 5}), Stale)
}

// A process woken from a pause tells what it knew before. Nobody goes back to it.
func TestNothingGoesBack(t *testing.T) {
	l := known(t)
	l.Apply(now, Change{From: 5, To: 6, Items: []Item{config(8, 6)}})
	l.Apply(now, Change{To: 5, Full: true, Items: []Item{config(7, 1)}})
	assert.Equal(t, l.View().Version(), int64(8))
	assert.Equal(t, l.Apply(now, Change{From: 6, To: 10, Items: []Item{config(7, 10)}}), Updated)
	assert.Equal(t, l.View().Version(), int64(8), "a lower version written later")
}

// The configuration can't be read: a broken write, or a newer format. The last good one stays in force.
func TestUnreadableConfigurationChangesNothing(t *testing.T) {
	l := known(t)
	broken := Item{Key: "config", Revision: 6}
	assert.Assert(t, broken.Unreadable())
	l.Apply(now, Change{From: 5, To: 6, Items: []Item{broken}})
	assert.Equal(t, l.View().Version(), int64(7))
}

// Servers' entries lapse while the platform is away although the servers live, and come back within two seconds of
// its return. Taken out at once, every server of a service would be gone for that time.
func TestLapsedServerStaysForAWhile(t *testing.T) {
	l := known(t)
	l.Apply(now, Change{From: 5, To: 6, Items: []Item{{Key: "s1", Revision: 6, Gone: true}}})
	assert.Equal(t, len(l.View().Servers("tracing-core")), 2)
	assert.Assert(t, !l.Tick(now.Add(absence)))
	assert.Assert(t, l.Tick(now.Add(absence+time.Millisecond)))
	assert.Equal(t, len(l.View().Servers("tracing-core")), 1)
}

// A server that was draining and is gone has left: nothing of it stays.
func TestDrainedServerGoesAtOnce(t *testing.T) {
	l := known(t)
	l.Apply(now, Change{From: 5, To: 7, Items: []Item{server(1, 6, Draining)}})
	l.Apply(now, Change{From: 7, To: 8, Items: []Item{{Key: "s1", Revision: 8, Gone: true}}})
	assert.Equal(t, len(l.View().Servers("tracing-core")), 1)
}

// A crashed server's address is used again before its entry has lapsed.
func TestNewestServerOfAnAddressCounts(t *testing.T) {
	l := known(t)
	reused := server(9, 6, Ready)
	reused.Server.Addr = netip.MustParseAddrPort("10.0.1.1:9090")
	reused.Server.Service = "doc-intake"
	l.Apply(now, Change{From: 5, To: 6, Items: []Item{reused}})
	s, ok := l.View().Server(netip.MustParseAddr("10.0.1.1"))
	assert.Assert(t, ok)
	assert.Equal(t, s.Service, "doc-intake")
	assert.Equal(t, len(l.View().Servers("tracing-core")), 1)
}

// The platform has dropped its history, so a listing tells what is there and not what went.
func TestListingRemovesWhatItLacks(t *testing.T) {
	l := known(t)
	l.Apply(now, Change{To: 9, Full: true, Items: []Item{config(7, 1), server(2, 3, Ready)}})
	l.Tick(now.Add(absence + time.Millisecond))
	assert.Equal(t, len(l.View().Servers("tracing-core")), 1)
	c := l.Since(5)
	assert.Assert(t, c.Full, "a peer that is further behind would never learn what went")
}

// One process reads the platform; the others get changes of any others, lost, doubled, in any order. Whoever
// then asks somebody who knows more knows the same.
func TestProcessesAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		reader := New()
		reader.Apply(now, Change{To: 1, Full: true, Items: []Item{config(1, 1)}})
		others := []*Log{New(), New()}
		revision := order.Revision(1)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				revision++
				reader.Apply(now, Change{From: revision - 1, To: revision, Items: []Item{draw(r, revision)}})
			default:
				from := append(others, reader)[rapid.IntRange(0, 2).Draw(r, "from")]
				to := others[rapid.IntRange(0, 1).Draw(r, "to")]
				before := to.Revision()
				to.Apply(now, from.Since(to.Revision()))
				assert.Assert(r, to.Revision() >= before)
			}
		}
		for _, o := range others {
			o.Apply(now, reader.Since(o.Revision()))
			assert.Equal(r, o.Revision(), reader.Revision())
			assert.DeepEqual(r, shown(o), shown(reader))
		}
	})
}

func draw(r *rapid.T, revision order.Revision) Item {
	n := rapid.IntRange(0, 4).Draw(r, "item")
	switch {
	case n == 0:
		return config(int64(revision), revision)
	case n == 4:
		return evacuation(revision, rapid.Bool().Draw(r, "taken back"))
	case rapid.Bool().Draw(r, "gone"):
		return Item{Key: fmt.Sprintf("s%d", n), Revision: revision, Gone: true}
	default:
		return server(n, revision, Ready)
	}
}

// shown is what a log shows once all waiting is over.
func shown(l *Log) (text []string) {
	l.Tick(now.Add(time.Hour))
	v := l.View()
	text = append(text, fmt.Sprint("version ", v.Version()), fmt.Sprint("evacuated ", v.EvacuatedDomains()))
	for _, a := range v.Homes.Agents() {
		s, _ := v.Server(a)
		text = append(text, fmt.Sprint(s.ID, s.Created))
	}
	return text
}

// Guards against an old belief that evacuates a domain once more, or takes it back.
func TestEvacuationsFollowTheirRevisions(t *testing.T) {
	l := known(t)
	assert.Assert(t, !l.View().Evacuated("zg-a"))
	ordered := Change{From: 5, To: 6, Items: []Item{evacuation(6, false)}}
	l.Apply(now, ordered)
	assert.Assert(t, l.View().Evacuated("zg-a") && !l.View().Evacuated("zg-b"))

	asleep := New()
	asleep.Apply(now, l.Since(0))
	l.Apply(now, Change{From: 6, To: 7, Items: []Item{evacuation(7, true)}})
	assert.Equal(t, l.Apply(now, asleep.Since(0)), Stale)
	assert.Assert(t, !l.View().Evacuated("zg-a"), "an old belief brought the order back")

	again := Change{From: 7, To: 8, Items: []Item{evacuation(8, false)}}
	assert.Equal(t, asleep.Apply(now, again), Gap)
	l.Apply(now, again)
	asleep.Apply(now, l.Since(asleep.Revision()))
	assert.Assert(t, asleep.View().Evacuated("zg-a"))
}

// Guards against an evacuation that stays although a listing of everything lacks it.
func TestListingTakesAnEvacuationBack(t *testing.T) {
	l := known(t)
	l.Apply(now, Change{From: 5, To: 6, Items: []Item{evacuation(6, false)}})
	l.Apply(now, Change{To: 9, Full: true, Items: []Item{config(7, 1), server(2, 3, Ready)}})
	assert.Assert(t, !l.View().Evacuated("zg-a"))
}
