package belief

import (
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/order"
)

// serverWrite returns the record that a server wrote with sequence number seq.
func serverWrite(n int, revision order.Revision, state State, seq uint64) Item {
	i := server(n, revision, state)
	i.Server.Seq = seq
	return i
}

// restoredListing returns the platform's full listing after its store was restored from a backup of revision 5.
func restoredListing(items ...Item) Change {
	for j := range items {
		items[j].Revision = order.At(1, items[j].Revision.Number())
	}
	return Change{To: order.At(1, 5), Full: true, Items: items}
}

// stateOf returns the state of a server, and false if the view doesn't have the server.
func stateOf(l *Log, n int) (s State, ok bool) {
	found, ok := l.View().Server(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}))
	return found.State, ok
}

// Guards against new flows for a draining server after the platform's store was restored from a backup in which the
// server is still ready.
func TestCopyDoesNotUndoThatAServerLeaves(t *testing.T) {
	l := newTestLog(t)
	l.Apply(now, Change{From: 5, To: 7, Items: []Item{serverWrite(1, 6, Draining, 4), serverWrite(2, 7, Draining, 8)}})
	l.Apply(now, restoredListing(config(7, 1), serverWrite(1, 2, Ready, 3), serverWrite(2, 3, Ready, 9)))
	s, _ := stateOf(l, 1)
	assert.Equal(t, s, Draining)
	s, _ = stateOf(l, 2)
	assert.Equal(t, s, Ready, "the server wrote a later record")

	again := Change{From: order.At(1, 5), To: order.At(1, 6), Items: []Item{serverWrite(1, order.At(1, 6), Draining, 5)}}
	assert.Equal(t, l.Apply(now, again), Updated)
	s, _ = stateOf(l, 1)
	assert.Equal(t, s, Draining)
}

// Guards against flows for a server that has left after the platform's store was restored from a backup that still has
// the server's record.
func TestCopyDoesNotBringBackAServerThatHasLeft(t *testing.T) {
	l := newTestLog(t)
	l.Apply(now, Change{From: 5, To: 7, Items: []Item{serverWrite(1, 6, Draining, 4)}})
	l.Apply(now, Change{From: 7, To: 8, Items: []Item{{Key: "s1", Revision: 8, Gone: true}}})
	l.Apply(now, restoredListing(config(7, 1), serverWrite(1, 2, Ready, 3), serverWrite(2, 3, Ready, 3)))
	_, found := stateOf(l, 1)
	assert.Assert(t, !found)

	restarted := serverWrite(1, order.At(1, 6), Ready, 1)
	restarted.Server.Born = 77
	l.Apply(now, Change{From: order.At(1, 5), To: order.At(1, 6), Items: []Item{restarted}})
	_, found = stateOf(l, 1)
	assert.Assert(t, found, "the server was restarted")
}

// Guards against missing or outdated routes after a restore, until the operator writes the configuration again.
func TestCopyDoesNotUndoTheConfiguration(t *testing.T) {
	l := newTestLog(t)
	l.Apply(now, Change{From: 5, To: 6, Items: []Item{config(9, 6)}})
	l.Apply(now, restoredListing(config(7, 1), server(2, 3, Ready)))
	assert.Equal(t, l.View().Version(), int64(9))
	l.Apply(now, Change{To: order.At(2, 4), Full: true, Items: []Item{server(2, 3, Ready)}})
	assert.Equal(t, l.View().Version(), int64(9))

	peer := New()
	peer.Apply(now, l.Since(0))
	assert.Equal(t, peer.View().Version(), int64(9), "a peer that fetches everything gets the kept configuration")
}

// Guards against flows that are refused for an evacuation that the restored store lacks because it was revoked, and
// against ignoring an evacuation that is written again.
func TestEvacuationsFollowTheCopy(t *testing.T) {
	l := newTestLog(t)
	l.Apply(now, Change{From: 5, To: 6, Items: []Item{evacuation(6, false)}})
	l.Apply(now, restoredListing(config(7, 1), server(2, 3, Ready)))
	assert.Assert(t, !l.View().Evacuated("zg-a"))
	again := evacuation(order.At(1, 6), false)
	l.Apply(now, Change{From: order.At(1, 5), To: order.At(1, 6), Items: []Item{again}})
	assert.Assert(t, l.View().Evacuated("zg-a"))
}

// model simulates the platform's store, and the operator and the servers that write into it.
type model struct {
	at      order.Revision
	items   map[string]Item // in the store
	written map[string]Item // last write of each key, also of removed items
	missing map[string]bool // keys that must be written again
	version int64
}

