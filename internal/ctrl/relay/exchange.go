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

// Timings and limits of exchanges.
const (
	exchangePeriod      = time.Second            // between two exchanges that an entry starts
	exchangeRetry       = 250 * time.Millisecond // after a failed exchange: half of the peers may have failed
	callTimeout         = 500 * time.Millisecond // of one call; a round trip takes milliseconds, the retransmission of a lost segment 200 ms
	recentPeriod        = 10 * time.Second
	membersPerMessage   = 8               // 800 entries are covered by about 100 exchanges
	suspectPeriod       = 4 * time.Second // between two exchanges with suspected members
	concurrentExchanges = 4
	maxItems            = 4096 // items that are processed of one message
	neighbourCount      = 8    // enough to keep the graph of entries connected if half of them fail
	neighbourRenewal    = 10 * time.Second
	roundsPerSeed       = 60 // one exchange in this many is with a seed, so that two groups that know nothing of each other merge
	maxAgentEntries     = 32 // entries that an agent keeps in its table, of 800
)

// Exchange answers an exchange of another process: it records what that process sent and returns what that
// process lacks.
func (n *Node) Exchange(ctx context.Context, in *wire.Summary) (out *wire.Summary, err error) {
	defer func() { n.Meter.CountAnswered(proto.Size(in), proto.Size(out)) }()
	if !n.answerLimiter.Allow() {
		countRefused("rate")
		return nil, ErrBusy
	}
	n.Meter.TimeCPU(func() { out = n.answer(in) })
	if size := len(out.Items)*24 + len(out.Members)*48; size > 8192 && !n.Meter.Acquire(ctx, size) {
		countRefused("budget")
		return nil, ErrBusy
	}
	return out, nil
}

func (n *Node) answer(in *wire.Summary) *wire.Summary {
	from, ok := memberFromWire(in.GetFrom())
	n.mergeMembers(in)
	out := n.summary()
	theirs := map[string]digest.Item{}
	for _, i := range in.GetItems()[:min(len(in.GetItems()), maxItems)] {
		theirs[i.GetName()] = itemFromWire(i)
	}
	if ok {
		n.queueNewer(theirs, from.Address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	mine, view := n.currentDigest()
	for name, i := range theirs {
		if own := digest.ItemOf(view, name); own.Newer(i) {
			out.Items = append(out.Items, itemToWire(own))
		}
	}
	if own := digest.ItemOf(view, n.Service); n.Service != "" && in.GetRoot() != 0 && len(theirs) == 0 {
		out.Items = append(out.Items, itemToWire(own)) // a restarted entry receives it this way
	}
	for _, part := range in.GetCompared() {
		for _, i := range mine.Items[part%digest.BucketCount] {
			if _, sent := theirs[i.Name]; !sent {
				out.Items = append(out.Items, itemToWire(i))
			}
		}
	}
	if n.Service == "" && in.GetRoot() != 0 && in.GetRoot() != mine.Root && len(in.GetCompared()) == 0 {
		out.Buckets = mine.Buckets[:]
		out.Items = append(out.Items, n.recentItems()...)
	}
	if in.GetAll() {
		out.Members = nil
		for _, m := range n.table.Members(peers.Entries) {
			out.Members = append(out.Members, memberToWire(m))
		}
	}
	return out
}

// reconcileLoop makes an entry reconcile with another entry once a second. After failures it contacts
// several entries in parallel: with four of five entries failed, contacting them one after another would
// take longer than the time within which a change has to be in force.
func (n *Node) reconcileLoop(ctx context.Context) {
	failures := 0
	for rounds := 0; ; rounds++ {
		var running sync.WaitGroup
		var succeeded atomic.Bool
		for range min(1+failures, concurrentExchanges) {
			if m, ok := n.pickPartner(rounds); ok {
				running.Go(func() {
					if n.reconcile(ctx, m) {
						succeeded.Store(true)
					}
				})
			}
		}
		running.Wait()
		wait := exchangePeriod
		if failures++; succeeded.Load() {
			failures = 0
		} else if n.hasPartner() {
			wait = exchangeRetry
		}
		if !sleep(ctx, n.jitter(wait)) {
			return
		}
	}
}

// suspectLoop makes an entry contact one of the suspected members at a time. When a partition ends, some
// entry on each side detects it within 5 s, however few entries there are. With the retries of the table
// alone it took more than 7 s with three entries on each side.
func (n *Node) suspectLoop(ctx context.Context) {
	for sleep(ctx, n.jitter(suspectPeriod)) {
		n.mu.Lock()
		m, ok := n.table.RandomSuspect(n.Rand)
		n.mu.Unlock()
		if ok {
			n.reconcile(ctx, m)
		}
	}
}

// hasPartner reports whether there is a neighbour or a seed to reconcile with.
func (n *Node) hasPartner() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.neighbours) > 0 || len(n.Seeds) > 0
}

