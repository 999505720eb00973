package fetch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/fetch"
)

// platform is a small stand-in; down makes every call fail.
type platform struct {
	mu        sync.Mutex
	index     uint64
	revisions map[string]uint64
	down      bool
	changed   chan struct{}
}

func (p *platform) set(name string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.revisions[name] = revision
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if name, ok := strings.CutPrefix(r.URL.Path, "/documents/"); ok {
		if p.revisions[name] == 0 {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Revision", fmt.Sprint(p.revisions[name]))
		fmt.Fprint(w, name)
		return
	}
	for r.URL.Query().Get("since") == fmt.Sprint(p.index) {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		p.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
	fmt.Fprintf(w, `{"index":%d,"documents":[`, p.index)
	comma := ""
	for name, revision := range p.revisions {
		fmt.Fprintf(w, `%s{"name":%q,"revision":%d}`, comma, name, revision)
		comma = ","
	}
	fmt.Fprint(w, "]}")
}

func start(t *testing.T) (*platform, *fetch.Client, *store.Store) {
	p := &platform{index: 1, revisions: map[string]uint64{}, changed: make(chan struct{})}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	s := store.New(func(_ string, text []byte) (*docs.Service, error) {
		return &docs.Service{Name: string(text)}, nil
	})
	return p, fetch.New(server.URL), s
}

// until waits for the revision of a document to be in force.
func until(ctx context.Context, t *testing.T, s *store.Store, name string, revision uint64) {
	t.Helper()
	for {
		changed := s.Changed()
		if s.View().Revision(name) == revision {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatalf("%s is at revision %d, not %d", name, s.View().Revision(name), revision)
		}
	}
}

func TestKeepFollowsChanges(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	p, c, s := start(t)
	p.set("tracing-core", 1)
	p.set("dossier-desk", 1)
	var running sync.WaitGroup
	running.Go(func() { fetch.Keep(ctx, c, s, func(name string) bool { return name == "tracing-core" }) })
	until(ctx, t, s, "tracing-core", 1)
	p.set("tracing-core", 4)
	until(ctx, t, s, "tracing-core", 4)
	assert.Equal(t, s.View().Revision("dossier-desk"), uint64(0))
	assert.Assert(t, !c.Contact().IsZero())
	cancel()
	running.Wait()
}

// The platform goes down and returns with an old copy of everything. What a
// team had accepted stays in force all along, and the next change gets through.
func TestKeepSurvivesOutageAndStalePlatform(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	p, c, s := start(t)
	p.set("tracing-core", 7)
	var running sync.WaitGroup
	running.Go(func() { fetch.Keep(ctx, c, s, nil) })
	until(ctx, t, s, "tracing-core", 7)
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	p.set("tracing-core", 3)
	p.set("other", 1)
	p.mu.Lock()
	p.down = false
	p.mu.Unlock()
	until(ctx, t, s, "other", 1)
	assert.Equal(t, s.View().Entries["tracing-core"].Revision, uint64(7))
	p.set("tracing-core", 8)
	until(ctx, t, s, "tracing-core", 8)
	cancel()
	running.Wait()
}

func TestNotFound(t *testing.T) {
	_, c, _ := start(t)
	_, err := c.Document(t.Context(), "missing")
	assert.ErrorIs(t, err, fetch.ErrNotFound)
}

// A thousand processes lose the platform at one moment. If they came back in
// step they would bring it down again: after any number of failures their
// calls must be spread over the whole span, which never grows beyond its limit.
func TestBackoffSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := rapid.IntRange(0, 100).Draw(t, "failures")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		span := min(fetch.BackoffCap, fetch.BackoffBase<<min(max(failures-1, 0), 20))
		var quarters [4]int
		for range 1000 {
			d := fetch.Backoff(failures, fetch.BackoffBase, fetch.BackoffCap, r)
			assert.Assert(t, d >= 0 && d <= span)
			quarters[min(int(4*d/span), 3)]++
		}
		for _, n := range quarters {
			assert.Assert(t, n > 150 && n < 350, "uneven: %v", quarters)
		}
	})
}
