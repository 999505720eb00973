package relay

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/wire"
)

// Bounds of an exchange.
const (
	period         = time.Second            // between two exchanges that an entry begins
	again          = 250 * time.Millisecond // after an exchange that failed: half the peers may be gone
	timeout        = 500 * time.Millisecond // of one call; a round trip takes milliseconds, one lost segment 200 ms
	recentFor      = 10 * time.Second
	membersSent    = 8               // with each message; 800 entries are told in some 100 exchanges
	seekEvery      = 4 * time.Second // a try of somebody who did not answer
	meetAtOnce     = 4
	maxItems       = 4096 // taken from one message
	nearCount      = 8    // neighbours: enough that losing half leaves the graph whole
	nearRenew      = 10 * time.Second
	seedEvery      = 60 // exchanges to one with a seed, so that two halves that never met do meet
	entriesOfAgent = 32 // that it remembers, of 800
)

// Exchange answers another process: it takes in what that one knows and tells
// what that one lacks.
func (n *Node) Exchange(ctx context.Context, in *wire.Summary) (out *wire.Summary, err error) {
	defer func() { n.Meter.CountAnswered(proto.Size(in), proto.Size(out)) }()
	if !n.answers.Allow() {
		refused("rate")
		return nil, ErrBusy
	}
	n.Meter.TimeCPU(func() { out = n.answer(in) })
	if size := len(out.Items)*24 + len(out.Members)*48; size > 8192 && !n.Meter.Acquire(ctx, size) {
		refused("budget")
		return nil, ErrBusy
	}
	return out, nil
}

func (n *Node) answer(in *wire.Summary) *wire.Summary {
	from, ok := memberOf(in.GetFrom())
	n.learn(in)
	out := n.summary()
	theirs := map[string]digest.Item{}
	for _, i := range in.GetItems()[:min(len(in.GetItems()), maxItems)] {
		theirs[i.GetName()] = itemOf(i)
	}
	if ok {
		n.lack(theirs, from.Address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	mine, view := n.current()
	for name, i := range theirs {
		if own := digest.ItemOf(view, name); own.Newer(i) {
			out.Items = append(out.Items, itemTo(own))
		}
	}
	if own := digest.ItemOf(view, n.Service); n.Service != "" && in.GetRoot() != 0 && len(theirs) == 0 {
		out.Items = append(out.Items, itemTo(own)) // an entry that restarted learns it from here
	}
	for _, part := range in.GetCompared() {
		for _, i := range mine.Items[part%digest.BucketCount] {
			if _, said := theirs[i.Name]; !said {
				out.Items = append(out.Items, itemTo(i))
			}
		}
	}
	if n.Service == "" && in.GetRoot() != 0 && in.GetRoot() != mine.Root && len(in.GetCompared()) == 0 {
		out.Buckets = mine.Buckets[:]
		out.Items = append(out.Items, n.lately()...)
	}
	if in.GetAll() {
		out.Members = nil
		for _, m := range n.table.Members(peers.Entries) {
			out.Members = append(out.Members, memberTo(m))
		}
	}
	return out
}

// compare is an entry's loop: one exchange a second with one other entry. After
// failures it tries several at a time: with four of five entries gone, one after
// the other would take longer than a change may.
func (n *Node) compare(ctx context.Context) {
	failures := 0
	for rounds := 0; ; rounds++ {
		var running sync.WaitGroup
		var met atomic.Bool
		for range min(1+failures, meetAtOnce) {
			if m, ok := n.partner(rounds); ok {
				running.Go(func() {
					if n.meet(ctx, m) {
						met.Store(true)
					}
				})
			}
		}
		running.Wait()
		wait := period
		if failures++; met.Load() {
			failures = 0
		} else if n.known() {
			wait = again
		}
		if !sleep(ctx, n.jitter(wait)) {
			return
		}
	}
}

// seek is an entry's loop that tries one of those who did not answer. When a partition
// ends, somebody on each side notices it within 5 s, however few they are; by the
// retries alone it was over 7 s with three on each side.
func (n *Node) seek(ctx context.Context) {
	for sleep(ctx, n.jitter(seekEvery)) {
		n.mu.Lock()
		m, ok := n.table.RandomSuspect(n.Rand)
		n.mu.Unlock()
		if ok {
			n.meet(ctx, m)
		}
	}
}

// known says whether there is anybody to compare with.
func (n *Node) known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.near) > 0 || len(n.Seeds) > 0
}

// partner chooses whom to compare with: mostly a neighbour, to whom there is a
// connection. At the start every other one is a seed, and now and then later; the
// seeds may be long gone, and others be known by the platform's list.
func (n *Node) partner(rounds int) (peers.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.renewNear()
	seed := len(n.near) == 0 || !n.met && rounds%2 == 0 || rounds%seedEvery == seedEvery-1
	if seeds := n.Seeds; len(seeds) > 0 && seed {
		// A seed has no name before it has answered.
		return peers.Member{Address: seeds[n.Rand.IntN(len(seeds))]}, true
	}
	if len(n.near) == 0 {
		return peers.Member{}, false
	}
	return n.near[n.Rand.IntN(len(n.near))], true
}

