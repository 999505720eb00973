package relay

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/duty"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/wire"
)

// Bounds of rumours.
const (
	fanout      = 4  // who learns of a change tells so many: all but 2 % are reached, comparing finds these
	maxRumours  = 32 // in one message; more at once is a start, not news
	maxRecent   = 16 // changes that exchanges repeat for some seconds
	sendTries   = 3
	contacts    = 3  // entries that tell the agents of a service
	notesSecond = 50 // to agents; at the planned size a change is told to 5 agents by 3 entries
	tellsAtOnce = 16
)

// tell is an entry's loop that passes on what changed in its store.
func (n *Node) tell(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, tellsAtOnce)
	limiter := rate.NewLimiter(notesSecond, notesSecond)
	before := n.Store.View()
	for ctx.Err() == nil {
		changed := n.Store.Changed()
		now := n.Store.View()
		items := changes(before, now)
		n.remember(items)
		for _, m := range n.listeners(len(items)) {
			n.send(ctx, &running, slots, m, items)
		}
		for _, i := range items {
			for _, agent := range n.agents(i, before, now) {
				if limiter.Wait(ctx) != nil {
					return
				}
				n.send(ctx, &running, slots, peers.Member{Address: agent}, []digest.Item{i})
			}
		}
		before = now
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// change is a document that changed here a moment ago.
type change struct {
	item digest.Item
	at   time.Time
}

// remember keeps the last changes for the next exchanges.
func (n *Node) remember(items []digest.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range items {
		n.recent = append(n.recent, change{i, time.Now()})
	}
	n.recent = slices.Clone(n.recent[max(0, len(n.recent)-maxRecent):])
}

// send tells a process about some documents, without waiting for its answer. If
// there is none, a neighbour is told instead.
func (n *Node) send(ctx context.Context, running *sync.WaitGroup, slots chan struct{}, m peers.Member, items []digest.Item) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	running.Go(func() {
		defer func() { <-slots }()
		out := n.summary()
		out.Members = nil
		for _, i := range items {
			out.Items = append(out.Items, itemTo(i))
		}
		told(role(m))
		for range sendTries {
			if _, ok := n.exchange(ctx, m, out); ok || m.Name == "" {
				return
			}
			others := n.listeners(1)
			if len(others) == 0 {
				return
			}
			m = others[0]
		}
	})
}

func role(m peers.Member) string {
	if m.Role == peers.Entry {
		return "entry"
	}
	return "agent"
}

// changes returns the documents that are known differently in two snapshots.
func changes(before, now *store.View) []digest.Item {
	var items []digest.Item
	if before == now {
		return nil
	}
	for name, e := range now.Documents {
		if before.Documents[name] != e {
			items = append(items, digest.ItemOf(now, name))
		}
	}
	for name, f := range now.Faults {
		if before.Faults[name] != f && before.Documents[name] == now.Documents[name] {
			items = append(items, digest.ItemOf(now, name))
		}
	}
	return items
}

// listeners chooses who is told of a number of changes.
func (n *Node) listeners(changes int) []peers.Member {
	if changes == 0 {
		return nil
	}
	if changes > maxRumours {
		refused("rumours")
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.renewNear()
	n.Rand.Shuffle(len(n.near), func(i, j int) { n.near[i], n.near[j] = n.near[j], n.near[i] })
	return append([]peers.Member(nil), n.near[:min(fanout, len(n.near))]...)
}

// agents returns the agents that this entry is to tell of a change: those of the
// document, and those that it left out.
func (n *Node) agents(i digest.Item, before, now *store.View) []netip.AddrPort {
	n.mu.Lock()
	chosen := duty.Contacts(i.Name, n.table.Live(peers.Entries), contacts)
	n.mu.Unlock()
	mine := false
	for _, m := range chosen {
		mine = mine || m.Name == n.Self.Name
	}
	if !mine {
		return nil
	}
	var links []netip.AddrPort
	for _, v := range []*store.View{before, now} {
		if e := v.Documents[i.Name]; e != nil {
			for _, s := range e.Service.Servers {
				links = append(links, s.Agent)
			}
		}
	}
	return unique(links)
}

// tellLeaving passes on the platform's word that processes are to leave.
func (n *Node) tellLeaving(ctx context.Context, leaving []peers.Member, turned bool) {
	for _, m := range leaving {
		out := n.summary()
		out.Members, out.Turned = []*wire.Member{memberTo(m)}, turned
		told("leaving")
		n.exchange(ctx, m, out)
	}
}

// leaveGrace is how long a new process is deaf to a list that has long said that it is to
// leave: the list lags, and may mean the process that had its name before.
const leaveGrace = 30 * time.Second

// toldToLeave takes the platform's word about this process, if it's about this life.
func (n *Node) toldToLeave(m peers.Member, turned bool) {
	if m.Address != n.Self.Address || !turned && time.Since(n.start) < leaveGrace {
		refused("leave")
		return
	}
	if n.Leave != nil {
		go n.Leave()
	}
}