// pickPartner chooses the member to reconcile with: usually a neighbour, to which a connection is open.
// Until the first success every other round uses a seed, and later one in roundsPerSeed. Seeds alone don't
// suffice: they may have been removed while the platform's list names other members.
func (n *Node) pickPartner(rounds int) (peers.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.renewNeighbours()
	useSeed := len(n.neighbours) == 0 || !n.synced && rounds%2 == 0 || rounds%roundsPerSeed == roundsPerSeed-1
	if seeds := n.Seeds; len(seeds) > 0 && useSeed {
		// The name of a seed is unknown until it answers.
		return peers.Member{Address: seeds[n.Rand.IntN(len(seeds))]}, true
	}
	if len(n.neighbours) == 0 {
		return peers.Member{}, false
	}
	return n.neighbours[n.Rand.IntN(len(n.neighbours))], true
}

// renewNeighbours fills up the neighbours and periodically replaces one of them. The lock must be held.
func (n *Node) renewNeighbours() {
	now := time.Now()
	if len(n.neighbours) >= neighbourCount && now.After(n.renewAt) {
		n.renewAt = now.Add(neighbourRenewal)
		at := n.Rand.IntN(len(n.neighbours))
		n.neighbours = append(n.neighbours[:at], n.neighbours[at+1:]...)
	}
	if len(n.neighbours) >= neighbourCount {
		return
	}
	for _, m := range n.table.Pick(now, n.Rand, 2*neighbourCount, peers.Entries) {
		known := m.Address == n.Self.Address
		for _, o := range n.neighbours {
			known = known || o.Name == m.Name
		}
		if !known && len(n.neighbours) < neighbourCount {
			n.neighbours = append(n.neighbours, m)
		}
	}
}

// exchangeFailed records that a member did not answer and removes it from the neighbours.
func (n *Node) exchangeFailed(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.CallFailed(time.Now(), name)
	for at, m := range n.neighbours {
		if m.Name == name {
			n.neighbours = append(n.neighbours[:at], n.neighbours[at+1:]...)
			return
		}
	}
}

// recentItems returns the documents that changed here within recentPeriod. Sending them with the first call
// makes the second call of most exchanges unnecessary, which might be lost too. The lock must be held.
func (n *Node) recentItems() []*wire.Item {
	n.recent = slices.DeleteFunc(n.recent, func(c change) bool { return time.Since(c.at) > recentPeriod })
	var items []*wire.Item
	for _, c := range n.recent {
		items = append(items, itemToWire(c.item))
	}
	return items
}