// snapshot returns a copy of the store.
func (m *model) snapshot() (order.Revision, map[string]Item) { return m.at, maps.Clone(m.items) }

// write stores or removes an item, in the next revision.
func (m *model) write(i Item) {
	m.at++
	i.Revision = m.at
	m.written[i.Key] = i
	delete(m.missing, i.Key)
	if i.Gone {
		delete(m.items, i.Key)
		return
	}
	m.items[i.Key] = i
}

// step makes the operator or a server write something new.
func (m *model) step(r *rapid.T) {
	n := rapid.IntRange(0, 3).Draw(r, "who")
	if n == 0 {
		m.version++
		m.write(config(m.version, 0))
		return
	}
	i := server(n, 0, Ready)
	i.Server.Seq, i.Server.Created = 1, 0
	was := m.written[i.Key]
	switch {
	case was.Server == nil:
		i.Server.Born = int64(was.Revision.Number() + uint64(was.Revision.Era())<<8 + 1)
	case was.Server.State == Ready:
		*i.Server = *was.Server
		i.Server.Seq++
		i.Server.State = Draining
	default:
		i.Server, i.Gone = nil, true
	}
	m.write(i)
}

// restore restores the store from a backup, in the next era, and marks the keys whose last write is lost.
func (m *model) restore(at order.Revision, items map[string]Item) {
	m.at, m.items = order.At(m.at.Era()+1, at.Number()), maps.Clone(items)
	for key, i := range m.items {
		i.Revision = order.At(m.at.Era(), i.Revision.Number())
		m.items[key] = i
	}
	for key, i := range m.written {
		stored, ok := m.items[key]
		if ok == i.Gone || ok && !reflect.DeepEqual([]any{stored.Server, stored.Config}, []any{i.Server, i.Config}) {
			m.missing[key] = true
		}
	}
}

// rewriteMissing writes again what a restore has lost.
func (m *model) rewriteMissing() {
	for _, key := range slices.Sorted(maps.Keys(m.missing)) {
		m.write(m.written[key])
	}
}

// list returns a full listing of the store.
func (m *model) list() Change {
	return Change{To: m.at, Full: true, Items: slices.Collect(maps.Values(m.items))}
}

// observer is a log with the facts that its later views must not contradict.
type observer struct {
	*Log
	version      int64
	lastDraining map[string]int64 // by server ID: start time of the latest incarnation seen draining
}

// check asserts that the log has not gone back to a lower version, nor a draining server to ready.
func (o *observer) check(r *rapid.T) {
	v := o.View()
	assert.Assert(r, v.Version() >= o.version, "version %d after %d", v.Version(), o.version)
	o.version = v.Version()
	for _, s := range v.Servers("tracing-core") {
		if s.State == Draining {
			o.lastDraining[s.ID] = max(o.lastDraining[s.ID], s.Born)
			continue
		}
		assert.Assert(r, s.Born > o.lastDraining[s.ID], "%s is ready again", s.ID)
	}
}

// Guards against a belief that goes back to a lower version or an earlier state of a server, or stays different from
// the others, when the platform's store is restored from backups while processes list it and fetch from each other.
func TestBeliefsOutliveCopies(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{at: order.At(1, 1), items: map[string]Item{}, written: map[string]Item{}, missing: map[string]bool{}}
		logs := []*observer{{New(), 0, map[string]int64{}}, {New(), 0, map[string]int64{}}, {New(), 0, map[string]int64{}}}
		at, items := m.snapshot()
		for range rapid.IntRange(1, 50).Draw(r, "steps") {
			o := logs[rapid.IntRange(0, 2).Draw(r, "log")]
			switch rapid.IntRange(0, 7).Draw(r, "step") {
			case 0:
				at, items = m.snapshot()
			case 1:
				m.restore(at, items)
			case 2:
				m.rewriteMissing()
			case 3, 4:
				o.Apply(now, m.list())
			case 5:
				o.Apply(now, logs[rapid.IntRange(0, 2).Draw(r, "from")].Since(o.Revision()))
			default:
				m.step(r)
			}
			o.check(r)
		}
		m.rewriteMissing()
		want := New()
		want.Apply(now, m.list())
		for _, o := range logs {
			o.Apply(now, m.list())
			o.check(r)
			assert.DeepEqual(r, stateSummary(o.Log), stateSummary(want))
		}
	})
}

// stateSummary lists the configuration version and the servers' states after all retention times are over.
func stateSummary(l *Log) (text []string) {
	text = summary(l)[:1]
	for _, s := range l.View().Servers("tracing-core") {
		text = append(text, fmt.Sprint(s.ID, s.Born, s.State))
	}
	slices.Sort(text)
	return text
}
