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

// Timings and limits of an entry's calls to the platform.
const (
	dutyPeriod       = time.Second     // between two checks whether this entry is a watcher
	watchBackoffCap  = 6 * time.Second // so that a change accepted when the platform returns is in force within 7 s
	peersHeadStart   = 2 * time.Second // how long a starting entry waits for its peers before it reads the platform
	maxStartFailures = 8               // failed reads of the list of instances, about 5 s in all
	loadBatch        = 20              // more missing documents than this indicate a start or an outage
)

// platformLoop runs the part of this process that calls the platform. An entry watches the platform while
// it is one of the watchers of its failure domain, and otherwise probes the platform occasionally.
func (n *Node) platformLoop(ctx context.Context) {
	if n.Self.Role != peers.Entry {
		n.agentPlatformLoop(ctx)
		return
	}
	n.mu.Lock()
	start := duty.StartDelay(peers.Entry, n.Rand)
	n.mu.Unlock()
	if !sleep(ctx, start) || !n.awaitMembers(ctx) {
		return
	}
	var running sync.WaitGroup
	defer running.Wait()
	stop := func() {}
	defer func() { stop() }()
	for nextProbe := time.Now().Add(duty.ProbeInterval); ctx.Err() == nil; sleep(ctx, n.jitter(dutyPeriod)) {
		n.mu.Lock()
		live := n.table.Live(peers.Entries)
		watch := duty.IsWatcher(n.table.Self(), live)
		age := time.Since(n.lastContact)
		probeDue := !watch && time.Now().After(nextProbe) && duty.ShouldProbe(age, len(live), n.Rand)
		changed := watch != n.watching
		n.watching = watch
		n.mu.Unlock()
		if time.Now().After(nextProbe) {
			nextProbe = time.Now().Add(n.jitter(duty.ProbeInterval))
		}
		switch {
		case changed && watch:
			stop = n.startWatch(ctx, &running)
		case changed:
			n.Log.Info().Msg("stopped watching the platform; other entries of the failure domain watch it")
			stop()
		case probeDue:
			probesTotal.Inc()
			if list, err := n.Platform.Documents(ctx); err == nil {
				n.recordContact(time.Now())
				_ = n.load(ctx, list)
			}
		}
	}
}

// startWatch starts the watch and the reading of the list of instances, and returns the function that stops
// both.
func (n *Node) startWatch(ctx context.Context, running *sync.WaitGroup) (stop context.CancelFunc) {
	n.Log.Info().Msg("started watching the platform")
	ctx, stop = context.WithCancel(ctx)
	running.Go(func() { n.watch(ctx) })
	running.Go(func() { n.listInstances(ctx) })
	return stop
}

// awaitMembers waits until some members are known, either from peers or from the platform's list of
// instances: a process that knows no members would consider itself a watcher. If neither source answers
// within a few seconds, the process proceeds and does watch.
func (n *Node) awaitMembers(ctx context.Context) bool {
	for failures := 0; failures < maxStartFailures; {
		n.mu.Lock()
		known := n.table.Len() > 0
		n.mu.Unlock()
		if known {
			break
		}
		list, err := n.Platform.Instances(ctx)
		if err == nil {
			n.mergeList(list)
			break
		}
		failures++
		if !sleep(ctx, n.backoff(failures)) {
			return false
		}
	}
	// A platform that serves an old revision could make a process that has just started revert a document.
	// The process therefore first waits for an exchange with a peer, which may hold a newer revision.
	for end := time.Now().Add(peersHeadStart); time.Now().Before(end); {
		n.mu.Lock()
		alone := n.table.Len() == 0 && len(n.Seeds) == 0
		synced := n.synced
		n.mu.Unlock()
		if synced || alone {
			break
		}
		if !sleep(ctx, peersHeadStart/20) {
			return false
		}
	}
	return ctx.Err() == nil
}

// watch repeats a watch call to the platform and loads the documents that changed. If some documents can't
// be loaded, it retries them between watch calls with a backoff, so that they don't delay other documents.
func (n *Node) watch(ctx context.Context) {
	var last fetch.List
	failures, loadFailures := 0, 0
	for ctx.Err() == nil {
		call, cancel := ctx, context.CancelFunc(func() {})
		if loadFailures > 0 {
			call, cancel = context.WithTimeout(ctx, dutyPeriod+n.backoff(loadFailures))
		}
		list, err := n.Platform.Watch(call, last.Index)
		interrupted := call.Err() != nil
		cancel()
		switch {
		case err == nil:
			n.recordContact(time.Now())
			last, failures = list, 0
		case !interrupted:
			failures++
			sleep(ctx, n.backoffUpTo(failures, watchBackoffCap))
			continue
		}
		loadFailures++
		if n.load(ctx, last) == nil {
			loadFailures = 0
		}
	}
}

func (n *Node) backoff(failures int) time.Duration { return n.backoffUpTo(failures, fetch.BackoffCap) }

func (n *Node) backoffUpTo(failures int, limit time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fetch.Backoff(failures, fetch.BackoffBase, limit, n.Rand)
}

// load reads the documents that are newer in the list than in this process. It tries all of them and
// returns the first error. If many are missing, it reads them in batches, in random order and with pauses,
// so that several processes that start together read different documents and pass them on to each other.
func (n *Node) load(ctx context.Context, list fetch.List) (err error) {
	n.recordStale(list)
	tried := map[string]bool{}
	for ctx.Err() == nil {
		missing := n.missingItems(list, tried)
		if len(missing) == 0 {
			wait := n.holdTime(list.Documents...)
			if wait == 0 {
				return err
			}
			sleep(ctx, wait)
			continue
		}
		if len(missing) > loadBatch {
			sleep(ctx, n.jitter(time.Second)) // meanwhile peers may send some of them
		}
		skipped := 0
		for _, item := range missing[:min(len(missing), loadBatch)] {
			if item.Revision <= n.Store.View().Revision(item.Name) {
				continue
			}
			if n.pulling(item) {
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

// missingItems returns, in random order, the documents that are newer in the list than in this process,
// without those on hold after a restore of the platform and those in except.
func (n *Node) missingItems(list fetch.List, except map[string]bool) []fetch.Item {
	view := n.Store.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	var missing []fetch.Item
	for _, item := range list.Documents {
		n.platformEra.observe(time.Now(), item.Revision)
		known := view.Revision(item.Name)
		if item.Revision > known && !except[item.Name] && n.platformEra.holdTime(time.Now(), item, known) == 0 {
			missing = append(missing, item)
		}
	}
	n.Rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	return missing
}

// pulling reports whether a revision of the document that is at least as new is being pulled from a peer.
// If no peer sends it, the want is dropped and the document is read from the platform.
func (n *Node) pulling(item fetch.Item) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.pull.wants[item.Name]
	return w != nil && w.item.Newest >= item.Revision
}

// recordStale records for how many documents the platform serves an older revision than this process knows.
func (n *Node) recordStale(list fetch.List) {
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
		n.Log.Warn().Int("documents", stale).Msg("platform serves older revisions than this process knows")
	}
	n.stale = stale
}

// offer passes a document read from the platform to the store, which counts faulty and outdated revisions.
func (n *Node) offer(d fetch.Document) {
	if d.Name == "" {
		return
	}
	accepted, err := n.Store.Offer(d.Name, d.Revision, d.Text, "platform")
	if err != nil {
		n.Log.Warn().Err(err).Msg("document rejected")
	}
	if accepted {
		n.Log.Info().Str("document", d.Name).Stringer("revision", d.Revision).Str("from", "platform").Msg("document accepted")
	}
}
