// Package feeds measures the effect of kill -9 of each entry in turn on open feeds: whether every byte arrives, and how
// much longer the feeds take than without kills. It is a benchmark: feeds that are incomplete are counted, not an error.
//
// Both phases run on the same deployment, one after the other. The fabric continues to send to a killed entry until it
// has restarted, so a third of a caller's datagrams is lost in that time.
//
// # Usage
//
//	report, err := feeds.Measure(ctx, feeds.Plan{Deployment: "examples/zagreb", Binaries: "bin", Service: "tracing-core", Feeds: 20, Length: time.Minute})
package feeds

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/stand/client"
	"mangowinch/internal/stand/fleet"
	"mangowinch/internal/work/result"
)

const (
	lineInterval = 20 * time.Millisecond
	downtime     = 2 * time.Second // time until a killed entry is restarted
)

// Plan configures a measurement.
type Plan struct {
	Deployment string
	Binaries   string
	Service    string
	Feeds      int
	Length     time.Duration
}

// Phase is the result of one phase of a run, with or without kills.
type Phase struct {
	Complete int             // feeds of which every byte arrived
	Bytes    int             // received by all feeds
	Times    []time.Duration // from request to end of each feed, ascending
	Killed   int             // entries killed
}

// Last returns the time at which the last feed ended.
func (p Phase) Last() time.Duration { return p.Times[len(p.Times)-1] }

// Report is the result of a measurement.
type Report struct {
	Undisturbed Phase
	Disturbed   Phase
}

// Measure starts the deployment and runs both phases.
func Measure(ctx context.Context, p Plan) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "measure feeds") }()
	f, err := fleet.Start(ctx, fleet.Settings{Deployment: p.Deployment, Binaries: p.Binaries})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	if r.Undisturbed, err = runPhase(ctx, f, p, nil); err != nil {
		return Report{}, err
	}
	r.Disturbed, err = runPhase(ctx, f, p, killEntries)
	return r, err
}

// runPhase opens the feeds, calls disturb unless it is nil, and waits until all feeds have ended.
func runPhase(ctx context.Context, f *fleet.Fleet, p Plan, disturb func(context.Context, *fleet.Fleet, time.Duration) (int, error)) (ph Phase, err error) {
	group, ctx := errgroup.WithContext(ctx)
	answers := make(chan outcome, p.Feeds)
	for i := range p.Feeds {
		group.Go(func() error {
			e, err := feed(ctx, f, f.Service(p.Service), i, p.Length)
			answers <- e
			return err
		})
	}
	if disturb != nil {
		group.Go(func() (err error) {
			ph.Killed, err = disturb(ctx, f, p.Length)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Phase{}, err
	}
	close(answers)
	for e := range answers {
		ph.Bytes += e.bytes
		ph.Times = append(ph.Times, e.took)
		if e.complete {
			ph.Complete++
		}
	}
	slices.Sort(ph.Times)
	return ph, nil
}

type outcome struct {
	complete bool
	bytes    int
	took     time.Duration
}

// feed opens a feed on its own connection and reads it to the end.
func feed(ctx context.Context, f *fleet.Fleet, s *docs.Service, number int, length time.Duration) (outcome, error) {
	address := s.Callers[0].Networks[0].Addr().As4()
	address[3] = byte(1 + number%250)
	caller, err := client.Dial(ctx, client.Settings{
		Local:   netip.AddrFrom4(address),
		Service: s.Address,
		Name:    s.Name,
		Roots:   f.Roots,
	})
	if err != nil {
		return outcome{}, err
	}
	defer caller.Close()
	lines := int(length / lineInterval)
	path := fmt.Sprintf("/feed/bench-%d?n=%d&every=%s", number, lines, lineInterval)
	var want strings.Builder
	for i := 1; i <= lines; i++ {
		fmt.Fprintf(&want, "%d %s\n", i, path)
	}
	begun := time.Now()
	answer := caller.Do(ctx, client.Request{Method: "GET", Path: path})
	return outcome{
		complete: answer.Outcome == result.Ran && answer.Body == want.String(),
		bytes:    len(answer.Body),
		took:     time.Since(begun),
	}, nil
}

// killEntries kills and restarts each entry once, spread evenly over length.
func killEntries(ctx context.Context, f *fleet.Fleet, length time.Duration) (killed int, err error) {
	entries := f.Entries()
	pause := length/time.Duration(len(entries)+1) - downtime
	if pause <= 0 {
		return 0, errors.Newf("%s is too short to kill %d entries", length, len(entries))
	}
	for _, e := range entries {
		if !sleep(ctx, pause) {
			return killed, ctx.Err()
		}
		p := f.Process(e.Process.Name)
		p.Kill()
		killed++
		if !sleep(ctx, downtime) {
			return killed, ctx.Err()
		}
		if err := p.Start(); err != nil {
			return killed, err
		}
		if err := f.AwaitReady(ctx, p.Name); err != nil {
			return killed, err
		}
	}
	return killed, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
