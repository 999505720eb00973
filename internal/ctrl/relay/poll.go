package relay

import (
	"context"
	"time"

	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/duty"
	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/peers"
)

// How often an agent asks an entry whether its document is still the newest. Polling compensates for lost
// updates: with 5 agents of a service that exchange heartbeats, a change of which no entry notified them is
// found within a second on average and within 4 s at worst.
const (
	pollPeriod        = 3 * time.Second
	initialPollPeriod = 500 * time.Millisecond // while the agent has no document; doubles with each failure
	platformFallback  = time.Minute            // without an answer from any entry, after which the agent occasionally reads the platform
	platformPollOdds  = 20                     // one in this many polls then reads the platform, so that 6,800 agents make about 110 calls a second
)

// pollLoop makes an agent poll entries.
func (n *Node) pollLoop(ctx context.Context) {
	failures := 0
	for {
		m, ok := n.pickEntry()
		if ok && n.pollEntry(ctx, m) {
			failures = 0
		} else {
			// When a whole failure domain restarts, all its agents ask the same few seeds, hence the
			// backoff.
			failures++
		}
		interval := pollPeriod
		if n.Store.View().Revision(n.Service) == 0 {
			interval = min(pollPeriod, initialPollPeriod<<min(failures, 4))
		}
		if !sleep(ctx, n.jitter(interval)) {
			return
		}
	}
}

// pickEntry chooses a known entry or a seed at random.
func (n *Node) pickEntry() (peers.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.table.Pick(time.Now(), n.Rand, 1, peers.Entries)
	if seeds := len(n.Seeds); seeds > 0 && (len(known) == 0 || n.Rand.IntN(maxAgentEntries) == 0) {
		return peers.Member{Address: n.Seeds[n.Rand.IntN(seeds)]}, true
	}
	if len(known) == 0 {
		return peers.Member{}, false
	}
	return known[0], true
}

// pollEntry compares the agent's document with an entry's.
func (n *Node) pollEntry(ctx context.Context, m peers.Member) bool {
	out := n.summary()
	out.Items = append(out.Items, itemToWire(digest.ItemOf(n.Store.View(), n.Service)))
	_, ok := n.exchange(ctx, m, out)
	if ok {
		n.mu.Lock()
		n.lastPolled, n.synced = time.Now(), true
		n.mu.Unlock()
	}
	return ok
}

// agentPlatformLoop reads the agent's document from the platform: while no peer has sent the document, and
// occasionally when no entry answers.
func (n *Node) agentPlatformLoop(ctx context.Context) {
	n.mu.Lock()
	start := duty.StartDelay(peers.Agent, n.Rand)
	n.mu.Unlock()
	failures := 0
	for delay := start; sleep(ctx, delay); {
		delay = n.jitter(pollPeriod)
		n.mu.Lock()
		noEntry := time.Since(n.lastPolled) > platformFallback && n.Rand.IntN(platformPollOdds) == 0
		n.mu.Unlock()
		if n.Store.View().Documents[n.Service] != nil && !noEntry {
			continue
		}
		document, err := n.Platform.Document(ctx, n.Service)
		if err != nil {
			failures++
			delay = pollPeriod + n.backoff(failures)
			continue
		}
		failures = 0
		n.recordContact(time.Now())
		if wait := n.holdTime(fetch.Item{Name: n.Service, Revision: document.Revision}); wait > 0 {
			delay = wait
			continue
		}
		n.offer(document)
	}
}
