// Package docs measures how long an accepted document takes to be in force in
// every process of a deployment.
//
// The clock starts when the document's file is in its place; the stand-in for the
// platform reads its directory every 50 ms, so up to 50 ms of each figure are its
// own. A process is asked what it has in force every few milliseconds.
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
	askEvery  = 5 * time.Millisecond
	roundTime = 30 * time.Second // a round that takes longer has failed
)

// Plan says what to measure.
type Plan struct {
	Deployment string
	Binaries   string
	Service    string
	Rounds     int
	Down       bool // the platform goes down as soon as one process has the document
}

// Report holds, for each round and process, the time until the document was in force.
type Report struct {
	Processes int
	Times     []time.Duration // ascending
}

// At returns the time within which a share of the processes had a document, 0 to 1.
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
		times, err := round(ctx, f, p, nodes, order.Revision(i)+2)
		if err != nil {
			return Report{}, errors.Wrapf(err, "round %d", i+1)
		}
		r.Times = append(r.Times, times...)
	}
	slices.Sort(r.Times)
	return r, nil
}

// round makes one new revision and waits until every node has it.
func round(ctx context.Context, f *fleet.Fleet, p Plan, nodes []*prefs.Settings, revision order.Revision) (times []time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, roundTime)
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

// await asks a process until it has the revision in force.
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
		case <-time.After(askEvery):
		}
	}
}
