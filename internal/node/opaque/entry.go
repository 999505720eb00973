package opaque

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/carry"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/node/edge"
)

const (
	// quietFor without a caller's packet ends an entry's planned stop: the fabric asks for
	// readiness twice a second and takes an instance out after two misses.
	quietFor = 1500 * time.Millisecond
	// stopReserve is left of the time for a planned stop, so that the process ends by itself.
	stopReserve = 500 * time.Millisecond
	// stopStep is how often a planned stop looks whether it is done.
	stopStep = 50 * time.Millisecond
)

// Entry runs an entry until ctx ends and its planned stop is done.
func Entry(ctx context.Context, s *carry.Settings, a Adapter, out io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "entry") }()
	if s.Entry == nil {
		return errors.New("the settings have no section entry")
	}
	var e *edge.Entry
	p, err := newProcess(ctx, s, a, msgs.Entry, out, func() { e.Changed(time.Now()) })
	if err != nil {
		return err
	}
	e = edge.New(edge.Config{
		Self:   s.Link.Addr(),
		Domain: s.Process.Domain,
		Log:    p.log,
		Ctrl:   p.follow,
		Codec:  a.Codec,
		Wire:   p.sockets,
		Events: p.events,
		Bound:  s.Bounds.Change,
		Life:   s.Bounds.Life,
		Rand:   newRand(),
	})
	p.admin.Section("belief", func() any { return p.belief() })
	p.admin.Section("flows", func() any { return e.Len() })
	staying, known := p.admin.Condition("staying"), p.admin.Condition("configuration")
	staying.Set(true, "")
	known.Set(false, "no configuration yet")
	callers := newQuiet(time.Now())
	return p.serve(ctx,
		func(now time.Time) {
			e.Tick(now)
			if v := p.log.View(); v.Config != nil && len(v.Homes.Agents()) > 0 {
				known.Set(true, "")
			}
		},
		func(*carry.Settings) {},
		func() {
			staying.Set(false, "planned stop")
			p.follow.Leave()
			callers.wait(s.Bounds.Stop - stopReserve)
		},
		func() error {
			return read(p.sockets.callers, func(now time.Time, _ netip.Addr, datagram []byte) {
				callers.note(now)
				e.FromCaller(now, datagram)
			})
		},
		p.messages(e.FromPeer),
	)
}

// quiet knows when the last caller's packet came. It counts from a time of its own by the steady clock: the time of day
// may jump during a planned stop, and an entry that took the jump for silence would close its sockets on packets that
// still come.
type quiet struct {
	start time.Time
	last  atomic.Int64 // nanoseconds after start
}

func newQuiet(start time.Time) *quiet { return &quiet{start: start} }

// note says that a packet came.
func (q *quiet) note(now time.Time) { q.last.Store(int64(now.Sub(q.start))) }

// since is how long no packet has come.
func (q *quiet) since(now time.Time) time.Duration {
	return now.Sub(q.start) - time.Duration(q.last.Load())
}

// wait returns when callers' packets have stopped coming, or after limit. An entry that
// closed its sockets at once would lose what the fabric still sends to it.
func (q *quiet) wait(limit time.Duration) {
	began := time.Now()
	for time.Since(began) < limit {
		time.Sleep(stopStep)
		if time.Since(began) > quietFor && q.since(time.Now()) > quietFor {
			return
		}
	}
}
