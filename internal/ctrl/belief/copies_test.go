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

// wrote is a server's entry as of its own writing seq.
func wrote(n int, revision order.Revision, state State, seq uint64) Item {
	i := server(n, revision, state)
	i.Server.Seq = seq
	return i
}

// listing is all that the platform has after it came back from a copy of revision 5.
func listing(items ...Item) Change {
	for j := range items {
		items[j].Revision = order.At(1, items[j].Revision.Number())
	}
	return Change{To: order.At(1, 5), Full: true, Items: items}
}

// stateOf returns the state of a server, and false if it isn't there.
func stateOf(l *Log, n int) (s State, ok bool) {
	found, ok := l.View().Server(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}))
	return found.State, ok
}

// Guards against flows for a server that leaves, because a copy of the platform's store is older than its word.
func TestCopyDoesNotUndoThatAServerLeaves(t *testing.T) {
	l := known(t)
	l.Apply(now, Change{From: 5, To: 7, Items: []Item{wrote(1, 6, Draining, 4), wrote(2, 7, Draining, 8)}})
	l.Apply(now, listing(config(7, 1), wrote(1, 2, Ready, 3), wrote(2, 3, Ready, 9)))
	s, _ := stateOf(l, 1)
	assert.Equal(t, s, Draining)
	s, _ = stateOf(l, 2)
	assert.Equal(t, s, Ready, "it has written since")

	again := Change{From: order.At(1, 5), To: order.At(1, 6), Items: []Item{wrote(1, order.At(1, 6), Draining, 5)}}
	assert.Equal(t, l.Apply(now, again), Updated)
	s, _ = stateOf(l, 1)
	assert.Equal(t, s, Draining)
}

// Guards against flows for a server that has left, because a copy of the platform's store still has its entry.
func TestCopyDoesNotBringBackAServerThatHasLeft(t *testing.T) {
	l := known(t)
	l.Apply(now, Change{From: 5, To: 7, Items: []Item{wrote(1, 6, Draining, 4)}})
	l.Apply(now, Change{From: 7, To: 8, Items: []Item{{Key: "s1", Revision: 8, Gone: true}}})
	l.Apply(now, listing(config(7, 1), wrote(1, 2, Ready, 3), wrote(2, 3, Ready, 3)))
	_, there := stateOf(l, 1)
	assert.Assert(t, !there)

	anew := wrote(1, order.At(1, 6), Ready, 1)
	anew.Server.Born = 77
	l.Apply(now, Change{From: order.At(1, 5), To: order.At(1, 6), Items: []Item{anew}})
	_, there = stateOf(l, 1)
	assert.Assert(t, there, "another start of the server")
}

// Guards against routes that are gone, or as they once were, until the operator has written the configuration again.
func TestCopyDoesNotUndoTheConfiguration(t *testing.T) {
	l := known(t)
	l.Apply(now, Change{From: 5, To: 6, Items: []Item{config(9, 6)}})
	l.Apply(now, listing(config(7, 1), server(2, 3, Ready)))
	assert.Equal(t, l.View().Version(), int64(9))
	l.Apply(now, Change{To: order.At(2, 4), Full: true, Items: []Item{server(2, 3, Ready)}})
	assert.Equal(t, l.View().Version(), int64(9))

	peer := New()
	peer.Apply(now, l.Since(0))
	assert.Equal(t, peer.View().Version(), int64(9), "a peer that asks is told of it")
}

// Guards against flows that are refused for an evacuation which was taken back while the platform's store was away, and one that isn't obeyed
// once it is written again.
func TestEvacuationsFollowTheCopy(t *testing.T) {
	l := known(t)
	l.Apply(now, Change{From: 5, To: 6, Items: []Item{evacuation(6, false)}})
	l.Apply(now, listing(config(7, 1), server(2, 3, Ready)))
	assert.Assert(t, !l.View().Evacuated("zg-a"))
	again := evacuation(order.At(1, 6), false)
	l.Apply(now, Change{From: order.At(1, 5), To: order.At(1, 6), Items: []Item{again}})
	assert.Assert(t, l.View().Evacuated("zg-a"))
}