// renewNear fills up the neighbours and replaces one now and then. The lock is held.
func (n *Node) renewNear() {
	now := time.Now()
	if len(n.near) >= nearCount && now.After(n.renew) {
		n.renew = now.Add(nearRenew)
		at := n.Rand.IntN(len(n.near))
		n.near = append(n.near[:at], n.near[at+1:]...)
	}
	if len(n.near) >= nearCount {
		return
	}
	for _, m := range n.table.Pick(now, n.Rand, 2*nearCount, peers.Entries) {
		known := m.Address == n.Self.Address
		for _, o := range n.near {
			known = known || o.Name == m.Name
		}
		if !known && len(n.near) < nearCount {
			n.near = append(n.near, m)
		}
	}
}

// failed notes that a member did not answer. Another one takes its place among the neighbours.
func (n *Node) failed(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.CallFailed(time.Now(), name)
	for at, m := range n.near {
		if m.Name == name {
			n.near = append(n.near[:at], n.near[at+1:]...)
			return
		}
	}
}

// lately returns what changed here in the last seconds. It spares most exchanges that
// find a difference their second call, which may be lost too. The lock is held.
func (n *Node) lately() []*wire.Item {
	n.recent = slices.DeleteFunc(n.recent, func(c change) bool { return time.Since(c.at) > recentFor })
	var items []*wire.Item
	for _, c := range n.recent {
		items = append(items, itemTo(c.item))
	}
	return items
}

// meet carries out one exchange, with the details in a second call if something differs.
func (n *Node) meet(ctx context.Context, m peers.Member) bool {
	n.mu.Lock()
	out := n.summaryLocked()
	mine, _ := n.current()
	out.Root, out.All, out.Items = mine.Root, !n.met, n.lately()
	n.mu.Unlock()
	in, ok := n.exchange(ctx, m, out)
	if !ok {
		return false
	}
	if len(in.GetBuckets()) == 0 {
		n.mu.Lock()
		n.met = n.met || in.GetFrom().GetRole() == string(peers.Entry) // an agent knows one document only
		n.mu.Unlock()
		return true
	}
	exchanged("differ")
	n.mu.Lock()
	out = n.summaryLocked()
	mine, _ = n.current()
	for _, part := range mine.DifferingBuckets(in.GetBuckets()) {
		out.Compared = append(out.Compared, uint32(part))
		for _, i := range mine.Items[part] {
			out.Items = append(out.Items, itemTo(i))
		}
	}
	n.mu.Unlock()
	if _, ok = n.exchange(ctx, m, out); ok {
		n.mu.Lock()
		n.met = true // only now: what this one knows is wanted before the platform is believed
		n.mu.Unlock()
	}
	return ok
}

// exchange is one call and what follows from it.
func (n *Node) exchange(ctx context.Context, m peers.Member, out *wire.Summary) (*wire.Summary, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	in, err := n.Dial(m.Address).Exchange(ctx, out)
	if err != nil {
		exchanged("failed")
		n.failed(m.Name)
		return nil, false
	}
	exchanged("done")
	n.Meter.TimeCPU(func() {
		n.learn(in)
		theirs := map[string]digest.Item{}
		for _, i := range in.GetItems()[:min(len(in.GetItems()), maxItems)] {
			theirs[i.GetName()] = itemOf(i)
		}
		n.lack(theirs, m.Address)
	})
	return in, true
}

// lack asks for what somebody at link has and this process doesn't.
func (n *Node) lack(theirs map[string]digest.Item, link netip.AddrPort) {
	view := n.Store.View()
	for name, i := range theirs {
		if n.holds(name) && i.Newer(digest.ItemOf(view, name)) {
			n.want(i, link)
		}
	}
}

// learn takes in what a message says about members and the platform.
func (n *Node) learn(in *wire.Summary) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if m, ok := memberOf(in.GetFrom()); ok && m.Role == peers.Entry {
		n.table.Merge(now, m, true)
	}
	for _, w := range in.GetMembers()[:min(len(in.GetMembers()), peers.MaxMembers)] {
		m, ok := memberOf(w)
		if !ok {
			continue
		}
		if m.Name == n.Self.Name && m.Incarnation == 0 && m.State == peers.Leaving {
			n.toldToLeave(m, in.GetTurned())
			continue
		}
		if m.Role == peers.Entry {
			n.table.Merge(now, m, false)
		}
	}
	if c := in.GetContact(); c > 0 {
		if at := now.Add(-time.Duration(c-1) * time.Millisecond); at.After(n.contact) && !at.After(now) {
			n.contact = at
		}
	}
}

// summary is what this process says in every message.
func (n *Node) summary() *wire.Summary {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.summaryLocked()
}

func (n *Node) summaryLocked() *wire.Summary {
	out := &wire.Summary{From: memberTo(n.table.Self())}
	if !n.contact.IsZero() {
		out.Contact = uint64(max(time.Since(n.contact), 0).Milliseconds()) + 1
	}
	if n.Self.Role != peers.Entry {
		return out
	}
	for _, m := range n.table.Gossip(n.Rand, membersSent, peers.Entries) {
		out.Members = append(out.Members, memberTo(m))
	}
	return out
}
