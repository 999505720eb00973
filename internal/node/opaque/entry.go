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
	// stopIdle is the time without a caller's packet that ends an entry's graceful shutdown. The fabric
	// checks readiness twice a second and removes an instance after two failed checks.
	stopIdle = 1500 * time.Millisecond
	// stopReserve is the part of the time for a graceful shutdown that is left for the process to end by
	// itself.
	stopReserve = 500 * time.Millisecond
	// stopPollEvery is how often a graceful shutdown checks whether it is done.
	stopPollEvery = 50 * time.Millisecond
)

// Entry runs an entry until ctx ends and its graceful shutdown is done.
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
	e = edge.New(entryConfig(p, s, a))
	p.admin.Section("belief", func() any { return p.status() })
	p.admin.Section("flows", func() any { return e.Len() })
	p.admin.Section("callers", func() any { return e.HeaviestCallers(time.Now()) })
	p.admin.Section("room", func() any { return e.Room(time.Now()) })
	p.prober.OnAlive, p.prober.OnAnswer = e.MarkAlive, e.ProbeAnswered
	staying, configured, reachable := p.admin.Condition("staying"), p.admin.Condition("configuration"), p.admin.Condition("reach")
	staying.Set(true, "")
	reachable.Set(true, "")
	configured.Set(false, "no configuration yet")
	var lastPacket stamp.Time    // when the last packet of a caller arrived
	ended := make(chan struct{}) // closed when no more packets are to be sent
	return p.serve(ctx,
		func(now time.Time) {
			e.Tick(now)
			if v := p.log.View(); v.Config != nil && len(v.Homes.Agents()) > 0 {
				configured.Set(true, "")
			}
			reachable.Set(e.ReachesAgents(), "no agent answers")
		},
		func(*carry.Settings) {},
		func() {
			staying.Set(false, "planned stop")
			p.follow.Leave()
			waitNoPackets(&lastPacket, s.Bounds.Stop-stopReserve)
			close(ended)
		},
		func() error {
			if s.Rate > 0 { // otherwise nothing is queued
				sendQueued(e, ended)
			}
			return nil
		},
		func() error {
			return read(p.sockets.callers, func(now time.Time, _ netip.Addr, datagram []byte) {
				lastPacket.Set(now)
				e.FromCaller(now, datagram)
			})
		},
		p.messages(e.FromPeer),
	)
}

// entryConfig returns the dependencies and settings of the entry that a process runs.
func entryConfig(p *process, s *carry.Settings, a Adapter) edge.Config {
	return edge.Config{
		Self:             s.Link.Addr(),
		Domain:           s.Process.Domain,
		Log:              p.log,
		Control:          p.follow,
		Prober:           p.prober,
		Codec:            a.Codec,
		Callers:          a.Callers,
		Rate:             s.Rate,
		Shares:           s.Entry.Callers,
		Wire:             p.sockets,
		Events:           p.events,
		PropagationBound: s.Bounds.Change,
		MaxLife:          s.Bounds.Life,
		Rand:             newRand(),
		Off:              s.Without,
	}
}

// sendQueued sends the packets that the entry has queued for its link as they become due, until ended is
// closed.
func sendQueued(e *edge.Entry, ended <-chan struct{}) {
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-ended:
			return
		case <-e.Queued():
		case <-due.C:
		}
		if wait, ok := e.SendQueued(time.Now()); ok {
			due.Reset(wait)
		}
	}
}

// waitNoPackets returns when callers' packets have stopped arriving, or after limit. If an entry closed its
// sockets at once, packets that the fabric still sends to it would be lost.
func waitNoPackets(lastPacket *stamp.Time, limit time.Duration) {
	began := time.Now()
	for time.Since(began) < limit {
		time.Sleep(stopPollEvery)
		if time.Since(began) > stopIdle && lastPacket.Since(time.Now()) > stopIdle {
			return
		}
	}
}
