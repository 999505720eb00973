package opaque

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/carry"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/node/edge"
	"mangowinch/internal/node/stamp"
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
	p, err := newProcess(ctx, s, a, msgs.Entry, out, func() { e.ViewChanged(time.Now()) })
	if err != nil {
		return err
	}
	e = edge.New(edge.Config{
		Self:    s.Link.Addr(),
		Domain:  s.Process.Domain,
		Log:     p.log,
		Ctrl:    p.follow,
		Prober:  p.vouch,
		Codec:   a.Codec,
		Callers: a.Callers,
		Rate:    s.Rate,
		Wire:    p.sockets,
		Events:  p.events,
		Bound:   s.Bounds.Change,
		Life:    s.Bounds.Life,
		Rand:    newRand(),
		Off:     s.Without,
	})
	p.admin.Section("belief", func() any { return p.belief() })
	p.admin.Section("flows", func() any { return e.Len() })
	p.vouch.OnAlive, p.vouch.OnAnswer = e.ProcessAlive, e.ProbeAnswered
	staying, known, reaching := p.admin.Condition("staying"), p.admin.Condition("configuration"), p.admin.Condition("reach")
	staying.Set(true, "")
	reaching.Set(true, "")
	known.Set(false, "no configuration yet")
	var used stamp.Time // the last caller's packet
	return p.serve(ctx,
		func(now time.Time) {
			e.Tick(now)
			if v := p.log.View(); v.Config != nil && len(v.Homes.Agents()) > 0 {
				known.Set(true, "")
			}
			reaching.Set(e.ReachesAgents(), "no agent answers")
		},
		func(*carry.Settings) {},
		func() {
			staying.Set(false, "planned stop")
			p.follow.Leave()
			waitQuiet(&used, s.Bounds.Stop-stopReserve)
		},
		func() error {
			return read(p.sockets.callers, func(now time.Time, _ netip.Addr, datagram []byte) {
				used.Set(now)
				e.FromCaller(now, datagram)
			})
		},
		p.messages(e.FromPeer),
	)
}

// waitQuiet returns when callers' packets have stopped coming, or after limit. An entry that
// closed its sockets at once would lose what the fabric still sends to it.
func waitQuiet(used *stamp.Time, limit time.Duration) {
	began := time.Now()
	for time.Since(began) < limit {
		time.Sleep(stopStep)
		if time.Since(began) > quietFor && used.Since(time.Now()) > quietFor {
			return
		}
	}
}
