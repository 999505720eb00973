package fetch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/store"
)

// Keep loads every document for which only says true (nil: all) into s, and
// follows their changes until ctx ends. It is for a process that watches the
// platform itself.
//
// A call that fails is repeated after a Backoff; what is in force stays.
func Keep(ctx context.Context, c *Client, s *store.Store, only func(name string) bool) {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var index uint64
	failures := 0
	for ctx.Err() == nil {
		list, err := c.Watch(ctx, index)
		if err == nil {
			err = Load(ctx, c, s, list, only)
		}
		if err != nil {
			failures++
			sleep(ctx, Backoff(failures, BackoffBase, BackoffCap, r))
			continue
		}
		failures = 0
		index = list.Index
	}
}

// Load reads the documents of the list of which s knows only older revisions.
// One that fails doesn't keep the others from being read; the first error is returned.
func Load(ctx context.Context, c *Client, s *store.Store, list List, only func(name string) bool) (err error) {
	for _, n := range list.Documents {
		if only != nil && !only(n.Name) || n.Revision <= s.View().Revision(n.Name) {
			continue
		}
		document, failed := c.Document(ctx, n.Name)
		if errors.Is(failed, ErrNotFound) {
			continue // withdrawn since it was listed; what is in force stays
		}
		if failed != nil {
			if err == nil {
				err = failed
			}
			continue
		}
		// The store counts and shows a faulty document; to read it again would give the same.
		_, _ = s.Offer(document.Name, document.Revision, document.Text, "platform")
	}
	return err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
