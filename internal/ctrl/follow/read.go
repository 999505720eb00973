package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/order"
)

// ErrHistory is returned by Source.Watch when the platform has discarded changes after the given revision, or its store
// has been restored from a backup, so that all items must be listed again.
var ErrHistory = errors.New("the platform no longer has the changes after this revision")

const (
	// listTimeout bounds a list call. The platform responds in 4 ms, and some 60 times slower when it is slow.
	listTimeout = time.Second
	// watchGrace is how long after the end of its wait a watch may return before its connection counts as
	// unresponsive. A slow platform needs some 250 ms.
	watchGrace = 400 * time.Millisecond
	// minBatchPause is the pause after a response with changes, so that the next response contains several of them. It
	// doubles up to maxBatchPause while changes keep coming: when a whole fleet starts, there are hundreds within seconds.
	minBatchPause = 60 * time.Millisecond
	maxBatchPause = 480 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// readLoop reads the platform while this process is a reader.
func (n *Node) readLoop(ctx context.Context) {
	failures := 0
	list := false
	pause := minBatchPause
	for {
		if !n.Reading() {
			failures = 0
			select {
			case <-ctx.Done():
				return
			case <-n.startReading:
			}
			continue
		}
		began := time.Now()
		first := n.Log.Revision() == 0
		c, err := n.readOnce(ctx, list || first)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		list = errors.Is(err, ErrHistory)
		switch {
		case list:
			n.Events.State("history-gone").Stringer("revision", n.Log.Revision()).Send()
		case err != nil:
			failures++
			n.handleFailure(now, err, failures)
			sleep(ctx, n.backoff(failures))
		default:
			failures = 0
			if first {
				n.stopUnlessSeed()
			}
			n.handleResponse(now, c)
			if now.Sub(began) > minBatchPause {
				pause = minBatchPause // the call had to wait, so changes no longer come in quick succession
			}
			if len(c.Items) > 0 {
				sleep(ctx, pause)
				pause = min(2*pause, maxBatchPause)
			}
		}
		n.maybeStopReading(now, failures)
	}
}

// readOnce makes one list or watch call.
func (n *Node) readOnce(ctx context.Context, list bool) (c belief.Change, err error) {
	limit := n.watchWait() + watchGrace
	if list {
		limit = listTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	call := "watch"
	if list {
		call = "list"
		c, err = n.Source.List(ctx)
	} else {
		c, err = n.Source.Watch(ctx, n.Log.Revision(), n.watchWait())
	}
	result := "ok"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(`mangowinch_platform_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
	return c, err
}

// handleResponse applies a response of the platform, and sends it to peers.
func (n *Node) handleResponse(now time.Time, c belief.Change) {
	n.markResponsive(c)
	before := n.Log.View()
	switch {
	case n.Log.Apply(now, c) == belief.Updated:
		n.markConfirmed(now)
		n.logEraChange(before.Revision)
		n.logChange(now, "platform", c)
		n.logEvacuations(before)
		n.announce(now, &c, true)
		n.Changed()
		return
	case outdated(n.Log.Revision(), c):
		n.logStaleResponse(c)
	default:
		n.markConfirmed(now)
	}
	n.announce(now, nil, true)
}

// outdated reports whether a response is older than the belief, so that it doesn't confirm the belief: it was in
// transit while the platform's store was restored from a backup, or it is a listing of a lower revision.
func outdated(known order.Revision, c belief.Change) bool {
	return c.To.Era() < known.Era() || c.Full && c.To < known
}

// markConfirmed records that the platform has just confirmed the belief.
func (n *Node) markConfirmed(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asOf = now
}

// markResponsive records that the platform responds.
func (n *Node) markResponsive(c belief.Change) {
	n.mu.Lock()
	recovered := n.platformLost
	n.platformLost = false
	n.mu.Unlock()
	if recovered {
		n.Events.State("platform-regained").Stringer("revision", c.To).Send()
	}
}

// logEraChange logs that the platform's store was restored from a backup, if the era differs from that of revision before.
func (n *Node) logEraChange(before order.Revision) {
	now := n.Log.Revision()
	if before != 0 && before.Era() != now.Era() {
		n.Events.State("era").Stringer("before", before).Stringer("revision", now).Int64("version", n.Log.View().Version()).Send()
	}
}

// staleListings counts full listings that were discarded because they were older than the belief.
var staleListings = metrics.NewCounter(`mangowinch_old_listings_total`)

// logStaleResponse logs and counts a discarded response.
func (n *Node) logStaleResponse(c belief.Change) {
	if c.Full {
		staleListings.Inc()
	}
	n.Events.State("answer-old").Stringer("told", c.To).Bool("full", c.Full).Stringer("revision", n.Log.Revision()).Int("items", len(c.Items)).Send()
}

// handleFailure records a failed call, and logs the first one.
func (n *Node) handleFailure(now time.Time, err error, failures int) {
	n.mu.Lock()
	first := !n.platformLost
	n.platformLost = true
	age := now.Sub(n.asOf)
	n.mu.Unlock()
	if _, known := n.Age(now); known {
		n.announce(now, nil, true) // so that fewer other processes start calling the platform
	}
	if first {
		n.Events.State("platform-lost").Err(err).Dur("age", age).Int("failures", failures).Send()
	}
}

// maybeStopReading stops reading if there are enough other readers, if the platform responds to any other reader
// but not to this process, or if enough others already call a platform that doesn't respond.
func (n *Node) maybeStopReading(now time.Time, failures int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := n.readers(now)
	fresh := !n.asOf.IsZero() && now.Sub(n.asOf) < n.staleAfter()
	redundant := failures > 0 && others > 0 && fresh
	if !n.reading || !n.surplusReader(now) && !redundant && !n.surplusProber(now) {
		return
	}
	n.reading = false
	n.platformLost = false
	n.Events.State("reading-ends").Int("readers", others).Int("failures", failures).Send()
}

// backoff returns the pause after a failed call. It stays at minBackoff while the process has no belief, since the
// process can't serve until it reads the platform. A process with a belief also receives updates from peers.
func (n *Node) backoff(failures int) time.Duration {
	d := min(maxBackoff, minBackoff<<min(failures-1, 8))
	if _, known := n.Age(time.Now()); !known {
		d = minBackoff
	}
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