// reconcile compares the documents of this process with those of another one. If the digests differ, a
// second call compares the items of the parts that differ.
func (n *Node) reconcile(ctx context.Context, m peers.Member) bool {
	n.mu.Lock()
	out := n.summaryLocked()
	mine, _ := n.currentDigest()
	out.Root, out.All, out.Items = mine.Root, !n.synced, n.recentItems()
	n.mu.Unlock()
	in, ok := n.exchange(ctx, m, out)
	if !ok {
		return false
	}
	if len(in.GetBuckets()) == 0 {
		n.mu.Lock()
		n.synced = n.synced || in.GetFrom().GetRole() == string(peers.Entry) // an agent holds only one document
		n.mu.Unlock()
		return true
	}
	countExchange("differ")
	n.mu.Lock()
	out = n.summaryLocked()
	mine, _ = n.currentDigest()
	for _, part := range mine.DifferingBuckets(in.GetBuckets()) {
		out.Compared = append(out.Compared, uint32(part))
		for _, i := range mine.Items[part] {
			out.Items = append(out.Items, itemToWire(i))
		}
	}
	n.mu.Unlock()
	if _, ok = n.exchange(ctx, m, out); ok {
		n.mu.Lock()
		n.synced = true // only now, since pulls for the peer's newer documents have to be queued before the platform is read
		n.mu.Unlock()
	}
	return ok
}

// exchange makes one Exchange call and processes the reply.
func (n *Node) exchange(ctx context.Context, m peers.Member, out *wire.Summary) (*wire.Summary, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in, err := n.Dial(m.Address).Exchange(ctx, out)
	if err != nil {
		countExchange("failed")
		n.exchangeFailed(m.Name)
		return nil, false
	}
	countExchange("done")
	n.Meter.TimeCPU(func() {
		n.mergeMembers(in)
		theirs := map[string]digest.Item{}
		for _, i := range in.GetItems()[:min(len(in.GetItems()), maxItems)] {
			theirs[i.GetName()] = itemFromWire(i)
		}
		n.queueNewer(theirs, m.Address)
	})
	return in, true
}

// queueNewer queues pulls of the documents that the process at link has in a newer revision.
func (n *Node) queueNewer(theirs map[string]digest.Item, link netip.AddrPort) {
	view := n.Store.View()
	for name, i := range theirs {
		if n.holds(name) && i.Newer(digest.ItemOf(view, name)) {
			n.queuePull(i, link)
		}
	}
}

// mergeMembers updates the table of members and the time of the last contact with the platform from a
// message. If the message says that this process is to leave, it starts that.
func (n *Node) mergeMembers(in *wire.Summary) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if m, ok := memberFromWire(in.GetFrom()); ok && m.Role == peers.Entry {
		n.table.Merge(now, m, true)
	}
	for _, w := range in.GetMembers()[:min(len(in.GetMembers()), peers.MaxMembers)] {
		m, ok := memberFromWire(w)
		if !ok {
			continue
		}
		if m.Name == n.Self.Name && m.Incarnation == 0 && m.State == peers.Leaving {
			n.receiveLeave(m, in.GetTurned())
			continue
		}
		if m.Role == peers.Entry {
			n.table.Merge(now, m, false)
		}
	}
	if c := in.GetContact(); c > 0 {
		if at := now.Add(-time.Duration(c-1) * time.Millisecond); at.After(n.lastContact) && !at.After(now) {
			n.lastContact = at
		}
	}
}

// summary returns a message with what every message of this process carries: itself, the time of the last
// contact with the platform and, from an entry, some members.
func (n *Node) summary() *wire.Summary {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.summaryLocked()
}

// summaryLocked is summary for callers that hold the lock.
func (n *Node) summaryLocked() *wire.Summary {
	out := &wire.Summary{From: memberToWire(n.table.Self())}
	if !n.lastContact.IsZero() {
		out.Contact = uint64(max(time.Since(n.lastContact), 0).Milliseconds()) + 1
	}
	if n.Self.Role != peers.Entry {
		return out
	}
	for _, m := range n.table.Gossip(n.Rand, membersPerMessage, peers.Entries) {
		out.Members = append(out.Members, memberToWire(m))
	}
	return out
}
