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

// Limits of gossip.
const (
	fanout              = 4  // processes that each entry notifies of a change: this reaches all but 2 %, which digest comparisons find
	maxGossipItems      = 32 // in one message; more changes at once indicate a start, which gossip doesn't spread
	maxRecent           = 16 // recent changes that exchanges repeat
	sendTries           = 3
	contactsPerService  = 3  // entries that notify the agents of a service
	agentSendsPerSecond = 50 // to agents; at the planned size 3 entries notify 5 agents of a change
	concurrentSends     = 16
)

// notifyLoop makes an entry notify other entries and agents of the documents that changed in its store.
func (n *Node) notifyLoop(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, concurrentSends)
	limiter := rate.NewLimiter(agentSendsPerSecond, agentSendsPerSecond)
	before := n.Store.View()
	for ctx.Err() == nil {
		changed := n.Store.Changed()
		after := n.Store.View()
		items := changedItems(before, after)
		n.recordRecent(items)
		for _, m := range n.pickTargets(len(items)) {
			n.send(ctx, &running, slots, m, items)
		}
		for _, i := range items {
			for _, agent := range n.agentsToNotify(i, before, after) {
				if limiter.Wait(ctx) != nil {
					return
				}
				n.send(ctx, &running, slots, peers.Member{Address: agent}, []digest.Item{i})
			}
		}
		before = after
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// change is a recently changed document.
type change struct {
	item digest.Item
	at   time.Time
}

// recordRecent keeps the latest changes for the next exchanges.
func (n *Node) recordRecent(items []digest.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range items {
		n.recent = append(n.recent, change{i, time.Now()})
	}
	n.recent = slices.Clone(n.recent[max(0, len(n.recent)-maxRecent):])
}

// send notifies a process of some documents without waiting for the reply. If an entry does not answer, up
// to two other neighbours are notified instead.
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
			out.Items = append(out.Items, itemToWire(i))
		}
		countSent(role(m))
		for range sendTries {
			if _, ok := n.exchange(ctx, m, out); ok || m.Name == "" {
				return
			}
			others := n.pickTargets(1)
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

// changedItems returns the documents that differ between two snapshots.
func changedItems(before, after *store.View) []digest.Item {
	var items []digest.Item
	if before == after {
		return nil
	}
	for name, e := range after.Documents {
		if before.Documents[name] != e {
			items = append(items, digest.ItemOf(after, name))
		}
	}
	for name, f := range after.Faults {
		if before.Faults[name] != f && before.Documents[name] == after.Documents[name] {
			items = append(items, digest.ItemOf(after, name))
		}
	}
	return items
}

// pickTargets chooses the neighbours that are notified of a number of changes.
func (n *Node) pickTargets(changes int) []peers.Member {
	if changes == 0 {
		return nil
	}
	if changes > maxGossipItems {
		countRefused("rumours")
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.renewNeighbours()
	n.Rand.Shuffle(len(n.neighbours), func(i, j int) { n.neighbours[i], n.neighbours[j] = n.neighbours[j], n.neighbours[i] })
	return append([]peers.Member(nil), n.neighbours[:min(fanout, len(n.neighbours))]...)
}

// agentsToNotify returns the agents that this entry has to notify of a change: those of the new document
// and those that only the previous document has. It returns nil if other entries are responsible.
func (n *Node) agentsToNotify(i digest.Item, before, after *store.View) []netip.AddrPort {
	n.mu.Lock()
	chosen := duty.Contacts(i.Name, n.table.Live(peers.Entries), contactsPerService)
	n.mu.Unlock()
	isContact := false
	for _, m := range chosen {
		isContact = isContact || m.Name == n.Self.Name
	}
	if !isContact {
		return nil
	}
	var links []netip.AddrPort
	for _, v := range []*store.View{before, after} {
		if e := v.Documents[i.Name]; e != nil {
			for _, s := range e.Service.Servers {
				links = append(links, s.Agent)
			}
		}
	}
	return unique(links)
}

// notifyLeaving notifies processes that the platform lists them as leaving.
func (n *Node) notifyLeaving(ctx context.Context, leaving []peers.Member, newly bool) {
	for _, m := range leaving {
		out := n.summary()
		out.Members, out.Turned = []*wire.Member{memberToWire(m)}, newly
		countSent("leaving")
		n.exchange(ctx, m, out)
	}
}

// leaveGrace is how long a new process ignores that it has been listed as leaving for some time: the list
// lags and may mean the previous process of the same name.
const leaveGrace = 30 * time.Second

// receiveLeave makes this process leave as the platform's list says, unless the list means an earlier
// process.
func (n *Node) receiveLeave(m peers.Member, newly bool) {
	if m.Address != n.Self.Address || !newly && time.Since(n.started) < leaveGrace {
		countRefused("leave")
		return
	}
	if n.Leave != nil {
		go n.Leave()
	}
}
