// Package docs measures how long a new revision of a service document takes to be in force in every process of a
// deployment. It is a benchmark of propagation, not a test: it does not check what the processes do with the document.
//
// The clock starts when the document's file has been written. The simulated platform reads its directory every 50 ms,
// so up to 50 ms of each figure are due to the simulation. Each process is polled for its revision every few
// milliseconds.
//
// # Usage
//
//	report, err := docs.Measure(ctx, docs.Plan{Deployment: "examples/zagreb", Binaries: "bin", Service: "tracing-core", Rounds: 20})
package docs

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/stand/fleet"
)

const (
	pollInterval = 5 * time.Millisecond
	roundTimeout = 30 * time.Second // a round that takes longer fails
)

// Plan configures a measurement.
type Plan struct {
	Deployment string
	Binaries   string
	Service    string
	Rounds     int
	Down       bool // take the platform down as soon as one process has the document
}

// Report holds the time until the document was in force, for each round and process.
type Report struct {
	Processes int
	Times     []time.Duration // ascending
}

// At returns the time within which the given share, from 0 to 1, of the processes had the document.
func (r Report) At(share float64) time.Duration {
	return r.Times[min(len(r.Times)-1, int(share*float64(len(r.Times))))]
}

// Measure starts the deployment and runs the rounds.
func Measure(ctx context.Context, p Plan) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "measure documents") }()
	f, err := fleet.Start(ctx, fleet.Settings{Deployment: p.Deployment, Binaries: p.Binaries})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	nodes := append(f.Entries(), f.Agents(p.Service)...)
	r.Processes = len(nodes)
	for i := range p.Rounds {
		times, err := runRound(ctx, f, p, nodes, order.Revision(i)+2)
		if err != nil {
			return Report{}, errors.Wrapf(err, "round %d", i+1)
		}
		r.Times = append(r.Times, times...)
	}
	slices.Sort(r.Times)
	return r, nil
}

// runRound writes a new revision of the document and returns the time that each node took to have it in force.
func runRound(ctx context.Context, f *fleet.Fleet, p Plan, nodes []*prefs.Settings, revision order.Revision) (times []time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	begun := time.Now()
	if err := touch(filepath.Join(f.DocumentsDirectory(), p.Service+".ini")); err != nil {
		return nil, err
	}
	times = make([]time.Duration, len(nodes))
	first := make(chan struct{}, len(nodes))
	group, ctx := errgroup.WithContext(ctx)
	for i, n := range nodes {
		group.Go(func() error {
			if err := await(ctx, f, n, p.Service, revision); err != nil {
				return err
			}
			times[i] = time.Since(begun)
			first <- struct{}{}
			return nil
		})
	}
	if p.Down {
		select {
		case <-first:
		case <-ctx.Done():
		}
		if err := f.Post(ctx, "platform", "/fault?mode=down", ""); err != nil {
			return nil, errors.CombineErrors(err, group.Wait())
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return times, f.Post(context.WithoutCancel(ctx), "platform", "/fault?mode=ok", "")
}

func touch(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, append(text, "; touched\n"...), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// await polls a process until it has the revision in force.
func await(ctx context.Context, f *fleet.Fleet, n *prefs.Settings, service string, revision order.Revision) (err error) {
	defer func() { err = errors.Wrapf(err, "await revision %s at %s", revision, n.Process.Name) }()
	for {
		got, err := f.Revision(ctx, n.Process.Name, service)
		if err != nil {
			return err
		}
		if got >= revision {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}
