// Package feeds measures what kill -9 of each entry in turn does to open feeds:
// whether every byte comes, and how much later than undisturbed the feeds end.
//
// Both halves run on one deployment, one after the other. The fabric goes on
// sending to a dead entry until it is started again, so a third of a caller's
// datagrams is lost meanwhile.
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
	lineEvery = 20 * time.Millisecond
	deadFor   = 2 * time.Second // until a killed entry is started again
)

// Plan says what to measure.
type Plan struct {
	Deployment string
	Binaries   string
	Service    string
	Feeds      int
	Length     time.Duration
}

// Phase is one half of a run.
type Phase struct {
	Complete int             // feeds of which every byte came
	Bytes    int             // received by all feeds
	Times    []time.Duration // from asking to the end, ascending
	Killed   int             // entries killed
}

// Last returns when the last feed ended.
func (h Phase) Last() time.Duration { return h.Times[len(h.Times)-1] }

// Report is what was measured.
type Report struct {
	Undisturbed Phase
	Disturbed   Phase
}

// Measure starts the deployment and runs both halves.
func Measure(ctx context.Context, p Plan) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "measure feeds") }()
	f, err := fleet.Start(ctx, fleet.Settings{Deployment: p.Deployment, Binaries: p.Binaries})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	if r.Undisturbed, err = half(ctx, f, p, nil); err != nil {
		return Report{}, err
	}
	r.Disturbed, err = half(ctx, f, p, killInTurn)
	return r, err
}

// half opens the feeds, disturbs them and waits for their ends.
func half(ctx context.Context, f *fleet.Fleet, p Plan, disturb func(context.Context, *fleet.Fleet, time.Duration) (int, error)) (h Phase, err error) {
	group, ctx := errgroup.WithContext(ctx)
	answers := make(chan ended, p.Feeds)
	for i := range p.Feeds {
		group.Go(func() error {
			e, err := feed(ctx, f, f.Service(p.Service), i, p.Length)
			answers <- e
			return err
		})
	}
	if disturb != nil {
		group.Go(func() (err error) {
			h.Killed, err = disturb(ctx, f, p.Length)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Phase{}, err
	}
	close(answers)
	for e := range answers {
		h.Bytes += e.bytes
		h.Times = append(h.Times, e.took)
		if e.whole {
			h.Complete++
		}
	}
	slices.Sort(h.Times)
	return h, nil
}

type ended struct {
	whole bool
	bytes int
	took  time.Duration
}

// feed opens one feed on a connection of its own and reads it to its end.
func feed(ctx context.Context, f *fleet.Fleet, s *docs.Service, number int, length time.Duration) (ended, error) {
	address := s.Callers[0].Networks[0].Addr().As4()
	address[3] = byte(1 + number%250)
	caller, err := client.Dial(ctx, client.Settings{
		Local:   netip.AddrFrom4(address),
		Service: s.Address,
		Name:    s.Name,
		Roots:   f.Roots,
	})
	if err != nil {
		return ended{}, err
	}
	defer caller.Close()
	lines := int(length / lineEvery)
	path := fmt.Sprintf("/feed/bench-%d?n=%d&every=%s", number, lines, lineEvery)
	var want strings.Builder
	for i := 1; i <= lines; i++ {
		fmt.Fprintf(&want, "%d %s\n", i, path)
	}
	begun := time.Now()
	answer := caller.Do(ctx, client.Request{Method: "GET", Path: path})
	return ended{
		whole: answer.Outcome == result.Ran && answer.Body == want.String(),
		bytes: len(answer.Body),
		took:  time.Since(begun),
	}, nil
}

// killInTurn kills each entry once, spread over the length.
func killInTurn(ctx context.Context, f *fleet.Fleet, length time.Duration) (killed int, err error) {
	entries := f.Entries()
	pause := length/time.Duration(len(entries)+1) - deadFor
	if pause <= 0 {
		return 0, errors.Newf("%s is too short to kill %d entries", length, len(entries))
	}
	for _, e := range entries {
		if !wait(ctx, pause) {
			return killed, ctx.Err()
		}
		p := f.Process(e.Process.Name)
		p.Kill()
		killed++
		if !wait(ctx, deadFor) {
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

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
