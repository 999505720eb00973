package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/ctrl/duty"
	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/peers"
)

// Bounds of what an entry does at the platform.
const (
	dutyEvery     = time.Second
	watchMost     = 6 * time.Second // between tries to watch: a change accepted at the return of the platform is in force within seven
	peersFirst    = 2 * time.Second // a start asks peers so long before it believes the platform
	startFailures = 8               // to read the list of instances, some 5 s in all
	manyMissing   = 20              // more than a day's change now and then: a start or an outage
)

// attend does what this process does at the platform.
func (n *Node) attend(ctx context.Context) {
	if n.Self.Role != peers.Entry {
		n.attendAgent(ctx)
		return
	}
	n.mu.Lock()
	start := duty.StartDelay(peers.Entry, n.Rand)
	n.mu.Unlock()
	if !sleep(ctx, start) || !n.meetMembers(ctx) {
		return
	}
	var running sync.WaitGroup
	defer running.Wait()
	stop := func() {}
	defer func() { stop() }()
	for probe := time.Now().Add(duty.ProbeInterval); ctx.Err() == nil; sleep(ctx, n.jitter(dutyEvery)) {
		n.mu.Lock()
		live := n.table.Live(peers.Entries)
		watch := duty.IsWatcher(n.table.Self(), live)
		age := time.Since(n.contact)
		ask := !watch && time.Now().After(probe) && duty.ShouldProbe(age, len(live), n.Rand)
		changed := watch != n.watching
		n.watching = watch
		n.mu.Unlock()
		if time.Now().After(probe) {
			probe = time.Now().Add(n.jitter(duty.ProbeInterval))
		}
		switch {
		case changed && watch:
			stop = n.begin(ctx, &running)
		case changed:
			n.Log.Info().Msg("leaves watching the platform to others")
			stop()
		case ask:
			probesTotal.Inc()
			if list, err := n.Platform.Documents(ctx); err == nil {
				n.heardPlatform(time.Now())
				_ = n.load(ctx, list)
			}
		}
	}
}

// begin starts watching, and returns what ends it.
func (n *Node) begin(ctx context.Context, running *sync.WaitGroup) (stop context.CancelFunc) {
	n.Log.Info().Msg("watches the platform")
	ctx, stop = context.WithCancel(ctx)
	running.Go(func() { n.watch(ctx) })
	running.Go(func() { n.listInstances(ctx) })
	return stop
}

// meetMembers waits until members are known, from peers or else from the
// platform: a process that knows nobody would think that it's to watch. When
// neither tells, it does watch after some seconds.
func (n *Node) meetMembers(ctx context.Context) bool {
	for failures := 0; failures < startFailures; {
		n.mu.Lock()
		known := n.table.Len() > 0
		n.mu.Unlock()
		if known {
			break
		}
		list, err := n.Platform.Instances(ctx)
		if err == nil {
			n.takeList(list)
			break
		}
		failures++
		if !sleep(ctx, n.backoff(failures)) {
			return false
		}
	}
	// A platform that serves an old revision to a process that has just started would
	// take a document back there. So peers, which know better, get their turn first.
	for end := time.Now().Add(peersFirst); time.Now().Before(end); {
		n.mu.Lock()
		alone := n.table.Len() == 0 && len(n.Seeds) == 0
		met := n.met
		n.mu.Unlock()
		if met || alone {
			break
		}
		if !sleep(ctx, peersFirst/20) {
			return false
		}
	}
	return ctx.Err() == nil
}

// watch holds a watch at the platform and loads what changes. A document that can't
// be read is tried again while the watch goes on, so that it holds up no other.
func (n *Node) watch(ctx context.Context) {
	var last fetch.List
	failures, broken := 0, 0
	for ctx.Err() == nil {
		call, cancel := ctx, context.CancelFunc(func() {})
		if broken > 0 {
			call, cancel = context.WithTimeout(ctx, dutyEvery+n.backoff(broken))
		}
		list, err := n.Platform.Watch(call, last.Index)
		again := call.Err() != nil
		cancel()
		switch {
		case err == nil:
			n.heardPlatform(time.Now())
			last, failures = list, 0
		case !again:
			failures++
			sleep(ctx, n.backoffUpTo(failures, watchMost))
			continue
		}
		broken++
		if n.load(ctx, last) == nil {
			broken = 0
		}
	}
}

func (n *Node) backoff(failures int) time.Duration { return n.backoffUpTo(failures, fetch.BackoffCap) }

func (n *Node) backoffUpTo(failures int, most time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fetch.Backoff(failures, fetch.BackoffBase, most, n.Rand)
}

// load reads what the list has and this process lacks; the first error is
// returned when the others were tried too. With much missing it goes slowly in a
// random order, so that several that start together share the work by telling
// each other.
func (n *Node) load(ctx context.Context, list fetch.List) (err error) {
	n.noteStale(list)
	tried := map[string]bool{}
	for ctx.Err() == nil {
		missing := n.missing(list, tried)
		if len(missing) == 0 {
			wait := n.heldFor(list.Documents...)
			if wait == 0 {
				return err
			}
			sleep(ctx, wait)
			continue
		}
		if len(missing) > manyMissing {
			sleep(ctx, n.jitter(time.Second)) // peers that have them give them meanwhile
		}
		skipped := 0
		for _, item := range missing[:min(len(missing), manyMissing)] {
			if item.Revision <= n.Store.View().Revision(item.Name) {
				continue
			}
			if n.wanted(item) {
				skipped++
				continue
			}
			tried[item.Name] = true
			document, failed := n.Platform.Document(ctx, item.Name)
			if failed == nil {
				n.offer(document)
			} else if err == nil && !errors.Is(failed, fetch.ErrNotFound) {
				err = failed
			}
		}
		if skipped > 0 {
			sleep(ctx, pullRetry)
		}
	}
	return err
}

// missing returns what the list has newer than this process and isn't held, in random order.
func (n *Node) missing(list fetch.List, but map[string]bool) []fetch.Item {
	view := n.Store.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	var missing []fetch.Item
	for _, item := range list.Documents {
		n.returns.see(time.Now(), item.Revision)
		known := view.Revision(item.Name)
		if item.Revision > known && !but[item.Name] && n.returns.held(time.Now(), item, known) == 0 {
			missing = append(missing, item)
		}
	}
	n.Rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	return missing
}

// wanted says whether the document is being pulled from a peer that has it at least
// as new. If no peer gives it, the want ends and the platform is asked.
func (n *Node) wanted(item fetch.Item) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.pull.wants[item.Name]
	return w != nil && w.item.Newest >= item.Revision
}

// noteStale remembers how many documents the platform serves older than they are known here.
func (n *Node) noteStale(list fetch.List) {
	view := n.Store.View()
	stale := 0
	for _, item := range list.Documents {
		if item.Revision < view.Revision(item.Name) {
			stale++
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if stale != n.stale {
		n.Log.Warn().Int("documents", stale).Msg("the platform serves older revisions than are known")
	}
	n.stale = stale
}

// offer puts what the platform gave into the store, which counts what is faulty or old.
func (n *Node) offer(d fetch.Document) {
	if d.Name == "" {
		return
	}
	accepted, err := n.Store.Offer(d.Name, d.Revision, d.Text, "platform")
	if err != nil {
		n.Log.Warn().Err(err).Msg("document is faulty")
	}
	if accepted {
		n.Log.Info().Str("document", d.Name).Stringer("revision", d.Revision).Str("from", "platform").Msg("document taken")
	}
}