// model is the platform's store, the operator and the servers that write into it.
type model struct {
	at      order.Revision
	items   map[string]Item // in the store
	written map[string]Item // what was last written; gone ones too
	lost    map[string]bool // keys that are to be written again
	version int64
}

// copied returns the store as it is now.
func (m *model) copied() (order.Revision, map[string]Item) { return m.at, maps.Clone(m.items) }

// write puts an item into the store, in the next revision.
func (m *model) write(i Item) {
	m.at++
	i.Revision = m.at
	m.written[i.Key] = i
	delete(m.lost, i.Key)
	if i.Gone {
		delete(m.items, i.Key)
		return
	}
	m.items[i.Key] = i
}

// step lets the operator or a server say something new.
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

// restore brings the store back from a copy.
func (m *model) restore(at order.Revision, items map[string]Item) {
	m.at, m.items = order.At(m.at.Era()+1, at.Number()), maps.Clone(items)
	for key, i := range m.items {
		i.Revision = order.At(m.at.Era(), i.Revision.Number())
		m.items[key] = i
	}
	for key, i := range m.written {
		there, ok := m.items[key]
		if ok == i.Gone || ok && !reflect.DeepEqual([]any{there.Server, there.Config}, []any{i.Server, i.Config}) {
			m.lost[key] = true
		}
	}
}

// writeAgain writes what the store has lost.
func (m *model) writeAgain() {
	for _, key := range slices.Sorted(maps.Keys(m.lost)) {
		m.write(m.written[key])
	}
}

// list is a listing of everything.
func (m *model) list() Change {
	return Change{To: m.at, Full: true, Items: slices.Collect(maps.Values(m.items))}
}

// observer is a log, and what it may never take back.
type observer struct {
	*Log
	version int64
	leaves  map[string]int64 // by server ID, its last start that is known to leave
}

// check asserts that the log has taken nothing back.
func (o *observer) check(r *rapid.T) {
	v := o.View()
	assert.Assert(r, v.Version() >= o.version, "version %d after %d", v.Version(), o.version)
	o.version = v.Version()
	for _, s := range v.Servers("tracing-core") {
		if s.State == Draining {
			o.leaves[s.ID] = max(o.leaves[s.ID], s.Born)
			continue
		}
		assert.Assert(r, s.Born > o.leaves[s.ID], "%s is ready again", s.ID)
	}
}

// Guards against a belief that takes back a version or a server's word, or that stays different from the others', when the platform's
// store comes back from copies while processes list it and ask each other.
func TestBeliefsOutliveCopies(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{at: order.At(1, 1), items: map[string]Item{}, written: map[string]Item{}, lost: map[string]bool{}}
		logs := []*observer{{New(), 0, map[string]int64{}}, {New(), 0, map[string]int64{}}, {New(), 0, map[string]int64{}}}
		at, items := m.copied()
		for range rapid.IntRange(1, 50).Draw(r, "steps") {
			o := logs[rapid.IntRange(0, 2).Draw(r, "log")]
			switch rapid.IntRange(0, 7).Draw(r, "step") {
			case 0:
				at, items = m.copied()
			case 1:
				m.restore(at, items)
			case 2:
				m.writeAgain()
			case 3, 4:
				o.Apply(now, m.list())
			case 5:
				o.Apply(now, logs[rapid.IntRange(0, 2).Draw(r, "from")].Since(o.Revision()))
			default:
				m.step(r)
			}
			o.check(r)
		}
		m.writeAgain()
		want := New()
		want.Apply(now, m.list())
		for _, o := range logs {
			o.Apply(now, m.list())
			o.check(r)
			assert.DeepEqual(r, statesShown(o.Log), statesShown(want))
		}
	})
}

// statesShown is what a log shows of the configuration and the servers' states once all waiting is over.
func statesShown(l *Log) (text []string) {
	text = shown(l)[:1]
	for _, s := range l.View().Servers("tracing-core") {
		text = append(text, fmt.Sprint(s.ID, s.Born, s.State))
	}
	slices.Sort(text)
	return text
}
