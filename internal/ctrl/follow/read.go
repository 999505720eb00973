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

// ErrHistory says that the platform has forgotten changes after a revision, or has come back from a copy, so that
// everything has to be listed anew.
var ErrHistory = errors.New("the platform has forgotten these changes")

const (
	// listTime bounds a listing. The platform answers in 4 ms, and some 60 times slower when it is slow.
	listTime = time.Second
	// lateness is how much later than asked a watch may return before its connection is
	// taken for silent: a slow platform needs some 250 ms.
	lateness = 400 * time.Millisecond
	// pauseAfterNews gathers changes that come in a row into one answer. It doubles up to mostPause as long as they do: when a whole
	// fleet starts, hundreds come within seconds.
	pauseAfterNews = 60 * time.Millisecond
	mostPause      = 480 * time.Millisecond
	// backoffLeast and backoffMost bound the pause after a failed call.
	backoffLeast = 100 * time.Millisecond
	backoffMost  = time.Second
)

// readLoop reads the platform whenever it is this process's turn.
func (n *Node) readLoop(ctx context.Context) {
	failures := 0
	list := false
	pause := pauseAfterNews
	for {
		if !n.Reading() {
			failures = 0
			select {
			case <-ctx.Done():
				return
			case <-n.kick:
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
			n.failed(now, err, failures)
			sleep(ctx, n.backoff(failures))
		default:
			failures = 0
			if first {
				n.leaveToSeeds()
			}
			n.confirmed(now, c)
			if now.Sub(began) > pauseAfterNews {
				pause = pauseAfterNews // the row is over
			}
			if len(c.Items) > 0 {
				sleep(ctx, pause)
				pause = min(2*pause, mostPause)
			}
		}
		n.mayStop(now, failures)
	}
}

// readOnce makes one call.
func (n *Node) readOnce(ctx context.Context, list bool) (c belief.Change, err error) {
	limit := n.wait() + lateness
	if list {
		limit = listTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	call := "watch"
	if list {
		call = "list"
		c, err = n.Source.List(ctx)
	} else {
		c, err = n.Source.Watch(ctx, n.Log.Revision(), n.wait())
	}
	result := "ok"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(`mangowinch_platform_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
	return c, err
}

// confirmed takes in what the platform answered.
func (n *Node) confirmed(now time.Time, c belief.Change) {
	n.answered(c)
	before := n.Log.View()
	switch {
	case n.Log.Apply(now, c) == belief.Updated:
		n.vouched(now)
		n.noteEra(before.Revision)
		n.note(now, "platform", c)
		n.noteEvacuations(before)
		n.tell(now, &c, true)
		n.Changed()
		return
	case outdated(n.Log.Revision(), c):
		n.noteOld(c)
	default:
		n.vouched(now)
	}
	n.tell(now, nil, true)
}

// outdated says whether an answer is older than the belief, so that it vouches for nothing: it was under way while the platform
// came back from a copy, or it lists less than is known.
func outdated(known order.Revision, c belief.Change) bool {
	return c.To.Era() < known.Era() || c.Full && c.To < known
}

// vouched says that the platform has confirmed the belief just now.
func (n *Node) vouched(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asOf = now
}

// answered notes that the platform answers.
func (n *Node) answered(c belief.Change) {
	n.mu.Lock()
	regained := n.lost
	n.lost = false
	n.mu.Unlock()
	if regained {
		n.Events.State("platform-regained").Stringer("revision", c.To).Send()
	}
}

// noteEra logs that the platform has come back from a copy since a revision was known.
func (n *Node) noteEra(before order.Revision) {
	now := n.Log.Revision()
	if before != 0 && before.Era() != now.Era() {
		n.Events.State("era").Stringer("before", before).Stringer("revision", now).Int64("version", n.Log.View().Version()).Send()
	}
}

// oldListings counts listings of everything that told nothing new: the platform's answer was older than the belief.
var oldListings = metrics.NewCounter(`mangowinch_old_listings_total`)

// noteOld logs and counts an answer that was put aside.
func (n *Node) noteOld(c belief.Change) {
	if c.Full {
		oldListings.Inc()
	}
	n.Events.State("answer-old").Stringer("told", c.To).Bool("full", c.Full).Stringer("revision", n.Log.Revision()).Int("items", len(c.Items)).Send()
}

// failed notes a call that failed.
func (n *Node) failed(now time.Time, err error, failures int) {
	n.mu.Lock()
	first := !n.lost
	n.lost = true
	age := now.Sub(n.asOf)
	n.mu.Unlock()
	if _, known := n.Age(now); known {
		n.tell(now, nil, true) // so that others leave it to this process
	}
	if first {
		n.Events.State("platform-lost").Err(err).Dur("age", age).Int("failures", failures).Send()
	}
}

// mayStop ends reading when others do it: enough of them, any while the platform
// doesn't answer this process, or enough that it doesn't answer either.
func (n *Node) mayStop(now time.Time, failures int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := n.readers(now)
	fresh := !n.asOf.IsZero() && now.Sub(n.asOf) < n.tooOld()
	spared := failures > 0 && others > 0 && fresh
	if !n.reading || !n.surplus(now) && !spared && !n.surplusTrier(now) {
		return
	}
	n.reading = false
	n.lost = false
	n.Events.State("reading-ends").Int("readers", others).Int("failures", failures).Send()
}

// backoff is the pause after a failed call. A process that knows nothing serves nobody, and each
// tenth of a second counts once the platform is back; one that knows something hears from others.
func (n *Node) backoff(failures int) time.Duration {
	d := min(backoffMost, backoffLeast<<min(failures-1, 8))
	if _, known := n.Age(time.Now()); !known {
		d = backoffLeast
	}
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
