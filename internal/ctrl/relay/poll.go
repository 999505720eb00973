package relay

import (
	"context"
	"time"

	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/duty"
	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/peers"
)

// How often an agent asks some entry whether its document is still the newest.
// It's what makes up for lost news: with 5 agents of a service that tell each other,
// a change that no entry told of is found within a second on average, 4 s at worst.
const (
	pollEvery  = 3 * time.Second
	pollAtOnce = 500 * time.Millisecond // while it has no document, doubled with each failure
	pollGiveUp = time.Minute            // without an answer of any entry: the platform is asked, seldom
	pollChance = 20                     // one in so many polls then, so 6,800 agents make some 110 calls a second
)

// poll is an agent's loop that asks entries.
func (n *Node) poll(ctx context.Context) {
	failures := 0
	for {
		m, ok := n.anyEntry()
		if ok && n.pollOne(ctx, m) {
			failures = 0
		} else {
			// A whole failure domain that restarts asks the few seeds that it has.
			failures++
		}
		every := pollEvery
		if n.Store.View().Revision(n.Service) == 0 {
			every = min(pollEvery, pollAtOnce<<min(failures, 4))
		}
		if !sleep(ctx, n.jitter(every)) {
			return
		}
	}
}

// anyEntry chooses an entry that is known, or a seed.
func (n *Node) anyEntry() (peers.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.table.Pick(time.Now(), n.Rand, 1, peers.Entries)
	if seeds := len(n.Seeds); seeds > 0 && (len(known) == 0 || n.Rand.IntN(entriesOfAgent) == 0) {
		return peers.Member{Address: n.Seeds[n.Rand.IntN(seeds)]}, true
	}
	if len(known) == 0 {
		return peers.Member{}, false
	}
	return known[0], true
}

func (n *Node) pollOne(ctx context.Context, m peers.Member) bool {
	out := n.summary()
	out.Items = append(out.Items, itemTo(digest.ItemOf(n.Store.View(), n.Service)))
	_, ok := n.exchange(ctx, m, out)
	if ok {
		n.mu.Lock()
		n.polled, n.met = time.Now(), true
		n.mu.Unlock()
	}
	return ok
}

// attendAgent is the part of an agent that may call the platform: when no peer
// gave it its document, and seldom when it has lost all entries.
func (n *Node) attendAgent(ctx context.Context) {
	n.mu.Lock()
	start := duty.StartDelay(peers.Agent, n.Rand)
	n.mu.Unlock()
	failures := 0
	for d := start; sleep(ctx, d); {
		d = n.jitter(pollEvery)
		n.mu.Lock()
		lost := time.Since(n.polled) > pollGiveUp && n.Rand.IntN(pollChance) == 0
		n.mu.Unlock()
		if n.Store.View().Documents[n.Service] != nil && !lost {
			continue
		}
		document, err := n.Platform.Document(ctx, n.Service)
		if err != nil {
			failures++
			d = pollEvery + n.backoff(failures)
			continue
		}
		failures = 0
		n.heardPlatform(time.Now())
		if wait := n.heldFor(fetch.Item{Name: n.Service, Revision: document.Revision}); wait > 0 {
			d = wait
			continue
		}
		n.offer(document)
	}
}
